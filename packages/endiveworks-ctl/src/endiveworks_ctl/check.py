"""endivectl check: the errors of service files."""

from collections.abc import Sequence
from pathlib import Path

from endiveworks.config.service_file import Problem, ServiceSet, collect
from returns.result import Result, Success

from .exits import Exit
from .output import Column, Invocation, Terminal, show_json, show_rows

_COLUMNS = (
    Column("name", "SERVICE"),
    Column("kind", "KIND"),
    Column("model", "MODEL"),
    Column("classes", "CLASSES"),
    Column("tenants", "TENANTS"),
)


def check(invocation: Invocation) -> int:
    """Lists the services in the files, or every error in them."""
    collected = collect_files(invocation.args)
    if not isinstance(collected, Success):
        show_problems(invocation.terminal, collected.failure())
        return Exit.REFUSED
    services = collected.unwrap().services
    rows = [
        {
            "name": name,
            "kind": service.kind,
            "model": service.model,
            "classes": len(service.classes),
            "tenants": len(service.tenants),
        }
        for name, service in sorted(services.items())
    ]
    show_rows(invocation.terminal, rows, _COLUMNS)
    return Exit.OK


def collect_files(names: Sequence[str]) -> Result[ServiceSet, tuple[Problem, ...]]:
    """Returns the services of the named files and folders, or every problem in them."""
    return collect([Path(name) for name in names])


def show_problems(terminal: Terminal, problems: Sequence[Problem]) -> None:
    """Prints the problems on the error stream, one a line, or as a JSON list."""
    if terminal.as_json:
        show_json(terminal._replace(out=terminal.err), [problem._asdict() for problem in problems])
        return
    for problem in problems:
        print(f"endivectl: {problem}", file=terminal.err)
