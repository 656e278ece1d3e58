"""A map in order of last use that is cheap for the garbage collector. Pure.

It consists of chunks, dicts of about a thousand entries each. The collector would walk all entries of an
OrderedDict, and finding the first entry of a single dict means skipping all that were removed before it. Keys
and values that the collector does not track leave it nothing to walk here.
"""

from collections.abc import Iterator
from itertools import chain, islice
from typing import Generic, Protocol, TypeVar

CHUNK_SIZE = 1_000  # entries


class Indexed(Protocol):
    """A value of the map; `chunk_index` belongs to the map and tells the chunk that the entry is in."""

    chunk_index: int


Key = TypeVar("Key")
Value = TypeVar("Value", bound=Indexed)


class LruMap(Generic[Key, Value]):
    """The map: the least recently used entry comes first."""

    def __init__(self) -> None:
        self._values: dict[Key, Value] = {}
        self._chunks: dict[int, dict[Key, Value]] = {0: {}}
        self._last_index = 0

    def __len__(self) -> int:
        return len(self._values)

    def __contains__(self, key: object) -> bool:
        return key in self._values

    def __iter__(self) -> Iterator[Key]:
        """Keys, the least recently used first."""
        return chain.from_iterable(self._chunks.values())

    def __getitem__(self, key: Key) -> Value:
        return self._values[key]

    def get(self, key: Key) -> Value | None:
        """The value of a key, or None; this is no use of it."""
        return self._values.get(key)

    def use(self, key: Key, value: Value) -> None:
        """Make the entry, new or not, the one most recently used."""
        if key in self._values:
            self._remove_from_chunk(key, value)
        else:
            self._values[key] = value
        chunk = self._chunks[self._last_index]
        if len(chunk) >= CHUNK_SIZE:
            self._last_index += 1
            chunk = self._chunks[self._last_index] = {}
        chunk[key] = value
        value.chunk_index = self._last_index

    def pop(self, key: Key) -> Value | None:
        """Remove an entry and return its value; None where there is none."""
        value = self._values.pop(key, None)
        if value is not None:
            self._remove_from_chunk(key, value)
        return value

    def oldest(self) -> Key | None:
        """The key least recently used; None for an empty map."""
        return next(iter(self), None)

    def latest(self, limit: int) -> dict[Key, None]:
        """At most `limit` keys, the most recently used first."""
        chunks = (reversed(chunk) for chunk in reversed(self._chunks.values()))
        return dict.fromkeys(islice(chain.from_iterable(chunks), limit))

    def _remove_from_chunk(self, key: Key, value: Value) -> None:
        index = value.chunk_index
        chunk = self._chunks[index]
        del chunk[key]
        if not chunk and index != self._last_index:
            del self._chunks[index]
