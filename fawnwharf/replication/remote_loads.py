"""What keepers make of owners' words on their work, and what a front end makes of keepers' answers. Pure.

No clock is compared with another one's, and no time is taken from when a line came. A word names the last
answer that its owner had, so it was made after that one was sent; an answer names the word that it is to. The
earlier moment counts, by the own clock: a line that was held up only seems older than it is.
"""

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from fawnwharf import interface as io
from fawnwharf.replication import messages as m
from fawnwharf.replication.load_report import AGAIN, LOAD_LONG_MS, Place

SCORERS_MOST, LOADS_MOST, NEWS_MOST = 64, 256, 256  # in an answer
LIVES_MOST = 2  # of one front end
PLACES_MOST = 8_000  # of copies, each as the last two owners have it
ANSWERS_MOST = 32  # that an owner's word may name
SUM_MS = 20.0  # sums are made anew after so long
FLOOD_MS = 5.0  # between two answers to one owner
TELL_MOST = 256  # copies of one scorer, to the module
AGAIN_MS = 500.0  # what stays the same is told to the module again, when it is so much fresher
BESIDE_MS = 100.0  # older than sends or loads of its scorer, a copy is not told beside them
TURN = 0.4  # of a word's time: a keeper that tells nothing, or hears few, for so long has its turn taken
PART = 0.1  # of the fleet may be unheard while sends are held to be known


def most_heard(heard: int, fronts: int) -> bool:
    """Whether what others sent is known: all but a tenth of the fleet are heard."""
    return fronts - heard <= PART * fronts


@dataclass(slots=True)
class OwnerReport:
    """The word of one owner: of sends and loads the one with the largest number, of copies that by place."""

    number: int = 0
    made_ms: float = -math.inf  # of that word: not earlier
    sent: dict[str, int] = field(default_factory=dict)
    loading: tuple[tuple[int, str, float], ...] = ()  # since when
    copies: dict[Place, tuple[int, int, float]] = field(default_factory=dict)  # number, copies, proof

    def merge(self, work: m.LoadReport, made_ms: float) -> list[Place]:
        """Take a word that was made at `made_ms` or later; the places of which it tells something later."""
        if work.number > self.number:
            self.number, self.made_ms, self.sent = work.number, made_ms, work.sent
            self.loading = tuple((load.scorer, load.function, made_ms - load.age_ms) for load in work.loading)
        found = []
        for copy in work.copies:
            place = copy.scorer, copy.function
            if work.number > self.copies.get(place, (0,))[0]:
                self.copies[place] = work.number, copy.copies, made_ms - copy.age_ms
                found.append(place)
        return found


@dataclass(slots=True)
class _Sum:
    """All owners' words of one moment."""

    at_ms: float
    parts: dict[str, dict[str, int]] = field(default_factory=dict)  # sends, by owner
    total: dict[str, int] = field(default_factory=dict)
    made: list[tuple[float, str]] = field(default_factory=list)  # the oldest first
    loading: list[tuple[float, int, str, str]] = field(default_factory=list)  # the latest first
    names: set[str] = field(default_factory=set)


@dataclass(slots=True)
class _Place:
    """Copies of a function at a scorer: who told of them, and what was news last."""

    owners: set[str] = field(default_factory=set)
    number: int = 0
    copies: int = -1
    proof_ms: float = -math.inf


