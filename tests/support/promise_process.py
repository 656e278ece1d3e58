"""A process that writes increasing numbers to a durable store, and a reader of the last stored number."""

from fawnwharf.durable_store import file_format as f
from fawnwharf.durable_store.folder import DiskFolder, lock_folder, unlock_folder
from fawnwharf.durable_store.store import inspect_folder

# Takes the folder as its argument. Counts on from the stored number, and prints each number that is on disk.
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
    on_commit = lambda ok, why, n=n: ok and sys.stderr.write(f"told {n}\\n")  # one write: no partial line
    store.put(monotonic_ms(), "term", "t", n, on_commit)
    for _ in range(3):
        store.advance(monotonic_ms())
        time.sleep(0.0005)
"""


def found_in(path):
    """Wait for the folder's lock to be released, and return the last stored number."""
    unlock_folder(lock_folder(path, within_s=20.0))
    return int(inspect_folder(DiskFolder(path), "fleet", "a", f.StoreLimits()).entries.get(("term", "t"), 0))
