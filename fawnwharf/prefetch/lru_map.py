"""A map in order of last use, built to be cheap for the garbage collector. Pure.

It is made of dicts of about a thousand entries each, because neither an OrderedDict nor a single dict would
do: the collector walks all of the former, and finding the first entry of the latter means skipping all that
were removed before it. Keys and values that the collector does not track leave it nothing to walk here.
"""

from collections.abc import Iterator
from itertools import chain, islice
from typing import Generic, Protocol, TypeVar

SIZE = 1_000  # entries of one dict


class Marked(Protocol):
    """A value of the map; `mark` belongs to the map and tells the dict that the entry is in."""

    mark: int


Key = TypeVar("Key")
Value = TypeVar("Value", bound=Marked)


class LruMap(Generic[Key, Value]):
    """The map: the least recently used entry comes first."""

    def __init__(self) -> None:
        self._all: dict[Key, Value] = {}
        self._rows: dict[int, dict[Key, Value]] = {0: {}}
        self._last = 0

    def __len__(self) -> int:
        return len(self._all)

    def __contains__(self, key: object) -> bool:
        return key in self._all

    def __iter__(self) -> Iterator[Key]:
        """Keys, the least recently used first."""
        return chain.from_iterable(self._rows.values())

    def __getitem__(self, key: Key) -> Value:
        return self._all[key]

    def get(self, key: Key) -> Value | None:
        """The value of a key, or None; this is no use of it."""
        return self._all.get(key)

    def use(self, key: Key, value: Value) -> None:
        """Make the entry, new or not, the one most recently used."""
        if key in self._all:
            self._out(key, value)
        else:
            self._all[key] = value
        row = self._rows[self._last]
        if len(row) >= SIZE:
            self._last += 1
            row = self._rows[self._last] = {}
        row[key], value.mark = value, self._last

    def pop(self, key: Key) -> Value | None:
        """Remove an entry and return its value; None where there is none."""
        value = self._all.pop(key, None)
        if value is not None:
            self._out(key, value)
        return value

    def oldest(self) -> Key | None:
        """The key least recently used; None for an empty map."""
        return next(iter(self), None)

    def latest(self, most: int) -> dict[Key, None]:
        """At most `most` keys, the most recently used first."""
        rows = (reversed(row) for row in reversed(self._rows.values()))
        return dict.fromkeys(islice(chain.from_iterable(rows), most))

    def _out(self, key: Key, value: Value) -> None:
        row = self._rows[value.mark]
        del row[key]
        if not row and value.mark != self._last:
            del self._rows[value.mark]
