"""Sends a request to replicas: choice of the replica, retries, and when no retry is allowed."""

import asyncio
import time

from endiveworks.gateway.attempts import NextAttempt, Tried, next_attempt
from endiveworks.gateway.messages import Dispatch, ResponseHead
from endiveworks.gateway.outcomes import DOUBTFUL_ERROR_SHARE, ERROR_SHARE, Trial
from endiveworks.gateway.routes import RouteType
from endiveworks.telemetry import logs

from .admission import refusal_error
from .context import Context
from .exchange import Exchange, HttpError
from .refusals import RefusedError
from .replica_state import InFlightRequest
from .replica_table import ReplicaGroup
from .sockets import accepts_connections
from .stop_time import stopping_error
from .upstreams import ResponseError, UpstreamConnection

STATUS_BAD_GATEWAY = 502
STATUS_TIMEOUT = 504
FIRST_ERROR = 400  # Lowest status of an error.
FIRST_SERVER_ERROR = 500  # Lowest status of an error that the request has not caused.
# A response that takes longer than this multiple of the mean is treated as lost, if another
# replica may be tried.
LOST_AFTER_FACTOR = 5.0
# Maximum number of times that one request is sent to replicas that may run it.
MAX_SENDS = 4


class Response:
    """A replica's response whose head has been received."""

    def __init__(
        self,
        context: Context,
        replica: str,
        conn: UpstreamConnection,
        head: ResponseHead,
        in_flight_request: InFlightRequest,
    ) -> None:
        self.replica = replica
        self.conn = conn
        self.head = head
        self._pool = context.pool
        self.in_flight_request = in_flight_request
        self._closed = False

    def close(self, complete: bool) -> None:
        """Ends the exchange; if it is incomplete, the replica's work is aborted as well."""
        if self._closed:
            return
        self._closed = True
        self.in_flight_request.end()
        if complete:
            self._pool.release(self.replica, self.conn)
        else:
            self.conn.close()


async def send_with_retries(
    context: Context,
    ex: Exchange,
    body: bytes,
    resume_after: int | None = None,
    preferred: str = "",
) -> Response:
    """Sends a request until a replica responds, and returns the response with its head read.

    Args:
        context: The components that serve requests.
        ex: The request; attempts are recorded there.
        body: Request body for the replica.
        resume_after: Id of the event after which a stream resumes; None for its start.
        preferred: Id of the replica to try first; empty for none.

    Raises:
        HttpError: No replica responded, and a retry is useless or not allowed.
    """
    while True:
        mean_response_s = context.fleet.table.mean_response_s(ex.service)
        context.stop.check(ex, mean_response_s)
        if ex.may_have_run:
            context.quarantine.check_repeat(ex)
        group = ReplicaGroup(ex.service, ex.version)
        replica = await _replica_to_repeat_at(context, ex, group, preferred)
        if replica:
            context.fleet.limits.charge(replica)
        else:
            replica = await _choose(context, ex, group)
            context.stop.check(ex, mean_response_s)
        preferred = ""
        address = context.fleet.table.address(replica)
        if not address:
            _drop_replica(ex, replica)
            continue
        response = await _attempt(context, ex, replica, address, body, resume_after)
        if response is not None:
            return response


def record_loss(context: Context, ex: Exchange, replica: str, cause: Exception) -> None:
    """Records that a replica that may have run a request gave no complete response."""
    context.quarantine.record_loss(ex, replica, context.fleet.table.address(replica))
    logs.logger("gateway").info(
        "answer_lost",
        request=ex.request.id,
        digest=ex.digest,
        previous_turn=ex.request.previous_turn,
        service=ex.service,
        peer=replica,
        reason=f"{type(cause).__name__}: {cause}",
    )


def _may_send_again(ex: Exchange) -> bool:
    """Returns whether a request may be sent once more after a replica may have run it."""
    return ex.route.may_retry() and ex.send_count < MAX_SENDS


