"""endivectl programs: the programs under way, without their content."""

from endiveworks.telemetry.status import PROGRAMS_PATH, decode_programs
from returns.result import Success

from .deployment import find_members
from .exits import Exit, exit_for
from .explain import explain
from .fetch import fetch_all
from .output import Column, Invocation, show_failures, show_rows
from .status import finish

_COLUMNS = (
    Column("program", "PROGRAM"),
    Column("tenant", "TENANT"),
    Column("parent", "PARENT"),
    Column("state", "STATE"),
    Column("calls", "CALLS"),
    Column("used_tokens", "USED"),
    Column("left_tokens", "LEFT"),
    Column("owner", "OWNER"),
)


def programs(invocation: Invocation) -> int:
    """Shows up to --limit programs of each entry, or explains one program's calls."""
    if invocation.args:
        return _explain(invocation)
    found = find_members(invocation.values)
    if not isinstance(found, Success):
        show_failures(invocation.terminal, [found.failure()])
        return exit_for(found.failure())
    entries = [member for member in found.unwrap() if member.role != "upstream"]
    path = f"{PROGRAMS_PATH}?limit={invocation.values.integer('limit')}"
    timeout_s = invocation.values.number("timeout_s")
    answers, failures = fetch_all(entries, path, timeout_s, decode_programs)
    rows = sorted((row for answer in answers for row in answer), key=lambda row: row["program"])
    show_rows(invocation.terminal, rows, _COLUMNS)
    return finish(invocation, answers, failures)


def _explain(invocation: Invocation) -> int:
    action, *rest = invocation.args
    if action != "explain" or len(rest) != 1:
        print("endivectl: programs takes nothing or explain ID", file=invocation.terminal.err)
        return Exit.USAGE
    return explain(invocation, rest[0])
