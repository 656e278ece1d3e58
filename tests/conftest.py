"""Set-up of the whole test run."""

import pytest
from support import known_red

pytest_plugins = ["pytester"]


def pytest_configure(config: pytest.Config) -> None:
    """Take the list of tests that are known to fail into account."""
    known_red.install(config)
