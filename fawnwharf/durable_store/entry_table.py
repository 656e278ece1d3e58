"""The entries of a store in memory, with their limits. Does no I/O."""

from collections import Counter

from fawnwharf.durable_store.file_format import Entries, EntryKey, EntryKind, entry_size


class ChangeRejectedError(Exception):
    """A change was rejected, and the entries are as before. The message gives the reason."""


class EntryTable:
    """Owns the entries and their sizes; rejects changes that exceed the limit of a kind or of the store."""

    def __init__(self, entries: Entries, kinds: list[EntryKind], max_bytes: int) -> None:
        """`max_bytes` limits all entries together. Entries of kinds not in `kinds` are kept as they are."""
        self.entries = entries
        self.kinds = {kind.name: kind for kind in kinds}
        self.size_bytes = sum(entry_size(key, value) for key, value in entries.items())
        self._max_bytes = max_bytes
        self._counts = Counter(kind for kind, _ in entries)

    def change(self, key: EntryKey, value: bytes | None) -> None:
        """Set an entry, or delete it for None. Raises ChangeRejectedError."""
        before = self.entries.get(key)
        growth_bytes = _size_or_zero(key, value) - _size_or_zero(key, before)
        if value is not None:
            self._check_limits(key, value, growth_bytes, is_new=before is None)
        self.size_bytes += growth_bytes
        self._counts[key[0]] += (value is not None) - (before is not None)
        if value is None:
            self.entries.pop(key, None)
        else:
            self.entries[key] = value

    def _check_limits(self, key: EntryKey, value: bytes, growth_bytes: int, *, is_new: bool) -> None:
        kind = self.kinds[key[0]]
        if len(value) > kind.max_value_bytes:
            raise ChangeRejectedError(
                f"{kind.name}: {len(value)} bytes, and {kind.max_value_bytes} is the most"
            )
        if is_new and self._counts[kind.name] >= kind.max_entries:
            raise ChangeRejectedError(f"{kind.name}: {kind.max_entries} entries is the most")
        if not kind.reserved and growth_bytes > 0 and self.size_bytes + growth_bytes > self._max_bytes:
            raise ChangeRejectedError(f"{kind.name}: {self._max_bytes} bytes in all is the most")


def _size_or_zero(key: EntryKey, value: bytes | None) -> int:
    return 0 if value is None else entry_size(key, value)
