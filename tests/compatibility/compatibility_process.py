"""A front end process with all subsystems on and its own folder: the only member, both voter and replica.

Used by the test of the recorded folder, and by the recorder of that folder.
"""

import json
import signal
from pathlib import Path
from typing import Any

from peers import SETTINGS
from processes import NAME, Port, Site

BOOT = "the boot of the recording"
KINDS = ("zones", "state", "policy", "sessions", "recovery")
FILES: dict[str, dict[str, Any]] = {
    "zones.json": {"version": 1, "members": "members.json", "folder": "zones"},
    "state.json": {"version": 1, "members": "members.json", "folder": "state", "zones": 1, "elsewhere": True},
    "policy.json": {"version": 1},
    "sessions.json": {"version": 1, "folder": "sessions", "foresight": {}},
    "recovery.json": {
        "version": 1, "folder": "store", "fetches": 4, "scorer_rps": 100, "boot_file": "boot",
        "timing": {"listen_ms": 300.0, "hold_ms": 100.0, "most_ms": 500.0, "settle_ms": 500.0},
        "pace": {"again_ms": 50.0, "spread_ms": 10.0, "stand_ms": 100.0, "stage_ms": 100.0},
    },
}  # fmt: skip


class Front:
    """A site whose processes run with all subsystems, with the settings files of one folder."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.site = Site(settings=SETTINGS | {"locality": "z1", "fleet_size": 1})
        self.ports = [Port() for _ in range(3)]
        keys = dict(zip(("address", "ballots", "state"), (port.text for port in self.ports), strict=True))
        member = {"name": NAME, "zone": "z1", **keys}
        data = {"version": 1, "fleet": "fleet-1", "number": 1, "members": [member]}
        (folder / "members.json").write_text(json.dumps(data, indent=1) + "\n", encoding="utf-8")
        recovery = json.loads((folder / "recovery.json").read_text(encoding="utf-8"))
        recovery["boot_file"] = str(folder / "boot")
        (folder / "recovery.json").write_text(json.dumps(recovery, indent=1) + "\n", encoding="utf-8")
        (folder / "boot").write_text(BOOT + "\n", encoding="utf-8")

    def start(self, *more: str) -> Any:
        """Start a process and wait until it is ready."""
        options = [text for kind in KINDS for text in (f"--{kind}", str(self.folder / f"{kind}.json"))]
        process = self.site.begin([*options, *more])
        self.site.until_ready(process)
        return process

    def end(self, process: Any) -> int:
        """Send SIGTERM; returns the exit status."""
        process.signal(signal.SIGTERM)
        self.site.until(lambda: process.ended, "the process has ended")
        return process.child.returncode

    def noted(self, process: Any, event: str) -> list[dict[str, Any]]:
        """The entries of an event in the process's log."""
        rows = [json.loads(text) for text in process.log.split("\n")[:-1] if text.startswith("{")]
        return [row for row in rows if row.get("event") == event]

    def close(self) -> None:
        """End all running processes and peers."""
        self.site.close()
        for port in self.ports:
            port.sock.close()
