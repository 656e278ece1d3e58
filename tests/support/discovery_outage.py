"""Peers for a discovery outage: a change log that falls silent, and scorers that drain meanwhile."""

import json
import time

from processes import Log, Scorer, Site

from fawnwharf.net import scorer_frames

TOLD_AFTER_S = 7.0  # a change log event counts as received after this time, received or not
GRACE_S = 0.25  # within which a front end has to apply a drain
SLACK_S = 0.05  # for the measurement


class SilencedLog(Log):
    """A change log that can stop accepting, reading and writing."""

    silent = False

    def pump(self) -> None:
        """Write heartbeats, except while silent."""
        if self.silent:
            super(Log, self).pump()
        else:
            super().pump()


class DrainingScorer(Scorer):
    """A scorer that rejects new work once it drains, and records when it received new work."""

    drained_s: float | None = None

    def __init__(self, id: str, delay_s: float = 0.02, copies: int = 4) -> None:
        super().__init__(id, delay_s, copies)
        self.new_work_s: list[float] = []  # on the monotonic clock, of each call and each order for copies
        self.orders_s: list[float] = []  # of each order for copies
        self.questions_s: list[float] = []  # of each query, an order with a count of 0
        self._seen = 0

    def pump(self) -> None:
        """Receive frames, and record the time of each kind."""
        super().pump()
        now_s = time.monotonic()
        for _, frame in self.frames[self._seen :]:
            if frame.code == scorer_frames.RUN or frame.fields.get("slots_up", "0") != "0":
                self.new_work_s.append(now_s)
                if frame.code == scorer_frames.LOAD:
                    self.orders_s.append(now_s)
            elif frame.code == scorer_frames.LOAD:
                self.questions_s.append(now_s)
        self._seen = len(self.frames)

    def answer(self, item, code=0, fields="res=reused", body=b"") -> None:
        """Answer a frame; once the scorer drains, with `FULL`."""
        link, frame = item
        if self.drained_s is None:
            super().answer(item, code, fields, body)
            return
        data = scorer_frames.encode(
            scorer_frames.FULL, frame.id, "slots_up=0", direction=scorer_frames.FROM_SCORER
        )
        self.outboxes.setdefault(link, bytearray()).extend(data)

    def new_work_after(self, span_s: float) -> list[float]:
        """When new work was received later than `span_s` after the drain, in seconds after the drain."""
        since_s = self.drained_s if self.drained_s is not None else float("inf")
        return [at_s - since_s for at_s in self.new_work_s if at_s - since_s > span_s]


class OutageSite(Site):
    """A front end process with a change log that can fall silent and scorers that can drain."""

    def __init__(self, scorers: int = 3) -> None:
        super().__init__(scorers=0)
        self.log.close()
        self.log = SilencedLog()
        self.scorers = [DrainingScorer(f"s-{number + 1}") for number in range(scorers)]
        members = [scorer.member() for scorer in self.scorers]
        event = {"seq": 1, "fleet": {"complete": True, "members": members}}
        self.configure(changelog=self.log.host_port, known={"seq": 1, "results": [event]})

    def configure(self, **changes) -> None:
        """Write the configuration with these keys changed."""
        config = json.loads(self.config.read_text())
        self.config.write_text(json.dumps(config | changes))
