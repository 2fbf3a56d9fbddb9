"""Keeps a copy of a prefix current: reads all of it, then watches it, retrying after failures."""

import random
from collections.abc import Callable
from typing import NamedTuple

from returns.result import Result, Success

from ..errors import Code, Failure
from ..links.retry import backoff_s
from ..telemetry import logs

_BASE_BACKOFF_S = 0.2
_MAX_BACKOFF_S = 5.0


class WatchedPrefix(NamedTuple):
    """Functions that read and watch a prefix.

    Attributes:
        load: Reads the whole prefix; returns whether the key-value service responded.
        watch: Watches from the last revision received and returns the reason why the watch ended.
    """

    load: Callable[[], bool]
    watch: Callable[[], Result[None, Failure]]


def run_watch_loop(
    source: WatchedPrefix,
    sleep: Callable[[float], None],
    rng: random.Random,
    should_continue: Callable[[], bool] = lambda: True,
    max_backoff_s: float = _MAX_BACKOFF_S,
) -> None:
    """Reads and watches a source for as long as the process runs.

    Args:
        source: Reads and watches the prefix.
        sleep: Sleeps for a number of seconds.
        rng: Random jitter, so that the processes of a deployment don't retry at once.
        should_continue: Returns whether to continue; for tests.
        max_backoff_s: Maximum backoff, in seconds.
    """
    failures = 0
    loaded = False
    while should_continue():
        try:
            if not loaded:
                loaded = source.load()
                failures = 0 if loaded else failures + 1
            else:
                ended = source.watch()
                loaded = not _may_have_missed_changes(ended)
                failures = failures + 1 if _is_connection_lost(ended) else 0
        except Exception as exc:
            # Whatever an entry or a reply does to its readers, they go on following the service.
            logs.logger("feed").error("watch_failed", exc_info=exc)
            loaded = False
            failures += 1
        if failures:
            sleep(backoff_s(failures, _BASE_BACKOFF_S, max_backoff_s, rng.random()))


def _may_have_missed_changes(ended: Result[None, Failure]) -> bool:
    """Returns whether changes may have been missed, so that the prefix must be read again."""
    return isinstance(ended, Success) or ended.failure().code is Code.CONFLICT


def _is_connection_lost(ended: Result[None, Failure]) -> bool:
    """Returns whether to back off; a watch that timed out is restarted without a delay."""
    return not isinstance(ended, Success) and ended.failure().code not in (
        Code.TIMEOUT,
        Code.CONFLICT,
    )
