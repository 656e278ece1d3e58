"""The import graph of the program, of its modules and of its packages, from its source."""

import ast
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

PROGRAM = "fawnwharf"


@dataclass(frozen=True)
class Import:
    """An import of one module of the program by another one."""

    importer: str
    imported: str
    at_start: bool  # runs when the importer is imported: not in a function or an `if TYPE_CHECKING` block


class ImportGraph:
    """All imports between the program's modules, at module level and within functions."""

    def __init__(self, root: Path) -> None:
        """Parse all files of the program in the directory `root`."""
        self.modules = {_module_name(path, root): path for path in (root / PROGRAM).rglob("*.py")}
        self.imports = {found for name in self.modules for found in self._imports_of(name)}

    def packages(self, inner: str) -> set[str]:
        """The packages that the package `inner` imports, without itself."""
        return {
            package_of(found.imported) for found in self.imports if package_of(found.importer) == inner
        } - {inner}

    def closure(self, start: str) -> set[str]:
        """All modules that an import of `start` imports, including itself and the enclosing packages."""
        seen: set[str] = set()
        pending = [start]
        while pending:
            name = pending.pop()
            if name in seen or name not in self.modules:
                continue
            seen.add(name)
            pending += [name.rpartition(".")[0]]
            pending += [found.imported for found in self.imports if found.importer == name and found.at_start]
        return seen

    def _imports_of(self, importer: str) -> Iterator[Import]:
        tree = ast.parse(self.modules[importer].read_text())
        started = set(_nodes_run_at_import(tree))
        for node in ast.walk(tree):
            for name in _imported_names(node):
                target = self._known(name)
                if target and target != importer:
                    yield Import(importer, target, node in started)

    def _known(self, name: str) -> str | None:
        """The program's module that a dotted name is or belongs to; None for a name of a library."""
        if name in self.modules:
            return name
        outer = name.rpartition(".")[0]
        return outer if outer in self.modules else None


def package_of(module: str) -> str:
    """The package of a module: `net` of `fawnwharf.net.event_loop`, `config` of `fawnwharf.config`."""
    parts = module.split(".")
    return parts[1] if len(parts) > 1 else PROGRAM


def cycle(graph: dict[str, set[str]]) -> list[str]:
    """The nodes of one cycle in a graph, with the first one repeated at the end; empty if there is none."""
    done: set[str] = set()

    def visit(name: str, path: list[str]) -> list[str]:
        if name in path:
            return [*path[path.index(name) :], name]
        if name in done:
            return []
        for inner in sorted(graph.get(name, ())):
            if found := visit(inner, [*path, name]):
                return found
        done.add(name)
        return []

    return next((found for name in sorted(graph) if (found := visit(name, []))), [])


def reduction(graph: dict[str, set[str]]) -> dict[str, set[str]]:
    """The transitive reduction of a graph without cycles: omits edges that follow from longer paths."""
    reached: dict[str, set[str]] = {}

    def reach(name: str) -> set[str]:
        if name not in reached:
            inner = graph.get(name, set())
            reached[name] = inner.union(*(reach(each) for each in inner))
        return reached[name]

    return {
        name: {each for each in inner if not any(each in reach(other) for other in inner - {each})}
        for name, inner in graph.items()
    }


def _module_name(path: Path, root: Path) -> str:
    parts = path.relative_to(root).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def _imported_names(node: ast.AST) -> list[str]:
    if isinstance(node, ast.Import):
        return [alias.name for alias in node.names]
    if isinstance(node, ast.ImportFrom) and node.level == 0 and node.module:
        return [f"{node.module}.{alias.name}" for alias in node.names]
    return []


def _nodes_run_at_import(tree: ast.Module) -> Iterator[ast.AST]:
    """All nodes outside functions and outside `if TYPE_CHECKING` blocks."""
    pending: list[ast.AST] = [tree]
    while pending:
        node = pending.pop()
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef | ast.Lambda):
            continue
        if isinstance(node, ast.If) and ast.unparse(node.test) == "TYPE_CHECKING":
            pending += node.orelse
            continue
        yield node
        pending += ast.iter_child_nodes(node)
