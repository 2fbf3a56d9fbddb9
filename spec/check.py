"""Checks the specifications with Spin, whole and with each guard removed, and prints a table."""

import re
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

_FOLDER = Path(__file__).parent
SCHEDULER = "scheduler.pml"
TURNS = "turns.pml"
COMPILER = "gcc"
CHECKER = "spin"
SEARCHES_AT_ONCE = 2
SEARCH_TIMEOUT_S = 400
MAX_DEPTH = 1_000_000

TWO_CALLS = ("OWNERS=2",)
TWO_ATTEMPTS = ("OWNERS=2", "TWO_ATTEMPTS")
THREE_OWNERS = ("OWNERS=3", "ONE_CALL")
LOST_DISK = ("OWNERS=2", "ONE_CALL", "DISK")
LATE_MESSAGE = ("OWNERS=2", "LATE")
READ = "what counts is read"


class Search(NamedTuple):
    """One exhaustive search and the property it must violate; empty when it must find none."""

    name: str
    defines: tuple[str, ...]
    violates: str = ""
    model: str = SCHEDULER


class Outcome(NamedTuple):
    """What a search found: the violated property, or empty, and the number of states visited."""

    violated: str
    states: int
    complete: bool


WHOLE = (
    Search("two owners, a program and its sub-agent on one budget", TWO_CALLS),
    Search("two owners, two attempts at one call", TWO_ATTEMPTS),
    Search("three owners, one call", THREE_OWNERS),
    Search("two owners, one call, a disk replaced, a copy moved", LOST_DISK),
    Search("two owners, a message to a copy delivered late again", LATE_MESSAGE),
    Search("quorums of disks, one lost, two changes of the view", (), "", TURNS),
)

REMOVED = (
    Search("seal before reading a copy", (*TWO_CALLS, "NO_SEAL"), "record kept"),
    Search("epoch check at a copy", (*TWO_CALLS, "NO_EPOCH_CHECK"), "not run is true"),
    Search("append at every copy", (*TWO_CALLS, "NO_WRITE_ALL"), "record kept"),
    Search("a copy is filled once an epoch", (*LATE_MESSAGE, "NO_COPY_ONCE"), "record kept"),
    Search("disk id check", (*LOST_DISK, "NO_DISK_ID"), "record kept"),
    Search("new copy named by the table", (*LOST_DISK, "NO_TABLE_CHANGE"), "record kept"),
    Search(
        "compare-and-swap of the owner (with copies filled repeatedly)",
        (*TWO_CALLS, "NO_COMPARE", "NO_COPY_ONCE"),
        "record kept",
    ),
    Search(
        "reading back a lost answer (with copies filled repeatedly)",
        (*TWO_CALLS, "NO_READ_BACK", "NO_COPY_ONCE"),
        "record kept",
    ),
    Search("claim before dispatch", (*TWO_CALLS, "NO_CLAIM_FIRST"), "budget kept"),
    Search("deduplication at the executor", (*TWO_CALLS, "NO_DEDUP"), "at most once"),
    Search("incarnation check", (*TWO_CALLS, "NO_INCARNATION_CHECK"), "at most once"),
    Search("revoke before not run", (*TWO_CALLS, "NO_REVOKE"), "not run is true"),
    Search("executor remembers a revoke", (*TWO_CALLS, "NO_REVOKE_MEMORY"), "not run is true"),
    Search("refusal by a later incarnation", (*TWO_CALLS, "NO_REFUSAL_CHECK"), "not run is true"),
    Search("epoch confirmed before refusing", (*TWO_CALLS, "NO_CONFIRM"), "not run is true"),
    Search("end record before the answer", (*TWO_CALLS, "NO_END_FIRST"), "answer kept"),
    Search("reservation before dispatch", (*TWO_CALLS, "NO_RESERVATION"), "budget kept"),
    Search("quorum of both views", ("NO_BOTH_VIEWS",), READ, TURNS),
    Search("reads of both views", ("NO_READ_OF_BOTH",), READ, TURNS),
    Search("a disk that was asked refuses older views", ("NO_FENCE",), READ, TURNS),
    Search("a lost disk comes back as another", ("NO_FOLDER",), READ, TURNS),
)

