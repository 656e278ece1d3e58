"""The allowed imports between packages, and that `run` imports no subsystem that is off.

`ALLOWED` lists them all, and the diagram in docs/architecture.md must show the same. The test fails for an
import that is not in the table, and for an entry of the table that no import needs.
"""

import json
import re
import subprocess
import sys
from pathlib import Path

import pytest
from support.imports import PROGRAM, ImportGraph, cycle, package_of, reduction

ROOT = Path(__file__).resolve().parents[1]

# Model checkers, random walks, trials and measurements: run on their own or by tests, and not imported by the
# program. They count as one package, wherever their files are.
TRIALS = {
    f"{PROGRAM}.{name}"
    for name in (
        "durable_store.crash_simulation",
        "durable_store.simulated_folder",
        "policy_rollout.fault_injection",
        "policy_rollout.model_checker",
        "policy_rollout.reference_model",
        "policy_rollout.rollout_measurement",
        "policy_rollout.scenario",
        "policy_rollout.simulation_types",
        "policy_rollout.simulation",
        "prefetch.scenarios",
        "prefetch.trial",
        "prefetch.fleet_model",
        "migration.explore",
        "migration.measure",
        "migration.planted",
        "migration.relisted",
        "migration.walk",
        "migration.world",
        "recovery_core.coordinated_fleet",
        "recovery_core.claim_model",
        "recovery_core.model_checker",
        "recovery_core.simulated_site",
        "recovery_core.trial",
        "recovery_core.uncoordinated_fleet",
        "recovery_service.simulation",
        "sessions.measure",
    )
}

# Each package and the packages that it may import, which are always above it in this table.
ALLOWED = {
    "interface": "",
    "incarnations": "",
    "session_types": "",
    "file_writes": "",
    "consensus": "file_writes",
    "config": "interface",
    "policy": "interface",
    "fawnwharf": "policy",
    "wirehost": "config interface policy",
    "net": "config interface policy",
    "admin": "config interface net policy",
    "durable_store": "consensus file_writes net",
    "zones": "config consensus interface net",
    "policy_rollout": "config file_writes incarnations interface net zones",
    "replication": "config consensus interface net zones",
    "prefetch": "config interface policy replication session_types zones",
    "migration": "replication session_types",
    "recovery_core": "consensus interface replication zones",
    "sessions": "config incarnations interface migration net policy prefetch replication session_types zones",
    "recovery_service": "config consensus durable_store interface net policy recovery_core replication zones",
    "serving": "admin config interface net policy_rollout recovery_service replication sessions zones",
    "fakes": "__main__ config durable_store net",
    "testbed": "config consensus fakes interface net policy_rollout replication session_types sessions zones",
    "cli": (
        "config durable_store fawnwharf policy_rollout recovery_service replication serving sessions"
        " testbed zones"
    ),
    "__main__": "cli serving",
}
# These may import anything, and only the command line (`fawnwharf lab`) imports them.
OUTERMOST = {"trials", "fakes", "testbed"}
COMMAND = (f"{PROGRAM}.cli", f"{PROGRAM}.testbed.commands")

# What `run` never imports: the subsystems that an option turns on, the testbed, and optional libraries.
EXCLUDED_PACKAGES = {
    "consensus",
    "cli",
    "durable_store",
    "policy_rollout",
    "prefetch",
    "migration",
    "testbed",
    "incarnations",
    "admin",
    "recovery_core",
    "recovery_service",
    "replication",
    "sessions",
    "session_types",
    "fakes",
    "wirehost",
    "zones",
}
EXCLUDED_LIBRARIES = {"typer", "httptools", "structlog", "hdrh", "pyarrow", "matplotlib"}


@pytest.fixture(scope="module")
def graph() -> ImportGraph:
    """The import graph of the program."""
    return ImportGraph(ROOT)


def entry_of(module: str) -> str:
    """The entry of the table that a module belongs to."""
    return "trials" if module in TRIALS else package_of(module)


def imports_by_entry(graph: ImportGraph) -> dict[str, set[str]]:
    """The imports of each entry of the table, without those of itself."""
    found: dict[str, set[str]] = {entry_of(name): set() for name in graph.modules}
    for each in graph.imports:
        found[entry_of(each.importer)].add(entry_of(each.imported))
    return {name: imported - {name} for name, imported in found.items()}


def allowed() -> dict[str, set[str]]:
    """The table, as sets."""
    return {name: set(imported.split()) for name, imported in ALLOWED.items()}


def test_packages_import_what_the_table_allows_and_all_of_it(graph):
    found = imports_by_entry(graph)
    found.pop("trials")
    assert found == allowed()