class LoadReportStore:
    """A keeper's: the words of all owners."""

    def __init__(self, word_ms: float, copies_ms: float, first: int) -> None:
        """Answers are numbered from `first` on, another one in each life of this keeper: a word that names
        one of an earlier life names none of this."""
        self.word_ms, self.copies_ms = word_ms, copies_ms
        self.owners: dict[str, OwnerReport] = {}
        self.counts: dict[str, int] = {}
        self._answers: dict[str, deque[tuple[int, float]]] = {}  # number and time of those to each owner
        self._places: dict[Place, _Place] = {}  # the latest news last
        self._number = first  # of the last answer or news
        self._sum: _Sum | None = None

    def _count(self, cause: str, more: int = 1) -> None:
        self.counts[cause] = self.counts.get(cause, 0) + more

    def made_ms(self, keeper: str, owner: str, work: m.LoadReport) -> float | None:
        """Before when the word was not made; None where that can't be told."""
        named = work.last_answers.get(keeper)
        return next((at for n, at in reversed(self._answers.get(owner, ())) if n == named), None)

    def heard(self, now_ms: float, keeper: str, owner: str, work: m.LoadReport) -> m.RemoteLoadReport | None:
        """Take an owner's word, and answer it. `keeper` is the name of this one."""
        self._tidy(now_ms, owner)
        made = self.made_ms(keeper, owner, work)
        if made is None:
            self._count("work: words that name no answer")
        else:
            self._take(owner, work, made)
        answers = self._answers.setdefault(owner, deque(maxlen=ANSWERS_MOST))
        if answers and now_ms - answers[-1][1] < FLOOD_MS:
            self._count("work: words too fast")
            return None
        self._number += 1
        answers.append((self._number, now_ms))
        if work.full_answer_from != keeper:
            return m.RemoteLoadReport(work.number, int(owner.partition("#")[2]), self._number)
        since = work.since if work.since < self._number else 0  # else it is another life's
        return self._answer(now_ms, owner, work.number, since)

    def _take(self, owner: str, work: m.LoadReport, made_ms: float) -> None:
        held = self.owners.setdefault(owner, OwnerReport())
        if work.number <= held.number:
            self._count("work: older words")
        for place in held.merge(work, made_ms):
            known = self._places.setdefault(place, _Place())
            known.owners.add(owner)
            if len(known.owners) > 2:  # one more than any answer looks at: each is without its owner's own
                self._drop(place, min(known.owners, key=lambda o: self.owners[o].copies[place][2]))
            proof_ms, copies = max(self.owners[o].copies[place][:0:-1] for o in known.owners)
            # Who only had an answer knows of one copy: fewer than was told is no news until it is told anew.
            more = copies > known.copies or (not copies and known.copies)
            if more or proof_ms - known.proof_ms >= AGAIN * self.copies_ms:
                self._number += 1
                known.number, known.copies, known.proof_ms = self._number, copies, proof_ms
                self._places[place] = self._places.pop(place)
        while len(self._places) > PLACES_MOST:
            place, known = next(iter(self._places.items()))
            for name in list(known.owners):
                self._drop(place, name)

    def _drop(self, place: Place, owner: str) -> None:
        self.owners[owner].copies.pop(place, None)
        if known := self._places.get(place):
            known.owners.discard(owner)
            if not known.owners:
                del self._places[place]

    def _tidy(self, now_ms: float, owner: str) -> None:
        """Forget what is old, and lives beyond the last two of one front end."""
        if self._sum is not None and now_ms - self._sum.at_ms < SUM_MS and owner in self._answers:
            return
        gone = []
        if owner not in self._answers:
            name = owner.partition("#")[0]
            lives = [o for o in self._answers if o.partition("#")[0] == name]
            gone = lives[: max(0, len(lives) + 1 - LIVES_MOST)]
        keep_ms = max(self.word_ms, self.copies_ms)
        gone += [o for o, answers in self._answers.items() if now_ms - answers[-1][1] > keep_ms]
        for old in dict.fromkeys(gone):
            for place in list(self.owners[old].copies) if old in self.owners else ():
                self._drop(place, old)
            self.owners.pop(old, None)
            del self._answers[old]
        self._sum = None

    def _summed(self, now_ms: float) -> _Sum:
        if self._sum is not None and 0.0 <= now_ms - self._sum.at_ms < SUM_MS:
            return self._sum
        found = self._sum = _Sum(now_ms)
        for owner, held in self.owners.items():
            if now_ms - held.made_ms > self.word_ms:
                continue
            found.names.add(owner.partition("#")[0])
            found.made.append((held.made_ms, owner))
            found.parts[owner] = held.sent
            for worker, count in held.sent.items():
                found.total[worker] = found.total.get(worker, 0) + count
            found.loading += [(since, worker, function, owner) for worker, function, since in held.loading]
        found.made.sort()
        found.loading.sort(reverse=True)
        return found

    def _answer(self, now_ms: float, owner: str, number: int, since: int) -> m.RemoteLoadReport:
        found = self._summed(now_ms)
        own = found.parts.get(owner, {})
        sent = {worker: count - own.get(worker, 0) for worker, count in found.total.items()}
        most = sorted((item for item in sent.items() if item[1]), key=lambda item: -item[1])
        loading: dict[Place, float] = {}
        for begun, worker, function, who in found.loading:
            if who != owner and now_ms - begun <= LOAD_LONG_MS:
                loading.setdefault((worker, function), begun)
        copies, cut = self._news(now_ms, owner, since)
        cut += max(0, len(loading) - LOADS_MOST) + max(0, len(most) - SCORERS_MOST)
        if cut:
            self._count("work: cut from answers", cut)
        oldest = next((made for made, who in found.made if who != owner), now_ms)
        name, _, life = owner.partition("#")
        return m.RemoteLoadReport(
            number, int(life), self._number, len(found.names | {name}), round(now_ms - oldest, 1),
            dict(most[:SCORERS_MOST]),
            tuple(m.PendingLoad(*p, round(now_ms - at, 1)) for p, at in list(loading.items())[:LOADS_MOST]),
            tuple(copies), cut,
        )  # fmt: skip

    def _news(self, now_ms: float, owner: str, since: int) -> tuple[list[m.ProvenCopy], int]:
        """Copies of which there is news since an answer, as the others have them; the latest first."""
        found, cut = [], 0
        for place, known in reversed(self._places.items()):
            if known.number <= since:
                break
            proofs = [self.owners[o].copies[place][:0:-1] for o in known.owners if o != owner]
            proof_ms, copies = max(proofs, default=(-math.inf, 0))
            if now_ms - proof_ms > self.copies_ms:
                continue
            if len(found) < NEWS_MOST:
                found.append(m.ProvenCopy(*place, copies, round(now_ms - proof_ms, 1)))
            else:
                cut += 1
        return found, cut


