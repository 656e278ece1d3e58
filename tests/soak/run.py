"""Plays a plan against one real process of the front end, and checks what all sides recorded."""

import json
import signal
import time
from collections import Counter
from dataclasses import dataclass, field

from peers import CLASSES
from processes import PATIENCE_S, Caller, Port, Process, Site
from support.discovery_outage import GRACE_S, SLACK_S, TOLD_AFTER_S

from fawnwharf.fakes.clocks import Page, Reading
from soak.bad_clients import BadClients
from soak.discovery import DiscoveryProxy, EventLog, Fault
from soak.plan import LOADS_RPS, Plan, Step
from soak.scorers import SoakScorer

DEADLINES_MS = {"view": 3_000.0, "save": 2_500.0, "settle": 2_000.0}
CONNECTIONS = 4
FUNCTIONS = 10
HOUR_S = 3_600.0
HANG_S, QUERY_DELAY_S, FULL_S = 4.0, 0.4, 5.0
KILL_AFTER_S = 0.7  # beyond the longest deadline, which counts as 3 s at the most
ARRIVALS_END_S = 0.6  # after SIGTERM: what is sent later may be lost
CROSSING_S = 0.1  # a request that crosses the end of its connection is sent again by its client
LATE_S = 0.5  # an answer that comes later after its time counts as none
RETURN_S = 0.5  # a drain that is in reach binds after the grace, the proxy's turns and this driver's
HEALTHY_S = 4.0  # discovery was in reach for so long before a drain that is in reach
LOAD_WINDOW_S, FREE_LOADS, LOAD_SHARE = 5.0, 6.0, 0.3


@dataclass
class Sent:
    """One call of a client, in seconds of the monotonic clock."""

    caller: Caller
    seqid: int
    op: str
    at_s: float
    deadline_s: float
    answered_s: float | None = None


@dataclass
class Report:
    """What a run showed: broken rules, and how many calls were served, by when they were sent."""

    seed: int
    faults: list[str] = field(default_factory=list)
    kinds: Counter = field(default_factory=Counter)  # of the final answers
    outage_share: float = float("nan")  # of the calls sent in the outage that were served
    after_share: float = float("nan")
    queries: int = 0


