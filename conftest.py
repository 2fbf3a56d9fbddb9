"""Holds every test named in KNOWN-RED.txt to failing, so that the list can't go stale."""

from pathlib import Path

import pytest

_LIST = Path(__file__).parent / "KNOWN-RED.txt"


def _known_failures() -> dict[str, str]:
    lines = [line for line in _LIST.read_text().splitlines() if line and not line.startswith("#")]
    return {line.split("|")[0].strip(): line for line in lines}


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Marks listed tests as strict expected failures; a listed test that passes fails the run."""
    known = _known_failures()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(strict=True, reason=known.pop(item.nodeid)))
    unknown = sorted(name for name in known if _is_collected(config, name))
    if unknown and not config.getoption("keyword"):
        raise pytest.UsageError(f"KNOWN-RED.txt names tests that do not exist: {unknown}")


def _is_collected(config: pytest.Config, name: str) -> bool:
    """Returns whether a run collects the file of a test as a whole folder of tests."""
    path = config.rootpath / name.partition("::")[0]
    ignored = [config.rootpath / folder for folder in config.getoption("ignore") or ()]
    folders = [config.rootpath / arg for arg in config.args]
    if any(path.is_relative_to(folder) for folder in ignored):
        return False
    return any(folder.is_dir() and path.is_relative_to(folder) for folder in folders)