@dataclass(slots=True)
class _Answer:
    life: int
    asked_ms: float  # when the word that it is to was sent: the answer is no older
    others: m.RemoteLoadReport


@dataclass(slots=True)
class _Told:
    event: io.RemoteLoadReport
    oldest_ms: float


class RemoteLoads:
    """A front end's: what keepers answered, and what its module is told of it."""

    def __init__(self, word_ms: float, copies_ms: float) -> None:
        self.word_ms, self.copies_ms = word_ms, copies_ms
        self.counts: dict[str, int] = {}
        self.news = False  # an answer came; whoever looks at it clears this
        self._answers: dict[str, _Answer] = {}  # those that told all, by keeper
        self._after: dict[str, tuple[int, int]] = {}  # the last of any kind, by keeper: its life and number
        self._wants, self._wants_ms = "", -math.inf  # who is to tell all, and since when
        self._asked: deque[tuple[int, float]] = deque(maxlen=4 * ANSWERS_MOST)
        self._copies: dict[int, dict[str, tuple[float, int]]] = {}  # by scorer: proof and copies
        self._told: dict[int, _Told] = {}

    def _count(self, cause: str) -> None:
        self.counts[cause] = self.counts.get(cause, 0) + 1

    def asked(self, now_ms: float, number: int) -> None:
        """The word of this number goes out now."""
        self._asked.append((number, now_ms))

    def after(self) -> dict[str, int]:
        return {keeper: answer for keeper, (_, answer) in self._after.items()}

    def wants(self, now_ms: float, keepers: Sequence[str], fronts: int) -> tuple[str, int]:
        """The keeper that is to tell all, and its last answer that did: the same one while it answers and
        hears enough, else the next of `keepers`."""
        held = self._answers.get(self._wants)
        well = held is not None and now_ms - held.asked_ms <= TURN * self.word_ms
        well = well and most_heard(held.others.front_ends, fronts)
        if self._wants not in keepers or (not well and now_ms - self._wants_ms > TURN * self.word_ms):
            at = keepers.index(self._wants) + 1 if self._wants in keepers else 0
            self._wants, self._wants_ms = keepers[at % len(keepers)] if keepers else "", now_ms
        held = self._answers.get(self._wants)
        return self._wants, held.others.answer_number if held else 0

    def heard(self, keeper: str, life: int, others: m.RemoteLoadReport) -> None:
        """A keeper's answer; `life` is the keeper's."""
        asked_ms = next((at for number, at in reversed(self._asked) if number == others.report_number), None)
        known = self._after.get(keeper, (0, 0))
        if asked_ms is None or (known[0] == life and others.answer_number <= known[1]):
            self._count("work: answers out of place")
            return
        self._after[keeper] = life, others.answer_number
        if not others.front_ends:
            return
        self._answers[keeper], self.news = _Answer(life, asked_ms, others), True
        for copy in others.copies:
            places = self._copies.setdefault(copy.scorer, {})
            proof = asked_ms - copy.age_ms, copy.copies
            places[copy.function] = max(proof, places.get(copy.function, proof))
            while len(places) > TELL_MOST:
                del places[min(places, key=lambda function: places[function])]

    @property
    def copies(self) -> int:
        """How many (scorers and functions) are held to be known."""
        return sum(map(len, self._copies.values()))

    def forget_keepers(self, keepers: set[str]) -> None:
        """These are none any more."""
        self._answers = {k: held for k, held in self._answers.items() if k not in keepers}
        self._after = {k: last for k, last in self._after.items() if k not in keepers}

    def best(self, now_ms: float) -> _Answer | None:
        """The answer that hears most, then the latest, of those that count."""
        fresh = [h for h in self._answers.values() if now_ms - self._made(h) <= self.word_ms]
        return max(fresh, key=lambda held: (held.others.front_ends, held.asked_ms), default=None)

    def sure(self, now_ms: float, fronts: int) -> bool:
        """Whether what others sent is known; `fronts` are all of the fleet."""
        best = self.best(now_ms)
        return best is not None and most_heard(best.others.front_ends, fronts)

    def _made(self, held: _Answer) -> float:
        return held.asked_ms - held.others.age_ms

    def changes(
        self, now_ms: float, cold: set[int], known: set[int], fronts: int
    ) -> list[io.RemoteLoadReport]:
        """What the module is to be told now, by scorer. `fronts` are all of the fleet."""
        best = self.best(now_ms)
        sure = self.sure(now_ms, fronts)
        loading: dict[int, dict[str, float]] = {}
        for held in self._answers.values():
            if now_ms - held.asked_ms <= self.word_ms:
                for load in held.others.loading:
                    loading.setdefault(load.scorer, {})[load.function] = self._made(held)
        for worker in [worker for worker in self._copies if worker not in known]:
            del self._copies[worker]
        for worker in [worker for worker in self._told if worker not in known]:
            del self._told[worker]
        found = []
        for worker in (cold | self._copies.keys() | loading.keys() | self._told.keys()) & known:
            sent = best.others.sent.get(str(worker), 0) if sure and worker in cold else None
            bases = [self._made(best)] if sent is not None else []
            bases += loading.get(worker, {}).values()
            # The oldest word tells the age of all: old proofs, which were told before, leave the rest fresh.
            span = now_ms - min(bases) + BESIDE_MS if bases else self.copies_ms
            copies = self._standing(now_ms, worker, span)
            bases += [proof for proof, _ in copies.values()]
            oldest = min(bases, default=now_ms)
            counts = {function: count for function, (_, count) in copies.items()}
            loads = tuple(sorted(loading.get(worker, ())))
            event = io.RemoteLoadReport(worker, sent, counts, loads, now_ms - oldest)
            if self._is_news(event, oldest):
                self._told[worker] = _Told(event, oldest)
                found.append(event)
            if not bases:
                self._told.pop(worker, None)
        return found

    def _standing(self, now_ms: float, worker: int, span_ms: float) -> dict[str, tuple[float, int]]:
        """Copies with a proof within this span; what is older than any counts is forgotten."""
        places = self._copies.get(worker, {})
        for function in [f for f, (proof, _) in places.items() if now_ms - proof > self.copies_ms]:
            del places[function]
        if not places:
            self._copies.pop(worker, None)
        return {f: held for f, held in places.items() if held[1] and now_ms - held[0] <= span_ms}

    def _is_news(self, event: io.RemoteLoadReport, oldest_ms: float) -> bool:
        told = self._told.get(event.scorer)
        if told is None:
            return event.sent is not None or bool(event.copies or event.loading)
        before = told.event
        same = (event.sent, event.copies, event.loading) == (before.sent, before.copies, before.loading)
        # What others sent is counted as of now, so that the same number of a later word is news.
        fresher = 1.0 if event.sent is not None else AGAIN_MS
        return not same or oldest_ms - told.oldest_ms >= fresher