def handle_lost_response(context: Context, ex: Exchange, replica: str, cause: Exception) -> None:
    """Records that the response to a request that the replica may have run was lost.

    Raises:
        HttpError: The request may not be sent again.
    """
    context.fleet.table.record_failure(replica, ex.source)
    record_loss(context, ex, replica, cause)
    if not _may_send_again(ex):
        raise HttpError(STATUS_BAD_GATEWAY, "the replica's response was lost")
    if len(ex.sent_to) < ex.route.max_attempts:
        ex.excluded.add(replica)


def record_outcome(context: Context, ex: Exchange, response: Response) -> None:
    """Records a complete response, which may be an error of the replica."""
    status = response.head.status
    if status < FIRST_ERROR:
        sent_s = response.in_flight_request.started_s
        context.fleet.table.record_success(response.replica, sent_s)
        return
    is_doubtful = status < FIRST_SERVER_ERROR or status == STATUS_TIMEOUT
    severity = DOUBTFUL_ERROR_SHARE if is_doubtful else ERROR_SHARE
    context.fleet.table.record_error(response.replica, ex.source, severity)


def may_try_elsewhere(context: Context, ex: Exchange) -> bool:
    """Returns whether a request that a replica has answered with an error may run at another."""
    if not _may_send_again(ex) or len(ex.sent_to) >= ex.route.max_attempts:
        return False
    return context.fleet.table.has_other(ex.service, ex.sent_to | ex.excluded, ex.version)


async def _handle_refusal(
    context: Context, ex: Exchange, replica: str, conn: UpstreamConnection, is_first: bool
) -> bool:
    """Records that a replica has not run a request, as the head of its response says.

    Returns:
        Whether the connection was given back, as its response is complete.
    """
    ex.send_count -= 1
    ex.excluded.add(replica)
    if is_first:
        ex.sent_to.discard(replica)
    reason = "its body does not end"
    try:
        if await conn.discard_body():
            context.pool.release(replica, conn)
            return True
    except (OSError, ResponseError) as exc:
        reason = f"{type(exc).__name__}: {exc}"
    logs.logger("gateway").info(
        "refusal_incomplete", request=ex.request.id, peer=replica, reason=reason
    )
    return False


def _drop_replica(ex: Exchange, replica: str) -> None:
    """Excludes a replica that is gone and frees its attempt for another one."""
    ex.excluded.add(replica)
    ex.sent_to.discard(replica)


async def _replica_to_repeat_at(
    context: Context, ex: Exchange, group: ReplicaGroup, preferred: str
) -> str:
    """Returns the replica that gets a request again; empty if one is to be chosen.

    Raises:
        HttpError: The request may neither be repeated nor sent to a further replica.
    """
    attempt = _next_attempt(context, ex, group, preferred)
    if not attempt.replica and not attempt.may_choose:
        await _drop_ended_replicas(context, ex)
        attempt = _next_attempt(context, ex, group, preferred)
    if not attempt.replica and not attempt.may_choose:
        logs.logger("gateway").info(
            "attempts_spent",
            request=ex.request.id,
            service=ex.service,
            amount=len(ex.sent_to),
            reason="no replica that had the request may get it again",
        )
        raise HttpError(STATUS_BAD_GATEWAY, "no replica that had the request may get it again")
    return attempt.replica


def _next_attempt(
    context: Context, ex: Exchange, group: ReplicaGroup, preferred: str
) -> NextAttempt:
    tried = Tried(ex.sent_to, ex.excluded, ex.route.max_attempts)
    repeatable = {r for r in ex.sent_to if context.fleet.table.may_repeat(group, r)}
    return next_attempt(tried, preferred, repeatable)


async def _drop_ended_replicas(context: Context, ex: Exchange) -> None:
    """Frees the attempts of replicas that have ended, as these work on nothing any more."""
    replicas = list(ex.sent_to)
    addresses = [context.fleet.table.address(replica) for replica in replicas]
    accepts = await asyncio.gather(*(accepts_connections(address) for address in addresses))
    for replica, is_running in zip(replicas, accepts, strict=True):
        if not is_running:
            _drop_replica(ex, replica)


