"""At the lowest descriptor limit, the change log connects although clients and scorers use all they may."""

import os
import resource
import unittest

from processes import Case

MIN_DESCRIPTORS = 32  # the lowest limit that a configuration may have
ANSWER_DELAY_S = 3.0  # of the scorers, so that their connections stay in use


class LowestLimit(Case):
    def setUp(self):
        self.site_ = self.site(scorers=14, delay_s=ANSWER_DELAY_S, limits={"sockets": MIN_DESCRIPTORS})
        self.process = self.site_.start()
        resource.prlimit(self.process.child.pid, resource.RLIMIT_NOFILE, (MIN_DESCRIPTORS, MIN_DESCRIPTORS))
        self.max_descriptors = 0
        self.site_.habits.append(self.count_descriptors)

    def count_descriptors(self):
        count = len(os.listdir(f"/proc/{self.process.child.pid}/fd"))
        self.max_descriptors = max(self.max_descriptors, count)

    def close_change_log_connections(self):
        """Have the change log close each connection when it is accepted."""
        for link in self.site_.log.links:
            link.sock.close()
        self.site_.log.links.clear()

    def scorer_connections(self):
        return sum(len(scorer.links) for scorer in self.site_.scorers)

    def use_all_descriptors(self):
        """Send requests on more connections than are accepted, for more scorers than can be connected."""
        callers = [self.site_.caller() for _ in range(14)]
        for number, caller in enumerate(callers):
            for each in range(6):
                caller.ask(row=f"{number * 16 + each:016x}")
        before = -1
        while self.scorer_connections() > before:  # until no more connections are established
            before = self.scorer_connections()
            for _ in range(20):
                self.site_.turn()
        return callers

    def test_the_change_log_connects_while_clients_and_scorers_use_their_whole_shares(self):
        site = self.site_
        site.habits.append(self.close_change_log_connections)
        site.until(lambda: not site.log.links, "the change log is down")
        callers = self.use_all_descriptors()
        site.habits.remove(self.close_change_log_connections)
        site.until(lambda: site.log.asked(), "the front end asks the change log again")
        self.assertTrue(any(caller.open for caller in callers))
        self.assertEqual(site.ask(self.process, "/status", "GET"), 200)
        # Idle connections may be closed to make capacity, but each call has exactly one answer.
        self.assertEqual([text for text in site.verdict() if "the connection ended" not in text], [])
        self.assertLess(self.max_descriptors, MIN_DESCRIPTORS)  # at least one was always free
        self.assertNotIn("Too many open files", self.process.log)


if __name__ == "__main__":
    unittest.main()
