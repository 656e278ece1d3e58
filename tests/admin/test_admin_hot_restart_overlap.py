"""Hot restart: admin commands while several processes run, and leftover files at the start of a process."""

import signal
import time
import unittest

from processes import OUGHT_S, START_S, Case, Scorer

from fawnwharf.admin.handoff_directory import HandoffDirectory

ENTER, EXIT = "/maintenance/enter?target=", "/maintenance/exit?target="


class Overlap(Case):
    def hot_restarted(self, site, old, **env):
        new = site.start(**env)
        assert site.end(old) < OUGHT_S
        return new

    def test_a_stopped_predecessor_is_skipped_and_harmless_when_it_continues(self):
        site = self.site(3)
        one, two, _ = site.scorers
        old = site.start()
        took_s = time.monotonic() - old.began  # a measure of how busy the machine is
        assert site.ask(old, ENTER + one.id) == 200
        old.signal(signal.SIGSTOP)
        self.addCleanup(old.signal, signal.SIGCONT)
        new = site.start()
        assert time.monotonic() - new.began < max(START_S, 4 * took_s)
        assert "in maintenance since before this process: s-1" in new.log
        assert site.ask(new, ENTER + two.id) == 200
        old.signal(signal.SIGCONT)
        site.until_logged(old, "hot restart: another process requests")  # reads the outdated request
        site.drop(site.served())  # by whichever process accepts the connection
        assert site.end(old) < OUGHT_S
        new.kill()
        last = site.start()  # the state file is still that of the newer process
        assert "in maintenance since before this process: s-1, s-2" in last.log
        self.settled(site)

    def test_a_second_hot_restart_while_the_first_predecessor_is_still_ending(self):
        site = self.site(delay_s=0.6)
        first = site.start()
        busy = self.busy(site)
        second = site.start()
        third = site.begin()
        site.until_logged(second, "hot restart: handing off to the new process")
        assert site.ask(third, ENTER + "s-1") == 200
        site.until_logged(first, "/maintenance/enter: 200")  # forwarded by the second process
        assert site.end(first, second) < OUGHT_S
        before = len(busy.seen)
        site.until(lambda: len(busy.seen) > before + 4, "the third process serves the busy client")
        site.habits.clear()
        self.settled(site)
        fourth = self.hot_restarted(site, third)
        assert "hot restart: taking over" in fourth.log
        site.served(busy)
        self.settled(site)

    def test_maintenance_entered_at_either_address_lasts_until_exited_at_the_new_one(self):
        site = self.site(3)
        old = site.start()
        assert site.ask(old, ENTER + "s-1") == 200
        busy = self.busy(site)
        new = site.start()
        assert site.ask(new, ENTER + "s-2") == 200
        assert site.ask(old, ENTER + "s-3") == 200
        site.until_logged(new, "/maintenance/enter: 200 s-3")
        site.until_logged(old, "/maintenance/enter: 200 s-2")
        site.habits.clear()
        site.until(lambda: not busy.open, "all open calls are answered")
        counts = [len(scorer.runs) for scorer in site.scorers]
        refused = site.caller()
        refused.ask(ttl="300")
        site.until(lambda: not refused.open, "the call is rejected, as all scorers are in maintenance")
        assert site.end(old) < OUGHT_S
        last = self.hot_restarted(site, new)
        assert [len(scorer.runs) for scorer in site.scorers] == counts
        assert site.ask(last, EXIT + "s-2") == 200
        assert site.served().answers[0][1] == "answer"
        after = [len(scorer.runs) for scorer in site.scorers]
        assert [after[0], after[2]] == [counts[0], counts[2]]
        self.settled(site)

    def test_a_scorer_that_joins_and_is_taken_out_while_the_new_process_starts_gets_nothing(self):
        """Guards against a yes of the old process that the new one forgot."""
        site = self.site(2)
        old = site.start()
        joining = Scorer("s-9")
        site.scorers.append(joining)
        listed = {"seq": 2, "fleet": {"members": [joining.member()]}}
        new = site.begin()
        site.until_logged(old, "hot restart: another process requests")
        site.log.say(listed, link=0)
        site.until(lambda: site.ask(old, ENTER + joining.id) == 200, "the old process knows the scorer")
        site.until_ready(new)
        site.until(lambda: len(site.log.links) > 1, "the new process follows the change log")
        site.log.say(listed, link=1)
        assert site.end(old) < OUGHT_S
        caller = site.caller()
        for number in range(40):
            caller.ask(row=f"{number:016x}")
            site.until(lambda: caller.open < 16, "some calls are answered")
        site.until(lambda: not caller.open, "all calls are answered")
        assert not joining.runs
        assert not joining.loads
        assert site.ask(new, EXIT + joining.id) == 200
        self.settled(site)

    def test_commands_at_either_process_hold_at_both_after_a_start_without_a_hand_off(self):
        """The old process did not answer in time, so there is no channel between the two."""
        site = self.site(3)
        old = site.start()
        old.signal(signal.SIGSTOP)
        self.addCleanup(old.signal, signal.SIGCONT)
        new = site.start()
        old.signal(signal.SIGCONT)
        site.until_logged(old, "hot restart: another process requests")  # reads the outdated request
        assert site.ask(old, ENTER + "s-1") == 200
        site.until_logged(new, "/maintenance/enter: 200 s-1 is out")
        assert site.ask(new, ENTER + "s-2") == 200
        site.until_logged(old, "/maintenance/enter: 200 s-2 is out")
        assert site.ask(new, EXIT + "s-1") == 200
        site.until_logged(old, "/maintenance/exit: 200 s-1 may serve again")
        assert site.end(old) < OUGHT_S
        site.served()
        self.settled(site)

    def test_a_successor_of_a_process_on_standby_is_ready(self):
        site = self.site()
        old = site.start()
        assert site.ask(old, "/standby") == 200
        new = site.start()
        assert [site.ask(p, "/status", "GET") for p in (old, new)] == [503, 200]
        assert site.end(old) < OUGHT_S
        site.served()
        self.settled(site)

    def test_standby_at_either_address_applies_to_the_successor(self):
        site = self.site()
        old = site.start()
        busy = self.busy(site)
        kept = site.served()
        new = site.begin()
        site.until_logged(old, "hot restart: another process requests")
        assert site.ask(old, "/standby") == 200
        site.until_logged(old, "hot restart: handing off to the new process")
        if site.ask(new, "/status", "GET") != 200:  # the command reached it while it started
            assert site.ask(new, "/active") == 200
        site.habits.clear()
        last = site.begin()
        site.until_ready(last)
        assert site.ask(last, "/status", "GET") == 200
        assert site.ask(last, "/standby") == 200
        assert site.ask(last, "/status", "GET") == 503
        for process in (old, new):
            assert site.end(process) < OUGHT_S
        site.until(lambda: kept.ended and busy.ended, "the connections are closed")
        assert not (kept.open)
        assert not (busy.open)
        assert site.ask(last, "/active") == 200
        site.callers.clear()
        site.served()
        self.settled(site)

    def test_learned_state_is_used_from_the_first_call(self):
        site = self.site(3)
        old = site.start()
        kept = site.served()
        self.hot_restarted(site, old)
        loads = [list(scorer.loads) for scorer in site.scorers]
        assert any(loads)
        site.served(kept)
        site.served()
        assert [kind for c in site.callers for _, kind, _ in c.answers] == ["answer"] * 3
        assert [scorer.loads for scorer in site.scorers] == loads
        self.settled(site)


