"""The operator's command."""

import os
import signal
import sys
from collections.abc import Mapping, Sequence
from typing import NamedTuple, TextIO

from endiveworks.settings.flags import load

from . import settings
from .check import check
from .exits import MEANING, Exit
from .explain_request import explain_request
from .output import Command, Invocation, Terminal
from .programs import programs
from .publish import publish
from .replay import replay
from .status import status
from .version import version


class _Entry(NamedTuple):
    """One command: its function, the arguments it takes, and how many."""

    run: Command
    arguments: str
    fewest: int
    most: int
    help: str


_MANY = 1000
COMMANDS: dict[str, _Entry] = {
    "check": _Entry(check, "FILE|DIR...", 1, _MANY, "Check service files and list every error."),
    "publish": _Entry(publish, "DIR", 1, 1, "Check the service files and put them in force."),
    "status": _Entry(status, "", 0, 0, "Show every process, or its histograms."),
    "programs": _Entry(
        programs,
        "[explain ID]",
        0,
        2,
        "Show programs under way, or why one's calls went as they did.",
    ),
    "explain": _Entry(
        explain_request,
        "ADDRESS HOSTNAME PATH [FIELD=VALUE...]",
        3,
        7,
        "Show where an entry would send a request now, and why, without sending it.",
    ),
    "replay": _Entry(replay, "FILE...", 1, _MANY, "Replay traces and check their outcomes."),
    "version": _Entry(version, "", 0, 0, "Show the version."),
}


def run() -> None:
    """Runs the command line of this process and exits with its code."""
    # A reader such as head that has seen enough is no error.
    signal.signal(signal.SIGPIPE, signal.SIG_DFL)
    raise SystemExit(main(sys.argv[1:], os.environ, sys.stdout, sys.stderr))


def main(argv: Sequence[str], env: Mapping[str, str], out: TextIO, err: TextIO) -> int:
    """Runs one command and returns its exit code."""
    flags = settings.define()
    if "--help" in argv:
        print(_usage(), file=out)
    values = load(flags, argv, env)
    terminal = Terminal(out, err, values.text("format") == "json")
    name, *args = values.args or ("",)
    entry = COMMANDS.get(name)
    if entry is None or not entry.fewest <= len(args) <= entry.most:
        problem = f"unknown command {name!r}" if entry is None else f"{name} {entry.arguments}"
        print(f"endivectl: {problem}\n{_usage()}", file=err)
        return Exit.USAGE
    return entry.run(Invocation(values, tuple(args), terminal))


def _usage() -> str:
    calls = {f"{name} {entry.arguments}": entry.help for name, entry in COMMANDS.items()}
    width = max(len(call) for call in calls)
    lines = ["Commands:"]
    lines += [f"  {call:{width}}  {text}" for call, text in calls.items()]
    lines.append("Exit codes:")
    lines += [f"  {code.value:3} {meaning}" for code, meaning in MEANING.items()]
    return "\n".join(lines)


if __name__ == "__main__":
    run()
