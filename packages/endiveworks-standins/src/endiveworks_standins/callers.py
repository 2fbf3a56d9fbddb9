"""Callers of a local deployment, for tests, the quick start and benchmarks."""

import threading
from collections.abc import Callable, Sequence

from endiveworks.client.caller import Program, open_program
from endiveworks.client.transport import Deployment
from returns.result import Success

from .fleet import wait_until


def open_when_ready(
    deployment: Deployment, service: str, class_name: str = "", budget_tokens: int = 0
) -> Program:
    """Opens a program, retrying until the deployment is ready; see open_program for the arguments.

    Raises:
        TimeoutError: The deployment was not ready within the start timeout of a process.
    """
    opened: list[Program] = []

    def attempt() -> bool:
        outcome = open_program(deployment, service, class_name, budget_tokens)
        if isinstance(outcome, Success):
            opened.append(outcome.unwrap())
        return bool(opened)

    wait_until(attempt)
    return opened[0]


class RepeatingThreads:
    """Threads that each call a function repeatedly until closed.

    Args:
        steps: Functions to call, one per thread.
    """

    def __init__(self, steps: Sequence[Callable[[], None]]) -> None:
        self._stop = threading.Event()
        self._threads = [threading.Thread(target=self._run, args=(step,)) for step in steps]
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Stops the threads after their current calls and waits for them."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, step: Callable[[], None]) -> None:
        while not self._stop.is_set():
            step()
