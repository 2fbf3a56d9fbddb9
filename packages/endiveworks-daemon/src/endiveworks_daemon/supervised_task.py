"""Tasks of the event loop that run for as long as the process does."""

import asyncio
from collections.abc import Awaitable, Callable

from endiveworks.links.threads import RESTART_DELAY_S
from endiveworks.telemetry import logs


async def run_supervised(
    name: str, run: Callable[[], Awaitable[None]], restart_delay_s: float = RESTART_DELAY_S
) -> None:
    """Runs a coroutine function until it returns, and again after an error, which is logged.

    Args:
        name: Name of the task, for the log.
        run: The coroutine function.
        restart_delay_s: Pause after an error, in seconds.
    """
    while True:
        try:
            await run()
            return
        except Exception as exc:
            logs.logger("process").error("task_failed", step=name, exc_info=exc)
            await asyncio.sleep(restart_delay_s)
