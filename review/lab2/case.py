"""Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from .record import Record

BROKEN, HELD, CANNOT_RUN = 1, 0, 2
LONGEST_S = 112.0

# Plays the case with or without the disruption; returns what broke the rule, empty if it held.
Play = Callable[[Record, bool], Awaitable[list[str]]]


def run(folder: Path, play: Play) -> None:
    """Runs a case and exits."""
    # Ends the processes of a run that is stopped.
    signal.signal(signal.SIGTERM, lambda number, _: sys.exit(CANNOT_RUN))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.line(f"TROUBLE={int(trouble)}")
    try:
        problems = asyncio.run(_bounded(play, record, trouble))
    except Exception as exc:
        record.say(f"could not run: {type(exc).__name__}: {exc}")
        traceback.print_exc()
        sys.exit(CANNOT_RUN)
    for problem in problems:
        record.say(f"broken: {problem}")
    record.say("the rule was broken" if problems else "the rule held")
    sys.exit(BROKEN if problems else HELD)


async def _bounded(play: Play, record: Record, trouble: bool) -> list[str]:
    async with asyncio.timeout(LONGEST_S):
        return await play(record, trouble)
