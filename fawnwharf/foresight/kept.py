"""A table in the order of last use. Pure.

Made of dicts of some hundred entries in a row, as neither an OrderedDict nor one dict would do: the collector
of garbage walks all of the first, and the first entry of the second is found only past all that were taken
out before it. Keys and values that are not seen by the collector leave nothing for it to walk here.
"""

from collections.abc import Iterator
from itertools import chain, islice
from typing import Generic, Protocol, TypeVar

SIZE = 1_000  # entries of one dict


class Marked(Protocol):
    """What is kept: `mark` is the table's."""

    mark: int


Key = TypeVar("Key")
Value = TypeVar("Value", bound=Marked)


class Kept(Generic[Key, Value]):
    def __init__(self) -> None:
        self._all: dict[Key, Value] = {}
        self._rows: dict[int, dict[Key, Value]] = {0: {}}
        self._last = 0

    def __len__(self) -> int:
        return len(self._all)

    def __contains__(self, key: object) -> bool:
        return key in self._all

    def __iter__(self) -> Iterator[Key]:
        """Not used for longest first."""
        return chain.from_iterable(self._rows.values())

    def __getitem__(self, key: Key) -> Value:
        return self._all[key]

    def get(self, key: Key) -> Value | None:
        return self._all.get(key)

    def use(self, key: Key, value: Value) -> None:
        """It is the last one used, be it new or not."""
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
        value = self._all.pop(key, None)
        if value is not None:
            self._out(key, value)
        return value

    def oldest(self) -> Key | None:
        """The one not used for longest."""
        return next(iter(self), None)

    def latest(self, most: int) -> dict[Key, None]:
        """Those used last, the last one first."""
        rows = (reversed(row) for row in reversed(self._rows.values()))
        return dict.fromkeys(islice(chain.from_iterable(rows), most))

    def _out(self, key: Key, value: Value) -> None:
        row = self._rows[value.mark]
        del row[key]
        if not row and value.mark != self._last:
            del self._rows[value.mark]
