"""Runs the tests behind each promise and failure and writes docs/PROOFS.md from the outcome."""

import sys
import tomllib
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

import pytest

ROOT = Path(__file__).parents[1]
ROWS = ROOT / "tests" / "proofs.toml"
PAGE = ROOT / "docs" / "PROOFS.md"
TESTS_AT_ONCE = 3
HEAD = """# What is proved

Written by `./dev proofs` from its own run; edit `tests/proofs.toml` instead. A row is proved when
its tests pass and bring the fault about, partial when they leave something out, which the last
column names, and failed when one of them failed or did not run. The model is `spec/scheduler.pml`,
checked by `python spec/check.py`; each switch named there or below removes one guard, and the run
shows that the property then breaks. A guard named after `./dev guards` stands in
`tests/guards.toml`: that command removes it from a copy of the code and fails if its tests still
pass.

"""
COLUMNS = (
    "kind",
    "what must hold or be survived",
    "mechanism",
    "property of the model",
    "fault brought about",
    "tests",
    "seen failing",
    "status",
    "not shown",
)


class Row(NamedTuple):
    """One line of the page; see the head of tests/proofs.toml."""

    kind: str
    name: str
    mechanism: str
    model: str
    tests: list[str]
    fault: str
    seen_failing: str
    most: str
    left: str


class Recorder:
    """Keeps the outcome of each test that pytest runs."""

    def __init__(self) -> None:
        self.outcomes: dict[str, str] = {}

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Records the worst outcome of a test's phases."""
        if report.when == "call" or report.outcome != "passed":
            self.outcomes[report.nodeid] = report.outcome


def read_rows() -> list[Row]:
    """Returns the rows of the page."""
    return [Row(**row) for row in tomllib.loads(ROWS.read_text())["row"]]


def run_tests(rows: list[Row]) -> dict[str, str]:
    """Runs every test that a row names, once, and returns the outcomes by test id."""
    recorder = Recorder()
    wanted = sorted({test for row in rows for test in row.tests})
    # The tests of a file may share a deployment, so they stay together.
    options = ["-q", f"-n{TESTS_AT_ONCE}", "--dist=loadfile", "--rootdir", str(ROOT)]
    pytest.main([*options, *wanted], plugins=[recorder])
    return recorder.outcomes


def status(row: Row, outcomes: dict[str, str]) -> str:
    """Returns the status of a row; one of its tests that did not pass makes it failed."""
    for test in row.tests:
        found = [outcome for name, outcome in outcomes.items() if name.startswith(test)]
        if not found or any(outcome != "passed" for outcome in found):
            return f"failed ({test})"
    return row.most


def line(row: Row, outcomes: dict[str, str]) -> str:
    """Returns the row as a line of the page's table."""
    tests = ", ".join(f"`{test}`" for test in row.tests)
    cells = (row.kind, row.name, row.mechanism, row.model, row.fault, tests, row.seen_failing)
    return cells_line((*cells, status(row, outcomes), row.left or "-"))


def cells_line(cells: Sequence[str]) -> str:
    """Returns one line of a Markdown table."""
    return f"| {' | '.join(cells)} |"


def main() -> int:
    """Writes the page and prints the statuses; returns 1 when a row failed."""
    rows = read_rows()
    outcomes = run_tests(rows)
    columns = [cells_line(COLUMNS), cells_line(["---"] * len(COLUMNS))]
    table = [*columns, *(line(row, outcomes) for row in rows)]
    PAGE.write_text(HEAD + "\n".join(table) + "\n")
    statuses = [status(row, outcomes) for row in rows]
    for row, found in zip(rows, statuses, strict=True):
        print(f"{found:10} {row.name}")
    return 1 if any(found.startswith("failed") for found in statuses) else 0


if __name__ == "__main__":
    sys.exit(main())
