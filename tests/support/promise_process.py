"""A process that only writes promises into a durable store, and what a folder holds of them."""

from fawnwharf.durable_store import file_format as f
from fawnwharf.durable_store.folder import DiskFolder, lock_folder, unlock_folder
from fawnwharf.durable_store.store import inspect_folder

# Its arguments: the folder. Counts on from what is there, and tells each number once it is on disk.
WRITING = """
import sys, time
from fawnwharf.durable_store.file_format import Durability, EntryKind, StoreLimits
from fawnwharf.durable_store.store import StoreOwner, open_store
from fawnwharf.net.timer_wheel import monotonic_ms
limits = StoreLimits(segment_bytes=3_000, wait_ms=20_000)
kinds = [EntryKind("term", Durability.SYNCED)]
owner = StoreOwner("fleet", "a", empty_ok=True)
store = open_store(sys.argv[1], owner, kinds, limits, within_s=20.0)
n = store.get("term", "t") or 0
sys.stderr.write("serving on it\\n")
while True:
    n += 1
    said = lambda ok, why, n=n: ok and sys.stderr.write(f"told {n}\\n")  # whole, or not at all
    store.put(monotonic_ms(), "term", "t", n, said)
    for _ in range(3):
        store.advance(monotonic_ms())
        time.sleep(0.0005)
"""


def found_in(path):
    """The last number that is there, once the folder's lock is free."""
    unlock_folder(lock_folder(path, within_s=20.0))
    return int(inspect_folder(DiskFolder(path), "fleet", "a", f.StoreLimits()).entries.get(("term", "t"), 0))