class SoakSite(Site):
    """A site with the proxy before its log, played by the steps of a plan."""

    def __init__(self, plan: Plan, has_outage: bool) -> None:
        super().__init__(scorers=0)
        self.plan, self.has_outage = plan, has_outage
        self.log.close()
        self.scorers = [SoakScorer(number, plan.loads_on_miss) for number in range(plan.scorers)]
        self.log = EventLog([scorer.member() for scorer in self.scorers])
        self.proxy = DiscoveryProxy(self.log.listener.getsockname(), plan.seed)
        self.dead_end = Port()
        self.sent: list[Sent] = []
        self.term_s = float("inf")
        self.bad_clients: BadClients | None = None
        self._page = Page(self.folder / "clock", write=True)
        self._page.write(Reading(time.monotonic(), time.time(), time.monotonic()))
        self._elsewhere = False
        self._write_configuration(self.proxy.host_port)
        self.began_s = time.monotonic()

    def _write_configuration(self, changelog: str) -> None:
        quota = 40.0 * self.plan.fleet_size
        settings = {
            "classes": [
                {**each, "give_up": DEADLINES_MS[each["name"]], "promise": 800.0} for each in CLASSES
            ],
            "tenants": [{"name": "acme", "quota_rps": 4.0 * quota}],
            "bounds": {
                "max_attempts": 3, "cancel": True, "second_copies": True, "dial_timeout": 250.0,
                "retry_after": True, "max_retry_after": 1_000.0,
            },
            "family_info": {
                "may_order": True, "not_loaded": "load" if self.plan.loads_on_miss else "miss",
                "idle_life": 9_300.0, "load_window": 1_000.0 * LOAD_WINDOW_S, "free_loads": FREE_LOADS,
                "load_part": LOAD_SHARE,
            },
            "fleet_size": self.plan.fleet_size,
        }  # fmt: skip
        config = json.loads(self.config.read_text())
        changes = {"changelog": changelog, "known": self.log.known, "settings": settings}
        self.config.write_text(json.dumps(config | changes))

    # --- processes and load -----------------------------------------------------------------------

    def play(self) -> None:
        """Play the whole plan: load, steps, SIGTERM, and SIGKILL at the earliest time it may come."""
        early = [step for step in self.plan.steps if step.at_s <= 0.3 and step.what == "outage"]
        for step in early:
            self._do(step)
        process = self._start()
        self.began_s = time.monotonic()
        self.habits += [self.proxy.pump, self._call_when_due, self._note_answers]
        for step in self.plan.steps:
            if step not in early:
                self._wait(step.at_s)
                self._do(step)
        self._wait(self.plan.ends_s)
        self._end(process)

    def _start(self) -> Process:
        folder = self.config / "no folder" if self.plan.unwritable_tmpdir else self.place.folder
        program = "fawnwharf.fakes.clocks", str(self.folder / "clock")
        process = Process(self, {"TMPDIR": str(folder)}, program=program)
        self.processes.append(process)
        self.until(lambda: "serving on" in process.log or process.ended, "it serves")
        return process

    def _end(self, process: Process) -> None:
        if self.bad_clients is not None:
            self.habits.remove(self.bad_clients.pump)
        longest_s = min(3.0, max(DEADLINES_MS.values()) / 1000.0)
        process.signal(signal.SIGTERM)
        self.term_s = time.monotonic()
        process.signal(signal.SIGTERM)
        kill_s = self.term_s + longest_s + KILL_AFTER_S
        self.until(lambda: process.ended or time.monotonic() >= kill_s, "it has ended or is killed")
        self._note_answers()
        process.kill()

    def _wait(self, at_s: float) -> None:
        due_s = self.began_s + at_s
        self.until(lambda: time.monotonic() >= due_s, "the time has come", patience_s=at_s + PATIENCE_S)

    def _call_when_due(self) -> None:
        """Send the calls that are due on open connections; new ones only before SIGTERM."""
        self.callers = [caller for caller in self.callers if not caller.ended]
        is_ending = time.monotonic() > self.term_s
        while len(self.callers) < CONNECTIONS and not is_ending:
            self.caller()
        due = LOADS_RPS[self.plan.load] * (time.monotonic() - self.began_s)
        while len(self.sent) < due and self.callers:
            number = len(self.sent)
            caller = self.callers[number % len(self.callers)]
            op = ("view", "view", "save", "settle")[number % 4]
            caller.op = op
            ttl_ms = DEADLINES_MS[op]
            caller.ask(row=f"{number * 7 % FUNCTIONS + 1:016x}", ttl=f"{ttl_ms:.0f}")
            now_s = time.monotonic()
            self.sent.append(Sent(caller, caller.seqid, op, now_s, now_s + ttl_ms / 1000.0))
            if is_ending and len(self.sent) < due - 10:
                break

    def _note_answers(self) -> None:
        now_s = time.monotonic()
        for call in self.sent:
            if call.answered_s is None and call.caller.seen[call.seqid]:
                call.answered_s = now_s

    # --- steps ------------------------------------------------------------------------------------

    def _do(self, step: Step) -> None:
        is_observed = time.monotonic() - self.proxy.healthy_since_s > HEALTHY_S and not self._elsewhere
        scorer = self.scorers[step.scorer]
        if step.what in ("drain", "drain and close"):
            scorer.drain(is_observed and self.log.lag == 0, closes_idle=step.what == "drain and close")
            self.log.add(scorer.member("terminating"))
        elif step.what == "remove":
            scorer.stop()
            self.log.add(scorer.member("terminated"))
        elif step.what in ("return", "restart"):
            if step.what == "restart":
                scorer.stop()
            scorer.restart()
            self.log.add(scorer.member(up_since_ms=scorer.started_ms))
        elif step.what == "hang":
            scorer.hangs_until_s = time.monotonic() + HANG_S
        elif step.what == "slow queries":
            scorer.query_delay_s = QUERY_DELAY_S
        elif step.what == "full":
            scorer.is_full = True
            until_s = time.monotonic() + FULL_S
            self.habits.append(lambda: self._free(scorer, until_s))
        else:
            self._do_elsewhere(step.what)

    def _free(self, scorer: SoakScorer, until_s: float) -> None:
        scorer.is_full = scorer.is_full and time.monotonic() < until_s

    def _do_elsewhere(self, what: str) -> None:
        """Steps of discovery, the configuration and the clock."""
        if what == "outage" and self.has_outage:
            self.proxy.set(self.plan.fault)
            for drain in (drain for scorer in self.scorers for drain in scorer.drains):
                drain.is_observed = drain.is_observed and time.monotonic() - drain.since_s > RETURN_S
        elif what == "discovery is back":
            self.proxy.set(Fault.NONE)
        elif what in ("reload elsewhere", "reload back") and self.has_outage:
            self._elsewhere = what == "reload elsewhere"
            self._write_configuration(self.dead_end.text if self._elsewhere else self.proxy.host_port)
            self.processes[-1].signal(signal.SIGHUP)
        elif what == "bad clients":
            plan = self.plan
            self.bad_clients = BadClients(self.listen.address, plan.unsound, plan.floods, plan.idle_crowd)
            self.habits.append(self.bad_clients.pump)
        elif what == "reload":
            self.processes[-1].signal(signal.SIGHUP)
        elif what in ("hour on", "hour back"):
            by_s = HOUR_S if what == "hour on" else -HOUR_S
            self._page.write(self._page.read().stepped(time.monotonic(), by_s))
        elif what == "lag" and self.has_outage:
            self.log.lag = 2
            until_s = time.monotonic() + 3.0
            self.habits.append(lambda: self._catch_up(until_s))
        elif what == "renumber" and self.has_outage:
            self.log.renumber([self._member_now(scorer) for scorer in self.scorers])

    def _catch_up(self, until_s: float) -> None:
        if time.monotonic() >= until_s:
            self.log.lag = 0

    def _member_now(self, scorer: SoakScorer) -> dict:
        """The entry of a scorer in a list that is written now."""
        is_drained = bool(scorer.drains) and scorer.drains[-1].until_s == float("inf")
        return scorer.member("terminating" if is_drained else "in_service", up_since_ms=scorer.started_ms)

    # --- checks -----------------------------------------------------------------------------------

    def report(self) -> Report:
        """Check all rules, by the records of clients and scorers."""
        found = Report(self.plan.seed)
        self._check_answers(found)
        self._check_drains(found)
        self._check_repeats(found)
        self._check_loads(found)
        if self.bad_clients is not None:
            found.faults += self.bad_clients.faults()
        for process in self.processes:
            if "fault in" in process.log:
                found.faults.append("fault: " + process.log[process.log.index("fault in") :][:200])
            if process.child.returncode not in (0, -9):
                found.faults.append(f"crash: status {process.child.returncode}")
        found.outage_share = self._served_share(self.plan.outage_from_s, self.plan.outage_until_s)
        found.after_share = self._served_share(self.plan.outage_until_s, self.plan.ends_s)
        found.queries = sum(len(scorer.questions_s) for scorer in self.scorers)
        return found

    def _check_answers(self, found: Report) -> None:
        for call in self.sent:
            if call.at_s > self.term_s + ARRIVALS_END_S:
                continue
            answers = call.caller.seen[call.seqid]
            is_crossing = call.caller.ended and not answers and self._ended_about(call)
            if is_crossing:
                continue
            if answers != 1:
                found.faults.append(f"answers: {answers} for a call at {call.at_s - self.began_s:.2f} s")
            elif call.answered_s > call.deadline_s + LATE_S:
                late_s = call.answered_s - call.deadline_s
                found.faults.append(f"answers: {late_s:.2f} s late at {call.at_s - self.began_s:.2f} s")
            found.kinds[call.caller.kinds().get(call.seqid, "none")] += 1
        for caller in {call.caller for call in self.sent}:
            found.faults += [f"answers: {fault}" for fault in caller.faults if not fault.startswith("broken")]

    def _ended_about(self, call: Sent) -> bool:
        """Whether it was sent as its connection, on which nothing was open, was being ended."""
        open_before = [
            other
            for other in self.sent
            if other.caller is call.caller and other.at_s < call.at_s - CROSSING_S and not other.answered_s
        ]
        return self.term_s < call.at_s and not open_before

    def _check_drains(self, found: Report) -> None:
        for scorer in self.scorers:
            for drain in scorer.drains:
                limit_s = RETURN_S if drain.is_observed else TOLD_AFTER_S
                late = scorer.new_work_in(drain, limit_s + GRACE_S + SLACK_S)
                if late:
                    found.faults.append(f"drain: {len(late)} to {scorer.id}, {late[0]:.2f} s after its drain")

    def _check_repeats(self, found: Report) -> None:
        ids = {f"{call.caller.number:08x}{call.seqid:08x}" for call in self.sent if call.op == "settle"}
        runs = Counter()
        for scorer in self.scorers:
            runs.update({call: count for call, count in scorer.runs_by_id.items() if call in ids})
        found.faults += [f"repeat: {call} ran {count} times" for call, count in runs.items() if count > 1]

    def _check_loads(self, found: Report) -> None:
        orders = sorted(at_s for scorer in self.scorers for at_s in scorer.orders_s)
        calls = [call.at_s for call in self.sent]
        for at_s in orders:
            ordered = sum(at_s - LOAD_WINDOW_S < other <= at_s for other in orders)
            arrived = sum(at_s - LOAD_WINDOW_S < other <= at_s for other in calls)
            if self.bad_clients is not None:
                arrived += self.bad_clients.requests_between(at_s - LOAD_WINDOW_S, at_s)
            if ordered > 1.15 * (FREE_LOADS + LOAD_SHARE * arrived) + 1:
                found.faults.append(f"loads: {ordered} with {arrived} calls")
                return

    def _served_share(self, from_s: float, until_s: float) -> float:
        span = [call for call in self.sent if from_s <= call.at_s - self.began_s < until_s]
        served = sum(call.caller.kinds().get(call.seqid) == "answer" for call in span)
        return served / len(span) if span else float("nan")

    def close(self) -> None:
        """End all processes and peers."""
        if self.bad_clients is not None:
            self.bad_clients.close()
        self.proxy.close()
        self.dead_end.sock.close()
        super().close()
        self._page.close()


def play(plan: Plan, has_outage: bool = True) -> Report:
    """Play a plan, or the same without its outage, and report."""
    site = SoakSite(plan, has_outage)
    try:
        site.play()
        return site.report()
    finally:
        site.close()
