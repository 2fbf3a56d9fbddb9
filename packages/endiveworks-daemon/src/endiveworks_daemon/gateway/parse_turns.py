"""Turns of connections whose input takes long to parse, so that the others go on beside them."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator

# Lines in one piece of input from which on it is parsed in a turn. Heads of sound callers have a
# few dozen.
MANY_LINES = 128


class ParseTurns:
    """Lets one connection at a time parse a piece of input, in the order in which they ask.

    Between two turns the event loop has as long for everything else as the first one took.
    """

    def __init__(self) -> None:
        self._lock = asyncio.Lock()
        self._pause_s = 0.0

    @contextlib.asynccontextmanager
    async def turn(self) -> AsyncIterator[None]:
        """Waits for a turn, which lasts until the context ends."""
        async with self._lock:
            await asyncio.sleep(self._pause_s)
            started_s = time.monotonic()
            try:
                yield
            finally:
                self._pause_s = time.monotonic() - started_s
