"""The variant sites in deploy/sites are valid, differ from each other, and contain no file of the kit."""

import re
import subprocess
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[1]
FOLDER = ROOT / "deploy" / "sites"
SITES = sorted(FOLDER.glob("*.toml"))
EFFECTS = {"safe", "keyed", "unsafe"}
# Keys by which the bench finds its own files; they hold no figures of a site.
STRUCTURE = ("family", "wire", "stock")


def load(path: Path) -> dict:
    """The site file at `path`, parsed."""
    return tomllib.loads(path.read_text())


def spans(value) -> list[list]:
    """All [minimum, maximum] pairs of numbers anywhere in `value`."""
    if isinstance(value, dict):
        return [span for inner in value.values() for span in spans(inner)]
    if not isinstance(value, list):
        return []
    numbers = [item for item in value if isinstance(item, int | float) and not isinstance(item, bool)]
    if len(value) == 2 and len(numbers) == 2:
        return [value]
    return [span for inner in value for span in spans(inner)]


def can_sum_to_one(shares: list) -> bool:
    """Whether shares, which are numbers or [minimum, maximum] pairs, can add up to 1."""
    minimum = sum(share[0] if isinstance(share, list) else share for share in shares)
    maximum = sum(share[1] if isinstance(share, list) else share for share in shares)
    return minimum <= 1 + 1e-9 and maximum >= 1 - 1e-9


def test_there_are_two_sites_that_name_themselves_as_their_files():
    assert len(SITES) == 2
    assert [load(path)["name"] for path in SITES] == [path.stem for path in SITES]
    assert all(load(path)[key] for path in SITES for key in STRUCTURE)


@pytest.mark.parametrize("path", SITES, ids=lambda path: path.stem)
def test_a_sites_shares_can_be_met(path):
    site = load(path)
    assert can_sum_to_one([row["share"] for row in site["class"]])
    assert can_sum_to_one([kind["share"] for tier in site["tier"] for kind in tier["kind"]])
    assert sum(tenant["share"] for tenant in site["tenant"]) == pytest.approx(1)
    assert len(site["fam"]["class"]) == len(site["class"])


@pytest.mark.parametrize("path", SITES, ids=lambda path: path.stem)
def test_a_sites_times_are_positive_and_in_order(path):
    site = load(path)
    for row in site["class"]:
        assert 0 < row["work_ms"][0] <= row["work_ms"][1] < row["aim_ms"] < row["deadline_ms"]
        assert row["effect"] in EFFECTS
        assert (row["effect"] == "keyed") == ("window_ms" in row)
        assert row.get("window_ms", 1) > 0
    for row, cost in zip(site["class"], site["fam"]["class"], strict=True):
        assert 0 < cost["load_ms"][0] <= cost["load_ms"][1] < row["deadline_ms"]
    assert all(minimum <= maximum for minimum, maximum in spans({**site, "trouble": []}))
    assert site["allow"]["max_attempts"] >= 1
    assert site["rules"]["drain_grace_ms"] > 0


@pytest.mark.parametrize("path", SITES, ids=lambda path: path.stem)
def test_a_sites_names_are_unique(path):
    site = load(path)
    for names in (
        [row["name"] for row in site["class"]],
        [row["name"] for row in site["tenant"]],
        [kind["name"] for tier in site["tier"] for kind in tier["kind"]],
        site["net"]["zones"],
    ):
        assert len(names) == len(set(names))
        assert all(re.fullmatch(r"[a-z][a-z0-9-]*", name) for name in names)


def test_the_sites_differ_in_what_a_constant_could_be_fitted_to():
    one, other = (load(path) for path in SITES)
    assert len(one["class"]) != len(other["class"])
    assert len(one["tenant"]) != len(other["tenant"])
    assert len(one["net"]["zones"]) != len(other["net"]["zones"])
    for key in ("class", "tenant"):
        assert not {row["name"] for row in one[key]} & {row["name"] for row in other[key]}
    for key in ("cancel", "second_copies", "max_attempts"):
        assert one["allow"][key] != other["allow"][key]
    for key in ("day", "scale", "load", "discovery", "prices", "trouble"):
        assert one[key] != other[key]
    assert {row["window_ms"] for row in one["class"] if "window_ms" in row} != {
        row["window_ms"] for row in other["class"] if "window_ms" in row
    }


def test_one_site_has_the_extremes():
    deadlines = [row["deadline_ms"] for path in SITES for row in load(path)["class"]]
    windows = [row["window_ms"] for path in SITES for row in load(path)["class"] if "window_ms" in row]
    assert min(deadlines) <= 400
    assert max(deadlines) >= 12_000
    assert min(windows) <= 150
    assert any(not load(path)["allow"]["cancel"] for path in SITES)


def test_the_script_copies_only_files_that_git_ignores(tmp_path):
    script = FOLDER / "fetch-kit-files"
    named = re.search(r"for name in (.+?);", script.read_text()).group(1).split()
    ignored = (ROOT / ".gitignore").read_text().split()
    assert named
    assert all(f"deploy/sites/{name}" in ignored for name in named)
    kept = subprocess.run(["git", "ls-files", "deploy/sites"], cwd=ROOT, capture_output=True, text=True)
    if kept.returncode == 0:
        assert not {f"deploy/sites/{name}" for name in named} & set(kept.stdout.split())


def test_the_script_copies_each_file_from_the_folder_it_is_given(tmp_path):
    kit, beside = tmp_path / "kit", tmp_path / "sites"
    kit.mkdir()
    beside.mkdir()
    script = beside / "fetch-kit-files"
    script.write_text((FOLDER / "fetch-kit-files").read_text())
    named = re.search(r"for name in (.+?);", script.read_text()).group(1).split()
    for name in named:
        (kit / name).write_text(f"contents of {name}")
    subprocess.run(["sh", script, kit], check=True)
    assert {path.name for path in beside.iterdir()} == {"fetch-kit-files", *named}
    (kit / named[-1]).unlink()
    assert subprocess.run(["sh", script, kit], capture_output=True).returncode != 0
