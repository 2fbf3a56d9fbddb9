"""Threads that run for as long as the process does."""

import threading
import time
from collections.abc import Callable

from ..telemetry import logs

RESTART_DELAY_S = 1.0  # Pause after an error, so that one that recurs doesn't fill the log.


def start_forever(
    name: str, run: Callable[[], None], restart_delay_s: float = RESTART_DELAY_S
) -> None:
    """Runs a function in a daemon thread, and again after an error, which is logged.

    Args:
        name: Name of the thread.
        run: The function; the thread ends when it returns.
        restart_delay_s: Pause after an error, in seconds.
    """

    def run_until_return() -> None:
        while True:
            try:
                run()
                return
            except Exception as exc:
                logs.logger("process").error("thread_failed", step=name, exc_info=exc)
                time.sleep(restart_delay_s)

    threading.Thread(target=run_until_return, name=name, daemon=True).start()
