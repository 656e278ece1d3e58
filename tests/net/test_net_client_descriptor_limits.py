"""At the least limit of descriptors: clients and scorers hold all they may, and the rest still comes up."""

import os
import resource
import unittest

from processes import Case

LEAST = 32  # the least limit that a configuration may name
HOLD_S = 3.0  # how long scorers take, so that connections are held meanwhile


class LeastLimit(Case):
    def setUp(self):
        self.site_ = self.site(scorers=14, delay_s=HOLD_S, limits={"sockets": LEAST})
        self.process = self.site_.start()
        resource.prlimit(self.process.child.pid, resource.RLIMIT_NOFILE, (LEAST, LEAST))
        self.most = 0
        self.site_.habits.append(self.count)

    def count(self):
        self.most = max(self.most, len(os.listdir(f"/proc/{self.process.child.pid}/fd")))

    def cut(self):
        """The change log ends each connection as it comes."""
        for link in self.site_.log.links:
            link.sock.close()
        self.site_.log.links.clear()

    def links(self):
        return sum(len(scorer.links) for scorer in self.site_.scorers)

    def fill(self):
        """Clients ask on more connections than are accepted, for more scorers than may be linked."""
        callers = [self.site_.caller() for _ in range(14)]
        for number, caller in enumerate(callers):
            for each in range(6):
                caller.ask(row=f"{number * 16 + each:016x}")
        before = -1
        while self.links() > before:  # as long as more links come up
            before = self.links()
            for _ in range(20):
                self.site_.turn()
        return callers

    def test_the_change_log_comes_up_while_clients_and_scorers_hold_all_they_may(self):
        site = self.site_
        site.habits.append(self.cut)
        site.until(lambda: not site.log.links, "the change log is down")
        callers = self.fill()
        site.habits.remove(self.cut)
        site.until(lambda: site.log.asked(), "the change log is asked again")
        self.assertTrue(any(caller.open for caller in callers))
        self.assertEqual(site.ask(self.process, "/status", "GET"), 200)
        # Connections may be ended for others once nothing is open on them; each call has its one answer.
        self.assertEqual([text for text in site.verdict() if "the connection ended" not in text], [])
        self.assertLess(self.most, LEAST)  # one was free at all times
        self.assertNotIn("Too many open files", self.process.log)


if __name__ == "__main__":
    unittest.main()
