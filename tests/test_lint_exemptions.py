"""Exemptions from the linter's rules: each one is needed, and there are no more than there were."""

import json
import re
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[1]
CONFIG = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["ruff"]
EXEMPTIONS = {
    (pattern, group) for pattern, groups in CONFIG["lint"]["per-file-ignores"].items() for group in groups
}
# Lower it with each exemption that goes; it is never raised.
EXEMPTIONS_MOST = 31
GROUPS = {"N", "D", "C90", "RET"}


@pytest.fixture(scope="module")
def findings() -> set[tuple[str, str]]:
    """What the linter finds without any exemption: files and groups of rules."""
    lint = CONFIG["lint"]
    done = subprocess.run(
        [
            *(sys.executable, "-m", "ruff", "check", ".", "--isolated", "--no-cache", "--exit-zero"),
            *("--output-format", "json", "--target-version", CONFIG["target-version"]),
            *("--select", ",".join(sorted(GROUPS)), "--ignore", ",".join(lint["ignore"])),
            *("--config", f"lint.pydocstyle.convention = '{lint['pydocstyle']['convention']}'"),
            *("--config", f"lint.mccabe.max-complexity = {lint['mccabe']['max-complexity']}"),
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
    )
    assert done.returncode == 0, done.stderr
    return {
        (Path(each["filename"]).relative_to(ROOT).as_posix(), group_of(each["code"]))
        for each in json.loads(done.stdout)
    }


def group_of(code: str) -> str:
    """`D102` is of D, `C901` of C90: the groups as the configuration names them."""
    letters = re.match(r"[A-Z]+", code).group()
    return "C90" if letters == "C" else letters


def covers(pattern: str, name: str) -> bool:
    """Whether a pattern of the configuration names a file; `*` stands for any characters."""
    return re.fullmatch(re.escape(pattern).replace(r"\*", ".*"), name) is not None


def test_each_exemption_is_of_a_known_group_and_none_was_added():
    assert {group for _, group in EXEMPTIONS} <= GROUPS <= set(CONFIG["lint"]["select"])
    assert len(EXEMPTIONS) == EXEMPTIONS_MOST


def test_each_exemption_is_needed(findings):
    idle = {
        (pattern, group)
        for pattern, group in EXEMPTIONS
        if not any(group == other and covers(pattern, name) for name, other in findings)
    }
    assert idle == set(), "take these out of pyproject.toml, and lower EXEMPTIONS_MOST"


def test_no_exemption_is_for_a_package_at_large():
    assert all(pattern.count("*") <= 1 and pattern.count("/") >= 1 for pattern, _ in EXEMPTIONS)
    assert not any(pattern in ("fawnwharf/*", "tests/*") for pattern, _ in EXEMPTIONS)
