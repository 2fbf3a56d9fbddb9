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
    """Opens a program as soon as the deployment allows; see open_program for the arguments.

    Raises:
        TimeoutError: It did not within the time that a process may take to start.
    """
    opened: list[Program] = []

    def attempt() -> bool:
        outcome = open_program(deployment, service, class_name, budget_tokens)
        if isinstance(outcome, Success):
            opened.append(outcome.unwrap())
        return bool(opened)

    wait_until(attempt)
    return opened[0]


class Repeated:
    """Threads of which each repeats a function until this is closed.

    Args:
        steps: The functions, one for each thread.
    """

    def __init__(self, steps: Sequence[Callable[[], None]]) -> None:
        self._stop = threading.Event()
        self._threads = [threading.Thread(target=self._run, args=(step,)) for step in steps]
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Ends the threads; each first ends what it is doing."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, step: Callable[[], None]) -> None:
        while not self._stop.is_set():
            step()
