"""Whom a step is about: front ends, scorers and links, by the words of scenarios."""

import random
from collections.abc import Callable

from fawnwharf.fakes.relay import Relay
from fawnwharf.testbed.fleet import Fleet
from fawnwharf.testbed.processes import Front
from fawnwharf.testbed.scenario import Step


class Parties:
    """Finds the front ends, scorers and links that a step names."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet, self.chance = fleet, random.Random(seed)

    def fronts(self, what: str) -> list[Front]:
        """Front ends by a word.

        One of: all, live, killed (by the last such step), leader, asked (by operators, last), noted (who
        logged what was waited for), zone:Z, share:P of those that live, or names with commas.
        """
        every = list(self.fleet.fronts.values())
        live = [front for front in every if front.alive and not front.stopped]
        if what.startswith("zone:"):
            return [front for front in every if front.zone == what[5:]]
        if what.startswith("share:"):
            return self.chance.sample(live, round(float(what[6:]) * len(every)))
        by_word = {
            "": lambda: every,
            "all": lambda: every,
            "live": lambda: live,
            "killed": lambda: [front for front in every if front.name in self.fleet.killed],
            "leader": lambda: [front for front in live if front.role == "leader"][:1],
            "follower": lambda: [front for front in live if front.voter and front.role != "leader"][:1],
            "asked": lambda: [front for front in every if front.name == self.fleet.asked],
            "noted": lambda: [front for front in every if front.name == self.fleet.noted],
            "mover": lambda: self._last_mover(live),
            "keeper": self._idle_keeper,
            "old leader": lambda: [front for front in every if front.stopped],
        }
        if what in by_word:
            return by_word[what]()
        return [self.fleet.fronts[name] for name in what.split(",")]

    def _last_mover(self, live: list[Front]) -> list[Front]:
        moved = [note.front for note in self.fleet.notes if note.event == "session moved"]
        return [front for front in live if front.name in moved[-1:]]

    def _idle_keeper(self) -> list[Front]:
        """A replica that neither leads nor was asked by operators."""
        return [f for f in self.keepers() if f.role != "leader" and f.name != self.fleet.asked][:1]

    def keepers(self) -> list[Front]:
        """The replicas that live, of the last list that was told; any front end where none was."""
        for note in reversed(self.fleet.notes):
            if note.event == "replication started":
                names = [name for names in note.fields["replicas"].values() for name in names]
                break
        else:
            names = list(self.fleet.fronts)
        live = {front.name for front in self.fronts("live")}
        return [self.fleet.fronts[name] for name in names if name in live]

    def ids(self, what: str) -> list[str]:
        """Scorers by a word: zone:Z, names with commas, or all for an empty one."""
        if what.startswith("zone:"):
            return [id for id in self.fleet.scorers if self.fleet.scorer_zone[id] == what[5:]]
        return what.split(",") if what else list(self.fleet.scorers)

    def links(self, step: Step) -> list[tuple[Relay, bool]]:
        """The relays between two parties, each with whether `what` is the one that dials.

        A zone is all that stands in it but its clients, who stay with their front ends; a front end is
        itself.
        """

        def side(word: str) -> Callable[[str], bool]:
            if word.startswith("zone:"):
                return lambda party: (
                    self.fleet.zone_of(party) == word[5:] and not party.startswith("clients-")
                )
            if word.startswith("clients:"):
                return lambda party: party == f"clients-{word[8:]}"
            if word in ("leader", "follower", "old leader", "asked", "noted"):
                names = {front.name for front in self.fronts(word)}
                return lambda party: party in names
            if word == "rest":
                first = side(step.what)
                return lambda party: not first(party) and not party.startswith("clients-")
            return lambda party: party in word.split(",")

        one, other = side(step.what), side(step.to or "rest")
        found = []
        for (source, target, what), relay in self.fleet.relays.items():
            if what == "roster":
                continue
            if one(source) and other(target):
                found.append((relay, True))
            elif one(target) and other(source):
                found.append((relay, False))
        return found

    def doors(self, zone: str) -> list[Relay]:
        """The links by which clients come to a zone's front ends."""
        return [
            relay
            for (_, target, what), relay in self.fleet.relays.items()
            if what == "clients" and self.fleet.zone_of(target) == zone
        ]