def layers() -> dict[str, set[str]]:
    """The table without its one cycle: `fakes.clocks` runs the whole program with simulated clocks."""
    table = allowed()
    table["fakes"].remove("__main__")
    return table


def test_packages_import_only_packages_above_them():
    order = list(ALLOWED)
    for name, imported in layers().items():
        assert all(order.index(each) < order.index(name) for each in imported), name
    assert cycle(layers()) == []


def test_modules_do_not_import_each_other_in_a_cycle(graph):
    modules = {name: set() for name in graph.modules}
    for each in graph.imports:
        if each.at_start:
            modules[each.importer].add(each.imported)
    assert cycle(modules) == []


def test_nothing_imports_the_outermost_packages(graph):
    inwards = {
        (each.importer, each.imported)
        for each in graph.imports
        if entry_of(each.imported) in OUTERMOST and entry_of(each.importer) not in OUTERMOST
    }
    assert inwards == {COMMAND}


def test_every_listed_trial_exists(graph):
    assert set(graph.modules) >= TRIALS


def test_importing_serving_imports_no_subsystem(graph):
    reached = graph.closure(f"{PROGRAM}.serving") | graph.closure(f"{PROGRAM}.__main__")
    assert {package_of(name) for name in reached} == {
        PROGRAM,
        "__main__",
        "config",
        "interface",
        "net",
        "policy",
        "serving",
    }


def test_a_front_end_without_options_imports_no_subsystem(tmp_path):
    config = tmp_path / "config.json"
    config.write_text(
        json.dumps({"listen": "127.0.0.1:0", "changelog": "127.0.0.1:1", "settings": {"classes": []}})
    )
    # Runs `serve` up to the event loop: by then everything that `run` imports is imported.
    code = (
        "import sys; from fawnwharf import __main__; from fawnwharf.net.front_end import FrontEnd\n"
        "FrontEnd.serve = lambda self: print(*sorted(sys.modules))\n"
        "sys.argv = ['fawnwharf', 'serve']\n"
        "sys.exit(__main__.main())"
    )
    done = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        timeout=60,
        cwd=ROOT,
        env={"ROUTER_CONFIG": str(config), "PATH": "/usr/bin:/bin", "PYTHONPATH": str(ROOT)},
    )
    assert done.returncode == 0, done.stderr
    imported = done.stdout.split()
    assert f"{PROGRAM}.net.event_loop" in imported
    assert [
        name for name in imported if name.startswith(f"{PROGRAM}.") and package_of(name) in EXCLUDED_PACKAGES
    ] == []
    assert [name for name in imported if name.split(".")[0] in EXCLUDED_LIBRARIES] == []


def test_the_diagram_in_the_documents_shows_the_table():
    """The diagram shows all imports except those that follow from longer paths."""
    page = (ROOT / "docs" / "architecture.md").read_text()
    section = page.partition("## Direction of imports")[2]
    diagram = re.search(r"```mermaid\n(.*?)```", section, re.S).group(1)
    shown: dict[str, set[str]] = {}
    for importer, imported in re.findall(r"^ *(\w+) --> (\w+)$", diagram, re.M):
        shown.setdefault(importer, set()).add(imported)
    expected = {name: imported for name, imported in reduction(layers()).items() if imported}
    assert shown == expected


@pytest.mark.parametrize(
    ("graph_of_names", "found"),
    [
        ({"a": {"b"}, "b": set()}, []),
        ({"a": {"b"}, "b": {"a"}}, ["a", "b", "a"]),
        ({"a": {"b"}, "b": {"c"}, "c": {"b"}}, ["b", "c", "b"]),
    ],
)
def test_a_cycle_is_found(graph_of_names, found):
    assert cycle(graph_of_names) == found


def test_an_edge_that_follows_from_others_is_left_out():
    assert reduction({"a": {"b", "c"}, "b": {"c"}, "c": set()}) == {"a": {"b"}, "b": {"c"}, "c": set()}


def test_imports_within_functions_and_for_type_checkers_count_as_late(tmp_path):
    package = tmp_path / PROGRAM
    package.mkdir()
    (package / "__init__.py").write_text("")
    (package / "one.py").write_text(
        "import fawnwharf.two\n\n\ndef late():\n    from fawnwharf import three\n"
    )
    (package / "two.py").write_text("class Body:\n    from fawnwharf import four\n")
    (package / "three.py").write_text("")
    (package / "four.py").write_text("")
    graph = ImportGraph(tmp_path)
    assert {(each.importer[10:], each.imported[10:], each.at_start) for each in graph.imports} == {
        ("one", "two", True),
        ("one", "three", False),
        ("two", "four", True),
    }
    assert graph.closure(f"{PROGRAM}.one") == {
        PROGRAM,
        *(f"{PROGRAM}.{name}" for name in ("one", "two", "four")),
    }
