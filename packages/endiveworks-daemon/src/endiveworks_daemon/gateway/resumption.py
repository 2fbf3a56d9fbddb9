"""Keeps each stream at the version of the software that began it.

What two versions write doesn't fit together, and replicas don't check it.
"""

import contextlib
import random
import time
from collections.abc import Iterator

from endiveworks.gateway.request_queue import retry_after_s
from endiveworks.gateway.stream_origins import (
    StreamOrigin,
    attempt_name,
    bounded,
    resumable_s,
)
from endiveworks.telemetry import logs

from .admission import MIN_EXPECTED_WAIT_S, STATUS_UNAVAILABLE
from .context import Context
from .exchange import Exchange, HttpError
from .retries import STATUS_BAD_GATEWAY, Response
from .upstreams import ResponseError

# Period of the looks at whether the list of replicas has become recent enough, while disks don't
# confirm where a stream begins.
LIST_CHECK_PERIOD_S = 0.05
# Time after which a first event that the disks don't confirm is given up, if nothing shows that
# they will: its caller can still be served elsewhere.
MAX_ORIGIN_WAIT_S = 1.5
# Mean time after which a caller is asked to return while nobody can be told where streams begin.
RETURN_S = 1.0


async def adopt_origin(context: Context, ex: Exchange) -> bytes:
    """Binds a stream that its caller resumes to the service and version that began it.

    Returns:
        The output of the events that the caller has, if it is stored with the turn.

    Raises:
        HttpError: It isn't known where the stream began, the route no longer leads there, or the
            output is lost.
    """
    if ex.request.resume_after is None:
        return b""
    window_s = resumable_s(ex.route.timeout_s)
    origin = await context.origins.find(
        attempt_name(ex.scoped(ex.request.resumes)), ex.digest, window_s
    )
    if origin is None or not origin.version:
        raise _refusal("it is not known where the resumed stream began")
    if origin.service not in (share.service for share in ex.route.shares):
        raise _refusal("the route does not lead to the service that began the resumed stream")
    if context.fleet.table.version(origin.replica) not in ("", origin.version):
        # The stream may have begun before or after the entry that told it learned of the change.
        raise _refusal("the replica that began the resumed stream has changed its version")
    if not context.origins.may_serve(origin):
        reason = "the version that began the resumed stream has left service"
        raise HttpError(STATUS_UNAVAILABLE, reason)
    ex.service, ex.version = origin.service, origin.version
    if not ex.route.retains_turns:
        return b""
    address = context.origins.address(origin.host)
    output = await context.transcripts.take_from(
        origin.host, address, ex.scoped(ex.request.resumes), ex.request.resume_after
    )
    if output is None:
        raise _refusal("the events before the resumption are lost")
    return output


@contextlib.contextmanager
def origin_told(context: Context, ex: Exchange) -> Iterator[None]:
    """Tells where the stream of a request that may be resumed begins, whenever it is sent.

    It is told before the first event, so that the disks have confirmed it by then as a rule.
    """
    if not ex.route.resumable:
        yield
        return
    ex.on_sent = lambda replica, version: _tell(context, ex, replica, version)
    try:
        yield
    finally:
        ex.on_sent = None
        if not ex.has_events:
            context.origins.tell(attempt_name(ex.scoped(ex.request.id)), ex.digest, None)


def _tell(context: Context, ex: Exchange, replica: str, version: str) -> None:
    origin = bounded(StreamOrigin(ex.service, version, context.origins.host, replica))
    attempt = attempt_name(ex.scoped(ex.request.id))
    context.origins.tell(attempt, ex.digest, origin, ex.has_events)


def refuse_unless_tellable(context: Context, ex: Exchange) -> None:
    """Refuses a request whose stream could not be sent, as nobody can be told where it begins.

    Raises:
        HttpError: No event of the stream could be sent.
    """
    if not ex.route.resumable or ex.request.resume_after is not None:
        return
    if not context.origins.may_begin(ex.service, resumable_s(ex.route.timeout_s)):
        reason = "too few disks confirm where streams begin"
        raise HttpError(STATUS_UNAVAILABLE, reason, retry_after_s(RETURN_S, random.random()))


async def wait_until_told(context: Context, ex: Exchange, response: Response) -> None:
    """Waits before the first event until the disks know where it comes from.

    Without that, an older stream of the same request at another version could be taken for this
    one. There is none if the service has had only one version up to the request's arrival, which a
    process that is out of step can't tell.

    Raises:
        HttpError: The disks don't confirm it, and the list of replicas isn't known to be complete.
    """
    if not ex.route.resumable:
        return
    _tell(context, ex, response.replica, response.in_flight_request.version)
    attempt, window_s = attempt_name(ex.scoped(ex.request.id)), resumable_s(ex.route.timeout_s)
    started_s = time.monotonic()
    with ex.waits_for_disks("origin"):
        while not context.origins.is_only_version(
            ex.service, window_s, time.monotonic() - ex.arrived_s
        ):
            if await context.origins.wait_until_held(attempt, LIST_CHECK_PERIOD_S):
                return
            waited_s = time.monotonic() - started_s
            may_follow = context.origins.may_begin(ex.service, window_s)
            if waited_s >= MAX_ORIGIN_WAIT_S and not may_follow:
                raise HttpError(
                    STATUS_BAD_GATEWAY, "the disks don't confirm where the stream begins"
                )


def record_event_sent(context: Context, ex: Exchange, response: Response) -> None:
    """Binds a stream to the version of the replica whose event is its first one."""
    ex.has_events = True
    version = response.in_flight_request.version
    if ex.version is None:
        ex.version = version
    if ex.route.resumable:
        _tell(context, ex, response.replica, version)


def check_version(ex: Exchange, response: Response) -> None:
    """Raises ResponseError if it turned out that another version may have sent the events."""
    if ex.version not in (None, response.in_flight_request.version):
        raise ResponseError("the replica has started again with another version")


def log_resumption(ex: Exchange, response: Response, after_event: int) -> None:
    """Logs that a stream goes on."""
    is_first = ex.send_count == 1
    logs.logger("gateway").info(
        "stream_resumed",
        request=ex.request.id,
        began_as=ex.request.resumes or ex.request.id,
        reason="resumed by the caller" if is_first else "response broken off",
        after_event=after_event,
        service=ex.service,
        peer=response.replica,
        replica_version=response.in_flight_request.version,
        began_version=ex.version,
    )


def _refusal(reason: str) -> HttpError:
    wait_s = retry_after_s(MIN_EXPECTED_WAIT_S, random.random())
    return HttpError(STATUS_UNAVAILABLE, reason, wait_s)
