"""The limits on the decision module, and the README's example."""

import ast
import re
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
PARTS = [path.read_text() for path in sorted((ROOT / "fawnwharf" / "policy").glob("*.py"))]
POLICY = "\n".join(PARTS)


def test_policy_keeps_its_limits():
    lines = POLICY.splitlines()
    assert max(len(line) for line in lines) <= 110
    assert max(len(part.splitlines()) for part in PARTS) <= 400
    assert all(part.startswith('"""') for part in PARTS)  # each file has a module docstring


def test_every_file_of_the_policy_is_declared():
    declared = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    files = {str(path.relative_to(ROOT)) for path in (ROOT / "fawnwharf" / "policy").glob("*.py")}
    assert set(declared) == files


def test_policy_has_no_clock_no_random_source_and_no_builtin_hash():
    tree = ast.parse(POLICY)
    modules = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            modules |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            modules.add(node.module)
    allowed = {"hashlib", "math", "collections", "dataclasses", "itertools"}
    allowed |= {"fawnwharf", "fawnwharf.interface"}
    assert {name for name in modules if not name.startswith("fawnwharf.policy")} <= allowed
    calls = {n.func.id for n in ast.walk(tree) if isinstance(n, ast.Call) and isinstance(n.func, ast.Name)}
    assert "hash" not in calls


def test_requests_are_sent_in_one_place():
    assert POLICY.count("io.Send(") == 1
    assert POLICY.count("self._send(") == 1


def test_readme_example_runs(capsys):
    code = re.search(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S).group(1)
    exec(compile(code, "README.md", "exec"), {})
    assert "Send(request='r1'" in capsys.readouterr().out
