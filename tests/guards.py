"""Removes one guard of the code at a time and checks that the tests named for it then fail."""

import os
import shutil
import signal
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parents[1]
GUARDS = ROOT / "tests" / "guards.toml"
# A removed guard may leave a test waiting for what does not come any more.
TEST_TIMEOUT_S = 75.0
_TESTS_FAILED = 1


class Guard(NamedTuple):
    """A guard, the lines that make it and what takes their place; see tests/guards.toml."""

    name: str
    file: str
    lines: str
    without: str
    tests: list[str]


def read_guards() -> list[Guard]:
    """Returns the guards that can be removed."""
    return [Guard(**guard) for guard in tomllib.loads(GUARDS.read_text())["guard"]]


def remove(guard: Guard, root: Path) -> None:
    """Removes a guard from a copy of the packages.

    Raises:
        ValueError: Its lines don't stand in the file exactly once.
    """
    path = root / guard.file
    text = path.read_text()
    if text.count(guard.lines) != 1:
        raise ValueError(f"the lines of guard {guard.name!r} stand {text.count(guard.lines)} times")
    path.write_text(text.replace(guard.lines, guard.without))


def outcome(guard: Guard) -> str:
    """Returns how the tests of a guard ended without it: failed, did not end, or passed."""
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder)
        shutil.copytree(ROOT / "packages", copy / "packages", symlinks=True)
        remove(guard, copy)
        sources = (str(path) for path in sorted(copy.glob("packages/*/src")))
        # Found before the installed packages, also by the processes that the tests start.
        env = {**os.environ, "PYTHONPATH": os.pathsep.join(sources)}
        code = _run(guard.tests, env)
    if code is None:
        return "did not end"
    if code == _TESTS_FAILED:
        return "failed"
    return "passed" if code == 0 else f"did not run ({code})"


def _run(tests: Sequence[str], env: Mapping[str, str]) -> int | None:
    """Returns the exit status of a run of tests; None if it had to be ended."""
    args = [sys.executable, "-m", "pytest", "-q", "-x", "-p", "no:cacheprovider", *tests]
    quiet = subprocess.DEVNULL
    # A session of its own, so that the processes that the tests started end with them.
    with subprocess.Popen(
        args, cwd=ROOT, env=env, stdout=quiet, stderr=quiet, start_new_session=True
    ) as ran:
        try:
            return ran.wait(TEST_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            os.killpg(ran.pid, signal.SIGKILL)
            return None


def main(names: Sequence[str]) -> int:
    """Tries the named guards, or all; returns 1 when one is missed by its tests."""
    missed = 0
    for guard in read_guards():
        if names and guard.name not in names:
            continue
        found = outcome(guard)
        missed += found not in ("failed", "did not end")
        print(f"{found:12} {guard.name}", flush=True)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
