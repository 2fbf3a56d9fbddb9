"""Keeps a copy of a prefix up to date: reads it whole, then watches it, through every outage."""

import random
from collections.abc import Callable
from typing import NamedTuple

from returns.result import Result, Success

from ..errors import Code, Failure
from ..links.retry import backoff_s

_BASE_BACKOFF_S = 0.2
_MAX_BACKOFF_S = 5.0


class Source(NamedTuple):
    """What is followed.

    Attributes:
        load: Reads everything; returns whether the key-value service answered.
        watch: Watches from the last revision seen until the watch ends, and returns why it did.
    """

    load: Callable[[], bool]
    watch: Callable[[], Result[None, Failure]]


def follow(
    source: Source,
    sleep: Callable[[float], None],
    rng: random.Random,
    goes_on: Callable[[], bool] = lambda: True,
    max_backoff_s: float = _MAX_BACKOFF_S,
) -> None:
    """Follows a source for as long as the process runs.

    Args:
        source: What is followed.
        sleep: Pauses for some seconds.
        rng: Spreads the pauses of the processes of a deployment.
        goes_on: Returns whether to go on; for tests.
        max_backoff_s: Upper bound of the pauses, in seconds.
    """
    failures = 0
    loaded = False
    while goes_on():
        if not loaded:
            loaded = source.load()
            failures = 0 if loaded else failures + 1
        else:
            ended = source.watch()
            loaded = not _is_gap(ended)
            failures = failures + 1 if _is_lost(ended) else 0
        if failures:
            sleep(backoff_s(failures, _BASE_BACKOFF_S, max_backoff_s, rng.random()))


def _is_gap(ended: Result[None, Failure]) -> bool:
    """Whether changes may have been missed, so that everything has to be read again."""
    return isinstance(ended, Success) or ended.failure().code is Code.CONFLICT


def _is_lost(ended: Result[None, Failure]) -> bool:
    """Whether the connection was lost; a watch that was silent for long is begun anew at once."""
    return not isinstance(ended, Success) and ended.failure().code not in (
        Code.TIMEOUT,
        Code.CONFLICT,
    )
