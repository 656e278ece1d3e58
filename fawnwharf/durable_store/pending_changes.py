"""The changes that the next commit group will contain. Does no I/O."""

from fawnwharf.durable_store.file_format import Durability, EntryKey, StoreLimits


class PendingChanges:
    """Owns the keys of entries changed since the last group, and the time of the first change."""

    def __init__(self, limits: StoreLimits) -> None:
        self.keys: dict[EntryKey, None] = {}  # in the order of their first change
        self.overflowed = False  # too many changes for `keys`: all entries have to be rewritten
        self._delays_ms = {
            Durability.SYNCED: 0.0,
            Durability.DELAYED: limits.soon_ms,
            Durability.BEST_EFFORT: limits.hint_ms,
        }
        self._churn = limits.churn
        self._since_ms: dict[Durability, float] = {}  # time of the first change, by durability

    def add(self, now_ms: float, key: EntryKey, durability: Durability, entry_count: int) -> None:
        """Record a change of an entry; `entry_count` is the current number of entries."""
        self.keys[key] = None
        if len(self.keys) > 2 * entry_count + self._churn:
            # Bounds the memory for entries that are created and deleted while the disk is slow.
            self.keys = {}
            self.overflowed = True
        self._since_ms.setdefault(durability, now_ms)

    def due_ms(self) -> list[float]:
        """The times by which the changes of each durability have to be written."""
        return [since_ms + self._delays_ms[durability] for durability, since_ms in self._since_ms.items()]

    @property
    def need_sync(self) -> bool:
        """Whether the group with these changes has to be synced."""
        return bool(self._since_ms.keys() & {Durability.SYNCED, Durability.DELAYED})

    def oldest_durable_ms(self) -> float | None:
        """Time of the oldest change, `BEST_EFFORT` excluded."""
        times = (
            since for durability, since in self._since_ms.items() if durability != Durability.BEST_EFFORT
        )
        return min(times, default=None)

    def drop_urgency(self) -> None:
        """Record that no caller waits for these changes any more."""
        self._since_ms.pop(Durability.SYNCED, None)

    def clear(self) -> None:
        """Record that all changes are now part of a group."""
        self.keys = {}
        self._since_ms = {}
