"""Configuration of the whole test run."""

import pytest
from support import known_red

pytest_plugins = ["pytester"]


def pytest_configure(config: pytest.Config) -> None:
    """Install the plugin for tests that are known to fail."""
    known_red.install(config)