class Leftovers(Case):
    """Invalid files in the hand-off directory: a process starts as if they did not exist."""

    def test_an_invalid_state_file_and_a_stale_socket_are_ignored(self):
        site = self.site()
        old = site.start()
        assert site.ask(old, ENTER + "s-1") == 200
        old.kill()
        good = site.place.state_path.read_bytes()
        assert site.place.socket_path.exists()
        site.place.state_path.write_bytes(good)
        for name, data in (
            ("torn", good[:-3]),
            ("cut in its head", good[:9]),
            ("another version", good[:5] + b"\x02" + good[6:]),
            ("a bit over", good[:40] + bytes([good[40] ^ 1]) + good[41:]),
            ("empty", b""),
            ("none", None),
        ):
            with self.subTest(name):
                site.place.state_path.unlink(missing_ok=True)
                if data is not None:
                    site.place.state_path.write_bytes(data)
                process = site.start()
                assert "in maintenance" not in process.log
                assert ("can't be read" in process.log) == bool(data)
                site.drop(site.served())
                process.kill()
        site.place.state_path.write_bytes(good)
        assert "in maintenance since before this process: s-1" in site.start().log
        self.settled(site)

    def test_front_ends_that_share_a_folder_are_separate(self):
        site = self.site()
        old = site.start()
        assert site.ask(old, ENTER + "s-1") == 200
        with_name = site.start(ROUTER_NAME="fe-2")
        assert "in maintenance" not in with_name.log
        assert "another process" not in old.log

    def test_folders_that_are_usable_and_not_usable(self):
        site = self.site()
        (site.folder / "file").touch()
        deep = site.folder / ("d" * 120) / ("e" * 120)
        deep.mkdir(parents=True)
        site.place = HandoffDirectory(str(deep), "fe-1", site.listen.address)
        old = site.start()
        assert site.ask(old, ENTER + "s-1") == 200
        new = self.replace(site, old)
        assert "in maintenance since before this process: s-1" in new.log
        assert site.ask(new, EXIT + "s-1") == 200
        site.served()
        new.kill()
        unusable = [None, "", str(site.folder / "file"), str(site.folder / "nowhere"), "/proc", "x" * 5000]
        site.callers.clear()
        together = [site.begin(TMPDIR=folder) for folder in unusable]  # all at the same time
        for process in together:
            site.until_ready(process)
            assert site.ask(process, ENTER + "s-1") == 200
        site.drop(site.served())
        assert site.end(*together) < OUGHT_S
        self.settled(site)

    def replace(self, site, old):
        new = site.start()
        assert site.end(old) < OUGHT_S
        return new


if __name__ == "__main__":
    unittest.main()
