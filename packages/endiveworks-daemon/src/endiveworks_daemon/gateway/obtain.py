"""Gets a replica to take a request: choice, sending, and what may be tried again."""

import asyncio
import random
import time

from endiveworks.gateway.messages import AnswerHead, Dispatch
from endiveworks.gateway.routes import Repeat
from endiveworks.gateway.waiting import retry_after_s
from endiveworks.telemetry import logs

from .exchange import Context, Exchange, UnservedError
from .fleet import RefusedError
from .known import UnderWay
from .upstreams import AnswerError, UpstreamConnection

STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_TIMEOUT = 504
# Requests that nobody ran come back after this time where no wait can be predicted.
UNKNOWN_WAIT_S = 0.2
# An answer that takes so many times the usual one is taken to be lost, where another replica may
# be asked.
LOST_AFTER_X = 5.0
# Times that one request is sent to replicas that may run it.
MAX_SENDS = 4


class Answer:
    """A replica's answer whose head has arrived."""

    def __init__(
        self,
        context: Context,
        replica: str,
        conn: UpstreamConnection,
        head: AnswerHead,
        work: UnderWay,
    ) -> None:
        self.replica = replica
        self.conn = conn
        self.head = head
        self._pool = context.pool
        self.work = work
        self._closed = False

    def close(self, whole: bool) -> None:
        """Ends the exchange; one that is not whole ends the replica's work as well."""
        if self._closed:
            return
        self._closed = True
        self.work.end()
        if whole:
            self._pool.give(self.replica, self.conn)
        else:
            self.conn.close()


async def obtain(
    context: Context,
    ex: Exchange,
    body: bytes,
    resume_after: int | None = None,
    prefer: str = "",
) -> Answer:
    """Returns the head of an answer by a replica that has taken the request.

    Args:
        context: The parts of the process.
        ex: The request; what is tried is noted there.
        body: What the replica is to get.
        resume_after: Event after which a stream is to go on.
        prefer: Replica to try first.

    Raises:
        UnservedError: No replica answered, and trying on is of no use or not allowed.
    """
    while True:
        if not prefer and len(ex.ran_on) >= ex.route.max_attempts:
            prefer = next(iter(ex.ran_on))
        replica = prefer if prefer and prefer not in ex.excluded else await _choose(context, ex)
        prefer = ""
        address = context.fleet.address(replica)
        if not address:
            _forget(ex, replica)
            continue
        answer = await _try(context, ex, replica, address, body, resume_after)
        if answer is not None:
            return answer


def failed(context: Context, ex: Exchange, replica: str, cause: Exception) -> None:
    """Notes that a replica lost a request that it may have run.

    Raises:
        UnservedError: The request may not be sent again.
    """
    context.fleet.blame(replica)
    logs.logger("gateway").info(
        "answer_lost",
        request=ex.request.id,
        service=ex.service,
        peer=replica,
        reason=f"{type(cause).__name__}: {cause}",
    )
    if not ex.route.may_repeat() or ex.sends >= MAX_SENDS:
        raise UnservedError(STATUS_BAD_GATEWAY, "the replica's answer was lost")
    if len(ex.ran_on) < ex.route.max_attempts:
        ex.excluded.add(replica)


def _forget(ex: Exchange, replica: str) -> None:
    """Leaves out a replica that has ended, so that another may take its place."""
    ex.excluded.add(replica)
    ex.ran_on.discard(replica)


async def _choose(context: Context, ex: Exchange) -> str:
    began_s = time.monotonic()
    try:
        choice = await context.fleet.acquire(ex.service, ex.request, ex.waiter(), ex.excluded)
    except RefusedError as refused:
        if ex.may_have_run:
            raise UnservedError(STATUS_BAD_GATEWAY, refused.reason) from refused
        wait_s = retry_after_s(max(refused.wait_s, UNKNOWN_WAIT_S), random.random())
        raise UnservedError(STATUS_UNAVAILABLE, refused.reason, wait_s) from refused
    finally:
        ex.queued_s += time.monotonic() - began_s
    ex.replica, ex.cost_ms = choice.replica, choice.cost_ms
    return choice.replica


def _patience_s(context: Context, ex: Exchange) -> float | None:
    """Returns how long to wait for the head of an answer; None for as long as there is time."""
    if ex.route.repeat is not Repeat.ANY or len(ex.ran_on) >= ex.route.max_attempts:
        return None
    if not context.fleet.has_other(ex.service, ex.ran_on | ex.excluded):
        return None
    usual_s = max(ex.route.aim_s, LOST_AFTER_X * context.fleet.usual_s(ex.service))
    return min(usual_s, ex.left_s() / 2)


async def _try(
    context: Context,
    ex: Exchange,
    replica: str,
    address: str,
    body: bytes,
    resume_after: int | None,
) -> Answer | None:
    """Sends the request to one replica; returns None when another should be tried."""
    work = context.fleet.begin(ex.service, replica, ex.request)
    conn: UpstreamConnection | None = None
    taken = False
    try:
        conn = await context.pool.take(replica, address, not ex.route.may_repeat())
        headers = context.dialect.write_request(
            ex.request, Dispatch(replica, ex.left_s(), resume_after)
        )
        ex.sends += 1
        is_first = replica not in ex.ran_on
        ex.ran_on.add(replica)
        if ex.route.repeat is Repeat.STREAM:
            work.wait_for_event()
        conn.send(ex.request.method, ex.request.target, headers, body)
        async with asyncio.timeout(_patience_s(context, ex)):
            head = await conn.head(context.dialect.read_answer, ex.request.id)
        if head.encoded:
            raise AnswerError("the body has an encoding that was not asked for")
        if head.not_run:
            await conn.body()
            ex.sends -= 1
            ex.excluded.add(replica)
            if is_first:
                ex.ran_on.discard(replica)
            context.pool.give(replica, conn)
            taken = True
            return None
        taken = True
        return Answer(context, replica, conn, head, work)
    except (OSError, AnswerError) as exc:
        if conn is None:
            context.fleet.blame(replica)
            _forget(ex, replica)
            return None
        failed(context, ex, replica, exc)
        return None
    finally:
        if not taken and conn is not None:
            conn.close()
        if not taken or replica in ex.excluded:
            work.end()
