"""endivectl programs explain: why a program's calls went where they went and waited."""

from urllib.parse import quote

from endiveworks.telemetry.status import EXPLAIN_PATH, decode_reasons
from returns.result import Success

from .deployment import find_members
from .exits import exit_for
from .fetch import fetch_all
from .output import Column, Invocation, show_failures, show_rows
from .status import finish

_COLUMNS = (
    Column("process", "PROCESS"),
    Column("decision", "DECISION"),
    Column("attempt", "ATTEMPT"),
    Column("chosen", "CHOSEN"),
    Column("rule", "RULE"),
    Column("value", "VALUE"),
    Column("subject", "SUBJECT"),
)


def explain(invocation: Invocation, program: str) -> int:
    """Shows the reasons that all processes still keep for a program's calls."""
    found = find_members(invocation.values)
    if not isinstance(found, Success):
        show_failures(invocation.terminal, [found.failure()])
        return exit_for(found.failure())
    path = f"{EXPLAIN_PATH}?program={quote(program)}"
    timeout_s = invocation.values.number("timeout_s")
    answers, failures = fetch_all(found.unwrap(), path, timeout_s, decode_reasons)
    rows = [row for answer in answers for row in answer]
    show_rows(invocation.terminal, rows, _COLUMNS)
    return finish(invocation, answers, failures)
