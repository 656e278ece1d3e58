"""The changes that the next commit group will contain. Pure."""

from fawnwharf.durable_store.file_format import Durability, EntryKey, StoreLimits


class PendingChanges:
    """Owns which entries have changed since the last group, and since when."""

    def __init__(self, limits: StoreLimits) -> None:
        self.keys: dict[EntryKey, None] = {}  # in order
        self.overflowed = False  # more than `keys` may hold: everything has to be rewritten
        self._delays_ms = {
            Durability.SYNCED: 0.0,
            Durability.DELAYED: limits.soon_ms,
            Durability.BEST_EFFORT: limits.hint_ms,
        }
        self._churn = limits.churn
        self._since_ms: dict[Durability, float] = {}  # the first change, by durability

    def add(self, now_ms: float, key: EntryKey, durability: Durability, entry_count: int) -> None:
        """Note that an entry has changed; `entry_count` is the number of entries that there are."""
        self.keys[key] = None
        if len(self.keys) > 2 * entry_count + self._churn:
            # While the disk is slow, entries that come and go must not accumulate without bound.
            self.keys = {}
            self.overflowed = True
        self._since_ms.setdefault(durability, now_ms)

    def due_ms(self) -> list[float]:
        """When each durability wants its changes to be written."""
        return [since_ms + self._delays_ms[durability] for durability, since_ms in self._since_ms.items()]

    @property
    def need_sync(self) -> bool:
        """Whether a group of these changes has to be synced."""
        return bool(self._since_ms.keys() & {Durability.SYNCED, Durability.DELAYED})

    def oldest_owed_ms(self) -> float | None:
        """Time of the oldest change, `BEST_EFFORT` aside."""
        owed = (since for durability, since in self._since_ms.items() if durability != Durability.BEST_EFFORT)
        return min(owed, default=None)

    def drop_urgency(self) -> None:
        """Note that no caller waits for these changes any more."""
        self._since_ms.pop(Durability.SYNCED, None)

    def clear(self) -> None:
        """Note that all changes are part of a group now."""
        self.keys = {}
        self._since_ms = {}
