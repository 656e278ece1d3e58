"""A process that only writes promises into a durable store, and what a folder holds of them."""

from fawnwharf.durable_store import form as f
from fawnwharf.durable_store.folder import Folder, lock, unlock
from fawnwharf.durable_store.store import look

# Its arguments: the folder. Counts on from what is there, and tells each number once it is on disk.
WRITING = """
import sys, time
from fawnwharf.durable_store.form import Kind, Limits
from fawnwharf.durable_store.store import open_folder
from fawnwharf.net.timer_wheel import monotonic_ms
limits = Limits(segment_bytes=3_000, wait_ms=20_000)
store = open_folder(sys.argv[1], "fleet", "a", [Kind("term", "synced")], limits, empty_ok=True, within_s=20.0)
n = store.get("term", "t") or 0
sys.stderr.write("serving on it\\n")
while True:
    n += 1
    said = lambda ok, why, n=n: ok and sys.stderr.write(f"told {n}\\n")  # whole, or not at all
    store.put(monotonic_ms(), "term", "t", n, said)
    for _ in range(3):
        store.turn(monotonic_ms())
        time.sleep(0.0005)
"""


def found_in(path):
    """The last number that is there, once the folder's lock is free."""
    unlock(lock(path, within_s=20.0))
    return int(look(Folder(path), "fleet", "a", f.Limits()).entries.get(("term", "t"), 0))
