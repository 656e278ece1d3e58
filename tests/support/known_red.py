"""Tests that are known to fail for a real fault: read from KNOWN-RED.txt, run, printed, and passed over.

Each line is `test id | cause | issue`; there may be three at the most. A listed test that passes, a name
that no test has, or a fourth line fails the run.
"""

from dataclasses import dataclass
from pathlib import Path

import pytest

FILE_NAME = "KNOWN-RED.txt"
LINES_MOST = 3
REASON = "known red"


@dataclass(frozen=True)
class KnownRed:
    """One listed test, with why it fails and the issue that it belongs to."""

    test_id: str
    cause: str
    issue: str


def read(path: Path) -> list[KnownRed]:
    """The listed tests; raises `pytest.UsageError` for a list that breaks its own terms."""
    if not path.exists():
        return []
    lines = [line.strip() for line in path.read_text().splitlines() if line.strip()]
    if len(lines) > LINES_MOST:
        raise pytest.UsageError(f"{FILE_NAME}: {len(lines)} lines, {LINES_MOST} at the most")
    return [_entry(line) for line in lines]


def _entry(line: str) -> KnownRed:
    parts = [part.strip() for part in line.split("|")]
    if len(parts) != 3 or not all(parts):
        raise pytest.UsageError(f"{FILE_NAME}: not 'test id | cause | issue': {line[:80]}")
    return KnownRed(*parts)


class KnownRedPlugin:
    """Marks the listed tests, so that they run and have to fail, and prints them at the end."""

    def __init__(self, root: Path, listed: list[KnownRed]) -> None:
        self._root, self._listed = root, listed

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Mark what is listed; fail for a name that its own file does not have."""
        by_id = {item.nodeid: item for item in items}
        files = {item.nodeid.partition("::")[0] for item in items}
        for entry in self._listed:
            item = by_id.get(entry.test_id)
            if item is not None:
                item.add_marker(pytest.mark.xfail(strict=True, reason=f"{REASON}: {entry.cause}"))
                continue
            file = entry.test_id.partition("::")[0]
            if file in files or not (self._root / file).is_file():
                raise pytest.UsageError(f"{FILE_NAME}: no such test: {entry.test_id}")

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Print each listed test with its cause."""
        for entry in self._listed:
            terminalreporter.write_line(f"{REASON}: {entry.test_id}: {entry.cause} ({entry.issue})")


def install(config: pytest.Config) -> None:
    """Read the list beside the configuration of pytest and register the plugin."""
    root = config.rootpath
    config.pluginmanager.register(KnownRedPlugin(root, read(root / FILE_NAME)), "known-red")
