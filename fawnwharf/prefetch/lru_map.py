"""A map in order of last use that is cheap for the garbage collector.

The map consists of chunks: dicts of about a thousand entries each. The garbage collector would traverse all
entries of an OrderedDict, and finding the first entry of a single dict means skipping all entries removed
before it. If the collector does not track the keys and values, it has nothing to traverse here.
"""

from collections.abc import Iterator
from itertools import chain, islice
from typing import Generic, Protocol, TypeVar

CHUNK_SIZE = 1_000  # entries


class Indexed(Protocol):
    """A value of the map; the map sets `chunk_index` to the chunk that holds the entry."""

    chunk_index: int


Key = TypeVar("Key")
Value = TypeVar("Value", bound=Indexed)


class LruMap(Generic[Key, Value]):
    """A map that iterates from the least to the most recently used entry."""

    def __init__(self) -> None:
        self._values: dict[Key, Value] = {}
        self._chunks: dict[int, dict[Key, Value]] = {0: {}}
        self._last_index = 0

    def __len__(self) -> int:
        return len(self._values)

    def __contains__(self, key: object) -> bool:
        return key in self._values

    def __iter__(self) -> Iterator[Key]:
        """Iterate over the keys, the least recently used first."""
        return chain.from_iterable(self._chunks.values())

    def __getitem__(self, key: Key) -> Value:
        return self._values[key]

    def get(self, key: Key) -> Value | None:
        """Return the value of a key, or None; does not count as a use."""
        return self._values.get(key)

    def use(self, key: Key, value: Value) -> None:
        """Add the entry or make an existing one the most recently used."""
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
        """Remove an entry and return its value, or None if there is none."""
        value = self._values.pop(key, None)
        if value is not None:
            self._remove_from_chunk(key, value)
        return value

    def oldest(self) -> Key | None:
        """Return the least recently used key, or None if the map is empty."""
        return next(iter(self), None)

    def latest(self, limit: int) -> dict[Key, None]:
        """Return at most `limit` keys, the most recently used first."""
        chunks = (reversed(chunk) for chunk in reversed(self._chunks.values()))
        return dict.fromkeys(islice(chain.from_iterable(chunks), limit))

    def _remove_from_chunk(self, key: Key, value: Value) -> None:
        index = value.chunk_index
        chunk = self._chunks[index]
        del chunk[key]
        if not chunk and index != self._last_index:
            del self._chunks[index]
