"""A client sends turns with long bodies within the limits, and the disks run out of memory."""

import asyncio
import time
from collections import Counter
from pathlib import Path

from lab2 import caller
from lab2.case import run
from lab2.record import Record
from lab2.replica import Replica, events, plain
from lab2.site import LIMITS, Site, config

LOAD_S = 40.0
AFTER_S = 10.0
LINES = 4
PAUSE_S = 0.3
TURN_BYTES = 1_680
BUDGET, USAGE = 10**6, "1680,138"
EVENTS, EVENT_S = 6, 0.02
BODY = b"x" * LIMITS["max_body_bytes"]


class Callers:
    """Ordinary clients: lines of turns, each of which continues the one before."""

    def __init__(self, site: Site, record: Record) -> None:
        self._site, self._record = site, record
        self.statuses: Counter[int | str] = Counter()
        self.during: Counter[int | str] = Counter()
        self.after: Counter[int | str] = Counter()
        self.is_over = False

    async def run(self, until_s: float) -> None:
        """Sends turns until a time."""
        await asyncio.gather(*(self._line(number, until_s) for number in range(LINES)))

    async def _line(self, number: int, until_s: float) -> None:
        previous, program = "", f"p{number}{caller.new_id()}"
        while time.monotonic() < until_s:
            name = caller.new_id()
            headers = caller.turn_headers(name, program, previous, BUDGET, USAGE)
            front = self._site.entries[0].front
            reply = await caller.ask(front, "POST", "/quote/a", headers, b"q" * TURN_BYTES)
            whole = reply.status == 200 and reply.complete
            self._record.line(f"turn {name} after {previous or '-'}: {reply.status} {whole}")
            found = self.statuses if not self._site.ends else self.during
            (self.after if self.is_over else found)["whole" if whole else reply.status] += 1
            previous = name if whole else previous
            await asyncio.sleep(PAUSE_S)


async def send_long_turns(site: Site, record: Record, until_s: float) -> int:
    """Sends turns with bodies of the longest allowed length, one after the other."""
    answered = 0
    while time.monotonic() < until_s:
        name = caller.new_id()
        headers = caller.turn_headers(name, f"long{name}", "", BUDGET, USAGE)
        reply = await caller.ask(site.entries[0].front, "POST", "/quote/b", headers, BODY)
        whole = reply.status == 200 and reply.complete
        answered += whole
        record.line(f"turn {name} with {len(BODY)} bytes: {reply.status} {whole} {reply.error}")
        if not whole:
            await asyncio.sleep(float(reply.headers.get("retry-after", "0.2")))
    return answered


async def play(record: Record, trouble: bool) -> list[str]:
    """Returns what broke the rule."""
    site = Site(record)
    site.replicas = [
        Replica("i-llm-1", "assist-models", 16, events(EVENTS, EVENT_S)),
        Replica("i-llm-2", "assist-models", 16, events(EVENTS, EVENT_S)),
        Replica("i-shop-1", "shop-apps", 6, plain(0.01, b"ok")),
    ]
    try:
        await site.start(config(1, 16))
        callers, began_s = Callers(site, record), time.monotonic()
        ordinary = asyncio.create_task(callers.run(began_s + LOAD_S + AFTER_S))
        if trouble:
            answered = await send_long_turns(site, record, began_s + LOAD_S)
            record.say(f"{answered} long turns were answered whole")
        await asyncio.sleep(max(0.0, began_s + LOAD_S - time.monotonic()))
        callers.is_over = True
        await ordinary
        for process in (*site.entries, *site.disks):
            record.say(f"{process.name} used {process.peak_mb:.0f} MB at most")
        record.say(f"ordinary turns by status: {dict(callers.statuses)}")
        record.say(f"the same after the first end of a process: {dict(callers.during)}")
        record.say(f"in {AFTER_S} s after the last long turn: {dict(callers.after)}")
        return site.faults()
    finally:
        await site.stop()


if __name__ == "__main__":
    run(Path(__file__).parent, play)
