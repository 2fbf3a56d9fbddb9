"""How much time a stopping entry has left, and which requests it still passes on."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator
from http import HTTPStatus

from .exchange import Exchange, HttpError

# Time reserved at the end for responses to reach their callers.
ANSWER_MARGIN_S = 0.2
# A request is expected to take up to this multiple of its service's mean response time.
LONGEST_FACTOR = 5.0
# Part of the stop for which a request must fit in that may take longer than the mean suggests.
TAIL_SHARE = 0.5
# The caller's next connection goes to another entry, so it may come back at once.
STOPPING_RETRY_S = 0.1


class StopTime:
    """The end of this process, once it is stopping.

    A request that is refused before it was passed on may be sent elsewhere by its caller; one that
    is cut while a replica works on it may not.
    """

    def __init__(self) -> None:
        self._end_s: float | None = None
        self._tail_s = 0.0
        self._limits: dict[asyncio.Timeout, float] = {}

    def begin(self, left_s: float) -> None:
        """Sets the time after which connections are closed, and shortens all waits to it.

        Args:
            left_s: Time until then, in seconds.
        """
        self._end_s = time.monotonic() + left_s - ANSWER_MARGIN_S
        self._tail_s = TAIL_SHARE * left_s
        for timeout, reserve_s in self._limits.items():
            self._shorten(timeout, reserve_s)

    def remaining_s(self, ex: Exchange) -> float:
        """Returns the time until a request ends, by its deadline or by the stop."""
        left_s = self._left_s()
        return ex.remaining_s() if left_s is None else min(ex.remaining_s(), left_s)

    def expected_s(self, ex: Exchange, mean_response_s: float) -> float:
        """Returns the time that a request needs at most, once it has been sent to a replica.

        Args:
            ex: The request.
            mean_response_s: Mean response time of its service, in seconds.
        """
        usual_s = max(ex.route.target_latency_s, LONGEST_FACTOR * mean_response_s)
        return min(ex.remaining_s(), max(usual_s, self._tail_s))

    def check(self, ex: Exchange, mean_response_s: float) -> None:
        """Raises HttpError if a request might not end before the stop does."""
        left_s = self._left_s()
        if left_s is not None and self.expected_s(ex, mean_response_s) > left_s:
            raise stopping_error(ex)

    @contextlib.asynccontextmanager
    async def limited(
        self, timeout_s: float | None = None, reserve_s: float = 0.0
    ) -> AsyncIterator[None]:
        """Ends what runs inside with TimeoutError, after a time or at the stop.

        Args:
            timeout_s: Time after which it ends in any case, in seconds; None for no such time.
            reserve_s: Time that must be left before the end of the stop, in seconds.
        """
        async with asyncio.timeout(timeout_s) as timeout:
            self._shorten(timeout, reserve_s)
            self._limits[timeout] = reserve_s
            try:
                yield
            finally:
                del self._limits[timeout]

    def _left_s(self) -> float | None:
        return None if self._end_s is None else self._end_s - time.monotonic()

    def _shorten(self, timeout: asyncio.Timeout, reserve_s: float) -> None:
        left_s = self._left_s()
        if left_s is None or timeout.expired():
            return
        at_s = asyncio.get_running_loop().time() + left_s - reserve_s
        before_s = timeout.when()
        timeout.reschedule(at_s if before_s is None else min(before_s, at_s))


def stopping_error(ex: Exchange) -> HttpError:
    """Returns the response to a request that can't end before this process does."""
    status = HTTPStatus.BAD_GATEWAY if ex.may_have_run else HTTPStatus.SERVICE_UNAVAILABLE
    return HttpError(status, "this process stops before the request could end", STOPPING_RETRY_S)
