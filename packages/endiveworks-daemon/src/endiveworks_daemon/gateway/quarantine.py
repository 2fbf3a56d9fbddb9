"""Keeps requests that end replicas from further replicas, and finds out whether a replica ended."""

import asyncio
import contextlib
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable, Mapping
from typing import NamedTuple

from endiveworks.gateway.suspects import HOLD_CRASHES, Suspects, Suspicion
from endiveworks.telemetry import logs

from .exchange import Exchange, HttpError
from .sockets import accepts_connections

STATUS_UNAVAILABLE = 503
STATUS_BAD_GATEWAY = 502
# Time in which the connections of all requests at a replica break when it ends.
COLLECT_S = 0.03
# Longest time that a broken stream waits for the result; callers' streams pause for as long.
RESUME_WAIT_S = 0.1


class SharedSuspicions(NamedTuple):
    """What entries tell each other of requests.

    Attributes:
        requests: Suspicions by the hash of a request.
        heads: Suspicions by the hash of its path and the beginning of its body.
    """

    requests: dict[str, Suspicion]
    heads: dict[str, Suspicion]


class _Lost(NamedTuple):
    """Requests that a replica broke off at one moment, and whether it is known if it ended."""

    requests: dict[str, str]  # Head digests by digest.
    verified: asyncio.Event


class Quarantine:
    """Decides which requests may be sent, from what this process and others have seen.

    Attributes:
        on_crash: Called when this process has seen which requests a replica was running at its end.
    """

    def __init__(self) -> None:
        self._requests = Suspects()
        self._heads = Suspects()
        self._lost: dict[str, _Lost] = {}
        self._background: set[asyncio.Task[None]] = set()
        self.on_crash: Callable[[], None] = lambda: None

    @contextlib.asynccontextmanager
    async def admitted(self, ex: Exchange) -> AsyncIterator[None]:
        """Counts a request as running.

        Raises:
            HttpError: The request has ended too many replicas, or runs already and is suspected.
        """
        await self._wait_until_verified(ex)
        self._check(ex, own_runs=0)
        self._requests.start(ex.digest)
        try:
            yield
        finally:
            self._requests.end(ex.digest)

    def check_repeat(self, ex: Exchange) -> None:
        """Raises HttpError if a request that was admitted may not be sent to a further replica."""
        self._check(ex, own_runs=1)

    async def wait_before_resuming(self, ex: Exchange) -> None:
        """Waits until it is known whether the replica that broke off a stream has ended.

        One that has ended refuses connections at once. If it doesn't answer at all, it is probably
        cut off, and the stream goes on elsewhere.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RESUME_WAIT_S):
                await self._wait_until_verified(ex)

    def record_loss(self, ex: Exchange, replica: str, address: str) -> None:
        """Records that a replica broke off a request, if it turns out to have ended.

        Args:
            ex: The request.
            replica: Id of the replica.
            address: Its address; empty if it is no longer listed, so that it has ended.
        """
        is_first = replica not in self._lost
        lost = self._lost.setdefault(replica, _Lost({}, asyncio.Event()))
        lost.requests[ex.digest] = ex.head_digest
        if is_first:  # Its task tells for the others as well.
            task = asyncio.create_task(self._verify(replica, address))
            self._background.add(task)
            task.add_done_callback(self._background.discard)

    def spread_key(self, ex: Exchange) -> str:
        """Returns a key that selects the replica of a suspected request; empty for all others.

        Requests that were running at the same replica when it ended are spread by it, so that the
        next end of a replica tells which of them is harmful.
        """
        crashes = self._requests.check(ex.digest, time.monotonic(), own_runs=1).crashes
        return f"{ex.digest}/{crashes}" if crashes else ""

    def record_response(self, ex: Exchange) -> None:
        """Records that a replica responded to a request completely."""
        now_s = time.monotonic()
        self._requests.record_response(ex.digest, now_s)
        if len(self._heads):
            self._heads.record_response(ex.head_digest, now_s)

    def share(self) -> SharedSuspicions:
        """Returns what other entries should know."""
        now_s = time.monotonic()
        return SharedSuspicions(self._requests.share(now_s), self._heads.share(now_s))

    def adopt(self, told: SharedSuspicions) -> None:
        """Adds what another entry knows."""
        now_s = time.monotonic()
        self._heads.adopt(told.heads, now_s)
        for digest in self._requests.adopt(told.requests, now_s):
            self._log_stopped(digest, "another entry")

    async def _wait_until_verified(self, ex: Exchange) -> None:
        """Waits until it is known whether the replicas that broke off the request have ended."""
        for lost in list(self._lost.values()):
            if ex.digest in lost.requests:
                await lost.verified.wait()

    def _check(self, ex: Exchange, own_runs: int) -> None:
        now_s = time.monotonic()
        verdict = self._requests.check(ex.digest, now_s, own_runs)
        if verdict.may_run and len(self._heads):
            verdict = self._heads.check(ex.head_digest, now_s)
        if verdict.may_run:
            return
        reason = f"the request ended {verdict.crashes} replicas that ran it"
        if ex.may_have_run:
            raise HttpError(STATUS_BAD_GATEWAY, reason)
        raise HttpError(STATUS_UNAVAILABLE, reason, verdict.retry_after_s)

    async def _verify(self, replica: str, address: str) -> None:
        """Records which requests a replica was running, if it does not accept connections."""
        at_s = time.monotonic()
        try:
            await asyncio.sleep(COLLECT_S)
            has_ended = not await accepts_connections(address)
        finally:  # Repetitions that wait must go on in any case.
            lost = self._lost.pop(replica)
            lost.verified.set()
        if has_ended:
            self._record_crash(lost.requests, replica, at_s)

    def _record_crash(self, lost: Mapping[str, str], replica: str, at_s: float) -> None:
        logs.logger("gateway").info("replica_ended", peer=replica, amount=len(lost))
        counts = Counter(lost.values())
        # A beginning that several of them have is that of many requests, not of one.
        heads = [head for head, count in counts.items() if count == 1]
        self._heads.record_crash(heads, replica, at_s)
        for digest in self._requests.record_crash(list(lost), replica, at_s):
            self._log_stopped(digest, "response lost")
        self.on_crash()

    def _log_stopped(self, digest: str, reason: str) -> None:
        logs.logger("gateway").warning(
            "request_stopped", digest=digest, amount=HOLD_CRASHES, reason=reason
        )