async def _choose(context: Context, ex: Exchange, group: ReplicaGroup) -> str:
    started_s = time.monotonic()
    spread_key = context.quarantine.spread_key(ex)
    reserve_s = context.stop.expected_s(ex, context.fleet.table.mean_response_s(ex.service))
    try:
        async with context.stop.limited(reserve_s=reserve_s):
            choice = await context.fleet.acquire(
                group,
                ex.request,
                ex.queued_request(),
                ex.excluded,
                spread_key,
                Trial.NEVER if spread_key else _trial(ex),
            )
    except TimeoutError as exc:
        raise stopping_error(ex) from exc
    except RefusedError as refused:
        if ex.may_have_run:
            raise HttpError(STATUS_BAD_GATEWAY, refused.reason) from refused
        raise refusal_error(refused) from refused
    finally:
        ex.queued_s += time.monotonic() - started_s
    ex.replica, ex.cost_ms = choice.replica, choice.cost_ms
    ex.preferred_replica = choice.preferred
    ex.failure_share = context.fleet.table.failure_share(choice.replica)
    return choice.replica


def _trial(ex: Exchange) -> Trial:
    """Returns whether a request may be used as a trial of a failing replica."""
    if ex.may_have_run or ex.excluded:
        return Trial.NEVER
    return Trial.DUE if ex.route.may_retry() and ex.route.max_attempts > 1 else Trial.LATE


def _response_timeout_s(context: Context, ex: Exchange) -> float | None:
    """Returns the time limit for a response head in seconds; None if only the deadline applies."""
    if ex.route.type is not RouteType.IDEMPOTENT or len(ex.sent_to) >= ex.route.max_attempts:
        return None
    if not context.fleet.table.has_other(ex.service, ex.sent_to | ex.excluded):
        return None
    timeout_s = max(
        ex.route.target_latency_s,
        LOST_AFTER_FACTOR * context.fleet.table.mean_response_s(ex.service),
    )
    return min(timeout_s, ex.remaining_s() / 2)


def _send(
    context: Context,
    ex: Exchange,
    replica: str,
    conn: UpstreamConnection,
    body: bytes,
    resume_after: int | None,
) -> None:
    headers = context.dialect.write_request(
        ex.request, Dispatch(replica, context.stop.remaining_s(ex), resume_after)
    )
    ex.send_count += 1
    ex.sent_to.add(replica)
    context.quotas.charge(ex)
    conn.send(ex.request.method, ex.request.target, headers, body)
    if ex.on_sent is not None:
        ex.on_sent(replica, context.fleet.table.version(replica))


async def _attempt(
    context: Context,
    ex: Exchange,
    replica: str,
    address: str,
    body: bytes,
    resume_after: int | None,
) -> Response | None:
    """Sends the request to one replica; returns None if another attempt should follow."""
    in_flight_request = context.fleet.track_request(
        ex.service, replica, ex.request, ex.preferred_replica
    )
    conn: UpstreamConnection | None = None
    handed_over = False
    try:
        conn = await context.pool.acquire(replica, address, not ex.route.may_retry(), ex.request.id)
        is_first = replica not in ex.sent_to
        _send(context, ex, replica, conn, body, resume_after)
        in_flight_request.start_wait(ex.route.type is RouteType.STREAMING)
        async with asyncio.timeout(_response_timeout_s(context, ex)):
            head = await conn.read_head(context.dialect.read_response, ex.request.id)
        context.fleet.limits.observe(replica, head.limit_per_s)
        if head.is_leaving:
            context.fleet.table.record_leaving(replica)
        if head.encoded:
            raise ResponseError("the body has an encoding that was not requested")
        if head.not_run:
            handed_over = await _handle_refusal(context, ex, replica, conn, is_first)
            return None
        handed_over = True
        return Response(context, replica, conn, head, in_flight_request)
    except (OSError, ResponseError) as exc:
        if conn is None:
            context.fleet.table.record_failure(replica, ex.source)
            _drop_replica(ex, replica)
            return None
        handle_lost_response(context, ex, replica, exc)
        return None
    except asyncio.CancelledError:
        # The request's time is up, or its caller has left.
        context.fleet.table.record_silence(ex.service, replica, ex.source)
        raise
    finally:
        if not handed_over and conn is not None:
            conn.close()
        if not handed_over or replica in ex.excluded:
            in_flight_request.end()
