"""Output of endivectl: tables for people, JSON for programs."""

from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple, TextIO

import msgspec
from endiveworks.errors import Failure
from endiveworks.settings.flags import Values

_GAP = "  "


class Terminal(NamedTuple):
    """Where and how a command writes.

    Attributes:
        out: Stream for results.
        err: Stream for errors.
        as_json: Whether results are JSON instead of tables.
    """

    out: TextIO
    err: TextIO
    as_json: bool


class Invocation(NamedTuple):
    """One run of a command: its settings, its arguments and its terminal."""

    values: Values
    args: tuple[str, ...]
    terminal: Terminal


Command = Callable[[Invocation], int]


class Column(NamedTuple):
    """One column of a table: the key of a row and the heading above it."""

    key: str
    heading: str


def show_rows(
    terminal: Terminal, rows: Sequence[Mapping[str, object]], columns: Sequence[Column]
) -> None:
    """Prints rows as a table with the given columns, or as a JSON list with all keys."""
    if terminal.as_json:
        show_json(terminal, rows)
        return
    lines = [[column.heading for column in columns]]
    lines += [[_cell(row.get(column.key)) for column in columns] for row in rows]
    widths = [max(len(line[at]) for line in lines) for at in range(len(columns))]
    for line in lines:
        cells = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        print(_GAP.join(cells).rstrip(), file=terminal.out)


def show_json(terminal: Terminal, value: object) -> None:
    """Prints a value as JSON, indented."""
    text = msgspec.json.format(msgspec.json.encode(value), indent=2).decode()
    print(text, file=terminal.out)


def show_failures(terminal: Terminal, failures: Sequence[Failure]) -> None:
    """Prints errors on the error stream, as sentences or as one JSON list."""
    if terminal.as_json and failures:
        bodies = [failure._asdict() for failure in failures]
        print(msgspec.json.encode(bodies).decode(), file=terminal.err)
        return
    for failure in failures:
        print(f"endivectl: {failure}", file=terminal.err)


def _cell(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.1f}"
    text = "-" if value is None or value == "" else str(value)
    # A name from another process must not move the cursor or start a line.
    return "".join(char if char.isprintable() else "?" for char in text)
