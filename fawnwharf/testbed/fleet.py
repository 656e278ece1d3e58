"""A fleet on loopback: real processes of `serve`, with fakes for all that they talk to.

The one event loop of this process drives the fake servers, the relays and the clients; the front ends are
processes of their own, which can be killed, paused and started again.
"""

import contextlib
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

from fawnwharf.fakes import lossy
from fawnwharf.net.timer_wheel import monotonic_ms
from fawnwharf.testbed import files
from fawnwharf.testbed.clocks import PAGE, Clocks
from fawnwharf.testbed.processes import Former, Front, LabError, Noted, Pipe, Waits
from fawnwharf.testbed.scenario import Scenario
from fawnwharf.testbed.topology import Topology

PATIENCE_S = 40.0
STOOD_MS = 200.0  # between two looks: beyond it this process was held up, whatever the system counts
LOOK_MS = 50.0  # pace of looks at how long processes wait for a processor


class Fleet(Topology):
    """Owns everything of one run: processes, fakes, relays, files, and what was logged."""

    def __init__(self, scenario: Scenario, seed: int, folder: Path | None = None) -> None:
        self._temporary = folder is None
        self.notes: list[Noted] = []
        self.marks: dict[str, float] = {}
        self.waits = Waits()  # of this process
        self._looked_ms = 0.0
        self.stretches: list[Any] = []  # that operators' calls began, for the checker
        self.replaced: list[Any] = []
        self.proposed: list[Any] = []
        self.faults: list[tuple[str, str]] = []  # front ends, and lines that tell of an exception
        self.asked = ""  # the front end that operators of sessions turned to last
        self.killed: list[str] = []  # the front ends that a step killed last
        self.noted = ""  # the front end whose note a step waited for
        self.clocks = Clocks(scenario.clocks, seed)
        super().__init__(scenario, seed, folder or Path(tempfile.mkdtemp(prefix="fawnwharf-lab-")))

    # --- processes ------------------------------------------------------------------------------

    def found(self) -> None:
        """Bootstrap the fleet at one voter, by the operators' own command."""
        first = next(front for front in self.fronts.values() if front.voter)
        files.write_files(self, first)
        command = [sys.executable, "-m", "fawnwharf", "zones", "found", first.name, "--zones", "zones.json"]
        try:
            done = subprocess.run(
                command, cwd=first.folder, capture_output=True, text=True, timeout=PATIENCE_S
            )
        except subprocess.TimeoutExpired:
            raise LabError(f"zones found: not done within {PATIENCE_S:g} s") from None
        if done.returncode:
            raise LabError(f"zones found: {done.stderr.strip()}")

    def start(self, front: Front, as_it_was: bool = False) -> None:
        """Start front ends; with `as_it_was` by the configuration that is on their disks."""
        if front.alive:
            return
        if not as_it_was:
            files.write_whole(front.folder / "config.json", files.config(self, front))
        if self.scenario.decide or self.scenario.state is not None:
            files.write_files(self, front)
        if self.scenario.policy is not None:
            files.write_policy(self, front)
        shutil.rmtree(front.folder / "tmp", ignore_errors=True)  # what was learnt is lost with a restart
        (front.folder / "tmp").mkdir()
        if not self.clocks.begun(front.name):
            self.clocks.begin(front.name, front.folder)
        self.launch(front)
        front.plan, front.index, front.role, front.policy = None, 0, "", None
        self._listens(front.name, False)

    def launch(self, front: Front) -> None:
        """Start one more process by the files that are there; `front` is that one from now on."""
        environment = {k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")}
        environment |= {"ROUTER_CONFIG": "config.json", "TMPDIR": str((front.folder / "tmp").resolve())}
        if self.scenario.recovery is not None:
            environment |= files.lossy(self, front)
        front.process = subprocess.Popen(
            self.command(front), cwd=front.folder, env=environment, stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL, stderr=subprocess.PIPE, pass_fds=[self.slot.lock.fileno()],
        )  # fmt: skip
        front.ready = False
        front.lines.clear()
        front.pipe = Pipe(self.loop, front, self.wrote)

    def command(self, front: Front) -> list[str]:
        """The command line of a front end."""
        program = ["fawnwharf"] if self.scenario.clocks is None else ["fawnwharf.fakes.clocks", PAGE]
        command = [sys.executable, "-m", *program, "serve"]
        if self.scenario.decide:
            command += ["--zones", "zones.json"]
        if self.scenario.policy is not None:
            command += ["--policy", "policy.json"]
        if self.scenario.state is not None:
            command += ["--state", "state.json"] + ([] if front.lives else ["--fresh"])
        if self.scenario.sessions is not None:
            command += ["--sessions", "sessions.json"]
        if self.scenario.recovery is not None:
            command += ["--recovery", "recovery.json"]
        return command

    def wrote(self, front: Front, line: str) -> None:
        """Take a line of a front end's log."""
        now = monotonic_ms()
        front.lines.append(line)
        if ": fault in " in line[:60]:  # the loop's own word on an exception
            self.faults.append((front.name, line))
        if "serving on" in line:
            front.ready = True
            self._listens(front.name, True)
            if not front.lives or front.lives[-1][1] < now:  # else it goes on with the life of another
                front.lives.append([now, float("inf")])
        if not line.startswith("{"):
            return
        try:
            fields = json.loads(line)
        except ValueError:
            return
        event = fields.pop("event", "")
        self.notes.append(Noted(now, front.name, event, fields))
        if event == "following":
            front.plan, front.index = fields.get("zones", {}), fields.get("index", 0)
            front.apart = fields.get("unreachable", [])
        elif event == "standalone":
            front.plan = None
        elif event == "role":
            front.role = fields.get("role", "")
        elif event == "policy":
            front.policy = fields.get("number", -1), fields.get("digest", ""), fields.get("how", "")

    def reap(self) -> None:
        """Notice processes that have ended by themselves."""
        for front in self.fronts.values():
            self._reap(front)
            if front.former is not None:
                self.reap_former(front)

    def _reap(self, front: Front) -> None:
        if front.process is not None and (status := front.process.poll()) is not None:
            front.status = status
            self._ended(front)

    def reap_former(self, front: Front) -> None:
        """Notice that a replaced process has ended, as it should."""
        former = front.former
        if (status := former.process.poll()) is None:
            return
        former.pipe.finish()
        front.former = None
        if status and front.status in (None, 0):
            front.status = status

    def former_wrote(self, front: Front, former: Former, line: str) -> None:
        """Take a line of a replaced process, which no longer tells of the front end's state."""
        former.lines.append(line)
        if line.startswith("{"):
            with contextlib.suppress(ValueError):
                fields = json.loads(line)
                self.notes.append(Noted(monotonic_ms(), front.name, fields.pop("event", ""), fields))

    def back_to_former(self, front: Front) -> None:
        """Go back to the old process, as the new one ended first."""
        front.pipe.finish()
        former, front.former = front.former, None
        front.process, front.pipe, front.ready = former.process, former.pipe, True
        front.number -= 1
        front.pipe.wrote = self.wrote

    def new_life(self, front: Front) -> None:
        """Take that a front end's process is another one from now on."""
        now = monotonic_ms()
        front.lives[-1][1] = now
        front.lives.append([now, float("inf")])

    def _ended(self, front: Front) -> None:
        """Take that a process ended, together with all that it wrote before.

        A line that were read later would be taken for one of the next process, or be missing for whoever
        looks why it ended.
        """
        front.pipe.finish()
        front.process = None
        if front.lives and front.lives[-1][1] == float("inf"):
            front.lives[-1][1] = monotonic_ms()
        if front.halts and front.halts[-1][1] == float("inf"):
            front.halts[-1][1] = monotonic_ms()
        front.ready, front.plan, front.apart, front.role, front.stopped = False, None, [], "", False
        front.policy = None
        self._listens(front.name, False)

    def kill(self, front: Front) -> None:
        """Kill a front end; one that had ended by itself is judged by its status."""
        self._reap(front)  # one that had ended by itself was not killed, and is judged by its status
        if front.process is None:
            return
        front.process.send_signal(signal.SIGKILL)
        front.process.wait()
        self._ended(front)

    def cut(self, fronts: list[Front]) -> None:
        """Cut the power of these machines at one moment: what was written and not synced is lost."""
        for front in fronts:
            self._reap(front)
        ending = [front for front in fronts if front.process is not None]
        for front in fronts:
            lossy.cut(front.folder / files.POWER, tear=True)  # a writer first, as it outlives who began it
            processes = [front.process, front.former.process if front.former else None]
            for process in processes:
                if process is not None:
                    process.send_signal(signal.SIGKILL)
        for front in fronts:
            if front.former is not None:
                front.former.process.wait()
                front.former.pipe.finish()
                front.former = None
        for front in ending:
            front.process.wait()
            self._ended(front)

    def stop(self, front: Front) -> None:
        """Pause a front end's process."""
        if front.process is not None and not front.stopped:
            front.process.send_signal(signal.SIGSTOP)
            front.stopped = True
            front.halts.append([monotonic_ms(), float("inf")])

    def go_on(self, front: Front) -> None:
        """Resume a paused process."""
        if front.process is not None and front.stopped:
            front.process.send_signal(signal.SIGCONT)
            front.stopped = False
            front.halts[-1][1] = monotonic_ms()

    def used(self) -> dict[str, tuple[float, float]]:
        """Processor seconds and megabytes of memory of each front end that lives, by the system's count."""
        found = {}
        tick, page = os.sysconf("SC_CLK_TCK"), os.sysconf("SC_PAGE_SIZE")
        for front in self.fronts.values():
            if front.process is None:
                continue
            with contextlib.suppress(OSError):
                stat = Path(f"/proc/{front.process.pid}/stat").read_text().rpartition(")")[2].split()
                resident = int(Path(f"/proc/{front.process.pid}/statm").read_text().split()[1])
                seconds = (int(stat[11]) + int(stat[12])) / tick
                found[front.name] = (seconds, resident * page / 2**20)
        return found

    # --- turning --------------------------------------------------------------------------------

    def turn(self, most_s: float = 0.02) -> None:
        """Run one iteration of the event loop."""
        self.loop.run_iteration(most_s)
        self.reap()
        if (now := monotonic_ms()) - self._looked_ms >= LOOK_MS:
            stood_ms, self._looked_ms = now - self._looked_ms - STOOD_MS, now
            before_ms = self.waits.total_ms[-1] if self.waits.total_ms else 0.0
            self.waits.look(now, os.getpid())
            if before_ms and (more := stood_ms - (self.waits.total_ms[-1] - before_ms)) > 0:
                self.waits.stood_still(more)
            for front in self.fronts.values():
                if front.process is not None:
                    front.waits.look(now, front.process.pid)

    def until(self, condition: Callable[[], bool], what: str, within_s: float = PATIENCE_S) -> None:
        """Run until a condition holds; raises LabError where it doesn't in time."""
        end = monotonic_ms() + 1000.0 * within_s
        while not condition():
            if monotonic_ms() > end:
                raise LabError(f"waited {within_s:g} s in vain for {what}")
            self.turn()

    def until_ready(self, fronts: list[Front], what: str) -> None:
        """Run until all of these are ready; raises LabError with the last line of one that ends."""

        def ready() -> bool:
            for front in fronts:
                if not front.alive:
                    raise LabError(f"{front.name} ended with {front.status}: {front.last_line}")
            return all(front.ready for front in fronts)

        self.until(ready, what)

    def rest(self, seconds: float) -> None:
        """Run for some seconds."""
        end = monotonic_ms() + 1000.0 * seconds
        while monotonic_ms() < end:
            self.turn()

    def close(self) -> None:
        """End all processes and close everything."""
        for front in self.fronts.values():
            if front.former is not None:
                front.former.process.kill()
                front.former.process.wait()
                self.reap_former(front)
            if front.process is not None:
                with contextlib.suppress(OSError):
                    front.process.send_signal(signal.SIGCONT)
                self.kill(front)
        super().close()
        self.clocks.close()
        if self._temporary:
            shutil.rmtree(self.folder, ignore_errors=True)
