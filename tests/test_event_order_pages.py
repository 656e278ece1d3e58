"""The tests and test files that the pages on event orders cite exist."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[1]
TESTS = ROOT / "tests"
DOCS = ROOT / "docs"
PAGES = sorted((DOCS / "event-orders").glob("*.md")) + sorted(DOCS.glob("event-orders.md"))

IN_BACKTICKS = re.compile(r"`([^`\n]+)`")
# Does not match the stem of a file name: `test_starts.py` is checked as a file.
TEST_NAME = re.compile(r"\btest_\w+\b(?!\.py\b)")
TEST_FILE = re.compile(r"(?<![\w/.])(?:tests/(?:\w+/)*\w+\.py|test_\w+\.py)\b")


def cited_names(text: str) -> set[str]:
    """Identifiers in backticks that begin with `test_`, without parameters in brackets."""
    return {name for span in IN_BACKTICKS.findall(text) for name in TEST_NAME.findall(span)}


def cited_files(text: str) -> set[str]:
    """Paths below tests/, and names of test files, in backticks or not."""
    return set(TEST_FILE.findall(text))


def names_of_tests() -> set[str]:
    """The names of all functions and methods that pytest collects."""
    return {
        node.name
        for path in TESTS.rglob("test_*.py")
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.FunctionDef) and node.name.startswith("test_")
    }


def exists(file: str) -> bool:
    """Whether a path below tests/ exists, or a file of this name in any directory of tests."""
    if file.startswith("tests/"):
        return (ROOT / file).is_file()
    return any(path.name == file for path in TESTS.rglob("test_*.py"))


@pytest.fixture(scope="module")
def names() -> set[str]:
    return names_of_tests()


def test_there_are_pages_and_they_cite_tests(names):
    assert PAGES
    assert all(cited_files(page.read_text()) for page in PAGES)
    assert len(names & {name for page in PAGES for name in cited_names(page.read_text())}) > 0


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_each_test_that_a_page_cites_exists(page, names):
    assert cited_names(page.read_text()) - names == set()


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_each_file_of_tests_that_a_page_cites_exists(page):
    assert {file for file in cited_files(page.read_text()) if not exists(file)} == set()


def test_cited_names_and_files_are_found_in_all_forms():
    text = (
        "Tests are in tests/test_a.py (A), `test_b.py` and `tests/support/c.py`.\n"
        "| A `test_first[late]`, `test_b.py` `TestX.test_second`, `test_cut_short...`; net/test_no.py |\n"
    )
    assert cited_names(text) == {"test_first", "test_second", "test_cut_short"}
    assert cited_files(text) == {"tests/test_a.py", "test_b.py", "tests/support/c.py"}


def test_existing_and_missing_names_and_files_are_distinguished(names):
    here = "test_existing_and_missing_names_and_files_are_distinguished"
    assert here in names
    assert here.replace("missing", "absent") not in names
    assert exists("test_event_order_pages.py")
    assert exists("tests/test_event_order_pages.py")
    assert not exists("tests/test_event_order_page.py")
    assert not exists("event_orders.md")
