"""A scorer that has just joined is taken out by its operator while the front end's process is replaced."""

import secrets
import signal
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
import standins as s

BINDS_AFTER_YES_MS = 2000.0  # "What the change log tells binds 2 s after the yes"
DRAIN_MS = 250.0
LOG_DELAY_MS = 400.0  # of the change log's first line on a connection: discovery is slow
LOAD_MS = 6000.0
RESTART_WITHIN_MS = 1500.0
RESTART_AFTER_MS = 4000.0  # "operators restart the scorer in that time"


def settles(scorer):
    """Whether a call that may not run twice has just begun at a scorer."""
    last = scorer.runs[-1:] or [(0.0, "", {})]
    return s.now_ms() - last[0][0] < 100.0 and last[0][2]["kind"] == "transfer-settle"


def case(platform, record, trouble):
    scorers = [s.Scorer(f"s-{number}", record, work_ms=200.0) for number in (1, 2, 3)]
    joining = scorers[2]
    log = s.ChangeLog([scorer.member() for scorer in scorers[:2]], record)
    listen, control, second_control = s.free_address(), s.free_address(), s.free_address()
    tmp = tempfile.mkdtemp(dir=platform.folder)
    old = platform.start("n1-old", platform.config("n1", listen, control, log), "n1", listen, control, tmp)
    s.wait_ready(control, 30000, record, "n1-old")

    s.wait_for(lambda: log.followed, 5000, "the old process follows the change log")
    log.first_line_delay_ms = LOG_DELAY_MS
    yes_ms = s.now_ms()
    if trouble:
        config = platform.config("n1", listen, second_control, log)  # with all events up to now
        platform.start("n1-new", config, "n1", listen, second_control, tmp)
        requested = "another process requests the hand-off"
        s.wait_for(lambda: requested in platform.log_of("n1-old"), 6000, "the new process asks the old one")
    log.add([joining.member(up_since_ms=0)])
    time.sleep(0.02)
    status = s.operate(control, f"/maintenance/enter?target={joining.id}")
    record(f"operator: takes {joining.id} out at n1-old: {status}")
    if status != 200:
        raise s.CannotRunError(f"the operator's call got {status}")
    out_ms = s.now_ms()
    if trouble:
        s.wait_ready(second_control, 6000, record, "n1-new")
        yes_ms = s.now_ms()
        platform.signal(old, signal.SIGTERM)
        s.wait_for(lambda: old.poll() is not None, 3700, "the old process ends by itself")

    client = s.Client(listen, "client", record)
    requests, functions = [], [secrets.token_hex(8) for _ in range(12)]
    # A few modules draw most calls; every fourth is for one that was not called before.
    binds_ms = max(out_ms, yes_ms + BINDS_AFTER_YES_MS * trouble) + DRAIN_MS + s.SLACK_MS
    until_ms, restart_ms = s.now_ms() + LOAD_MS, out_ms + RESTART_AFTER_MS
    while s.now_ms() < until_ms:
        # The operator restarts the scorer: where calls go there, while one of them runs.
        if s.now_ms() > restart_ms and (settles(joining) or s.now_ms() > restart_ms + RESTART_WITHIN_MS):
            restart_ms = float("inf")
            joining.restart()
        function = functions[len(requests) % len(functions)] if len(requests) % 4 else secrets.token_hex(8)
        requests.append(client.call("transfer-settle", function, 2000))
        time.sleep(0.025)
    time.sleep(1.0)
    new_work = [arrival for arrival in joining.arrivals if arrival[1] in ("call", "order")]
    late = [arrival for arrival in new_work if arrival[0] > binds_ms]
    record(f"{joining.id} got {len(new_work)} calls and orders while it was out, {len(late)} after all grace")
    failed = sum(answer[1] == "failed" for request in requests for answer in request.answers)
    record(f"{failed} of {len(requests)} calls failed")
    faults = s.judge_answers(requests, record)
    if late:
        calls = sum(arrival[1] == "call" for arrival in late)
        faults.append(
            f"{joining.id} is out by its operator's call, and got {calls} calls and {len(late) - calls} "
            f"orders to load from {late[0][0] - out_ms:.0f} to {late[-1][0] - out_ms:.0f} ms after the yes; "
            f"{failed} accepted calls failed as it was restarted"
        )
        record(f"BROKEN: {faults[-1]}")
    return faults


if __name__ == "__main__":
    sys.exit(s.play(__file__, case))