REACHED = (
    Search("an answer given by a second owner", (*TWO_CALLS, "SEE_ANSWERED"), "witness"),
    Search("an executed call reported as unknown", (*TWO_CALLS, "SEE_UNKNOWN"), "witness"),
    Search("a revoked call reported as not run", (*TWO_CALLS, "SEE_NOT_RUN"), "witness"),
    Search("a second attempt answered", (*TWO_ATTEMPTS, "SEE_SECOND_ATTEMPT"), "witness"),
    Search("a refusal before any claim", (*TWO_CALLS, "SEE_REFUSED"), "witness"),
    Search("an answer read from a moved copy", (*LOST_DISK, "SEE_SPARE_USED"), "witness"),
    Search("a lost disk's successor in use", ("SEE_SUCCESSOR",), "witness", TURNS),
)


def missing_tools() -> list[str]:
    """Returns the programs that a check needs and this machine lacks."""
    return [tool for tool in (CHECKER, COMPILER) if shutil.which(tool) is None]


def run(search: Search) -> Outcome:
    """Searches all states of one configuration, up to the first violation."""
    defines = [f"-D{define}" for define in search.defines]
    with tempfile.TemporaryDirectory(prefix="endiveworks-spec-") as folder:
        shutil.copy(_FOLDER / search.model, folder)
        _call([CHECKER, "-a", *defines, search.model], folder)
        optimisation = "-O1" if search.violates else "-O2"
        _call(
            [COMPILER, optimisation, "-w", "-DSAFETY", "-DCOLLAPSE", "-o", "pan", "pan.c"], folder
        )
        report = _call(["./pan", "-E", f"-m{MAX_DEPTH}", "-w24"], folder)
        violated = ""
        if _number_in(report, r"errors: (\d+)"):
            trail = _call([CHECKER, "-t", *defines, search.model], folder)
            violated = _violated_property(search.model, trail)
    complete = "search depth too small" not in report and "not completed" not in report
    return Outcome(violated, _number_in(report, r"(\d+) states, stored"), complete)


def _call(command: list[str], folder: str) -> str:
    done = subprocess.run(
        command, cwd=folder, capture_output=True, text=True, timeout=SEARCH_TIMEOUT_S, check=False
    )
    if done.returncode != 0:
        raise RuntimeError(f"{command[0]} failed: {done.stdout}{done.stderr}")
    return done.stdout


def _number_in(report: str, pattern: str) -> int:
    found = re.search(pattern, report)
    if found is None:
        raise RuntimeError(f"the search did not finish: {report}")
    return int(found.group(1))


def _violated_property(model: str, trail: str) -> str:
    """Returns the comment on the line of the assertion that a replayed trail ends at."""
    found = re.search(r":(\d+), Error: assertion violated", trail)
    if found is None:
        raise RuntimeError(f"the trail does not end at an assertion: {trail[-500:]}")
    line = (_FOLDER / model).read_text().splitlines()[int(found.group(1)) - 1]
    return line.split("/*")[1].split("*/")[0].strip()


def expected(search: Search, outcome: Outcome) -> bool:
    """Tells whether a search ended as it must."""
    if search.violates:
        return outcome.violated == search.violates
    return not outcome.violated and outcome.complete


def rows() -> Iterator[tuple[str, Search, Outcome]]:
    """Runs every search and yields its section, in a fixed order."""
    sections = {"whole": WHOLE, "without": REMOVED, "reaches": REACHED}
    searches = [(section, search) for section, group in sections.items() for search in group]
    with ThreadPoolExecutor(SEARCHES_AT_ONCE) as pool:
        outcomes = pool.map(run, [search for _, search in searches])
        for (section, search), outcome in zip(searches, outcomes, strict=True):
            yield section, search, outcome


def main() -> int:
    """Prints one line for each search and returns the exit status."""
    missing = missing_tools()
    if missing:
        print(f"not run: {' and '.join(missing)} not installed", file=sys.stderr)
        return 2
    all_expected = True
    for section, search, outcome in rows():
        as_expected = expected(search, outcome)
        all_expected = all_expected and as_expected
        found = f"violates: {outcome.violated}" if outcome.violated else "no violation"
        verdict = "as expected" if as_expected else "NOT AS EXPECTED"
        print(f"{section:8} | {search.name:62} | {found:28} | {outcome.states:>9} | {verdict}")
    return 0 if all_expected else 1


if __name__ == "__main__":
    sys.exit(main())
