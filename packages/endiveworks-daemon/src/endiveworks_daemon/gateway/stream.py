"""Serves requests with event streams: conversation history, token budgets and stream resumption."""

import asyncio

from endiveworks.errors import Failure
from endiveworks.gateway.events import Event, EventSplitter
from endiveworks.gateway.memory_budget import Claim
from endiveworks.turns.records import MAX_TURN_BYTES, Reservation, Settlement, Turn
from endiveworks.turns.room import RoomRequest
from returns.result import Result, Success

from .admission import STATUS_UNAVAILABLE, refuse_on_arrival
from .buffered import read_body, without_content_length
from .callers import READ_BYTES, Responder
from .context import Context
from .exchange import Exchange, HttpError
from .held_memory import Item
from .prompt import build_prompt
from .resumption import (
    adopt_origin,
    check_version,
    log_resumption,
    origin_told,
    record_event_sent,
    refuse_unless_tellable,
    wait_until_told,
)
from .retries import (
    FIRST_SERVER_ERROR,
    STATUS_BAD_GATEWAY,
    Response,
    handle_lost_response,
    may_try_elsewhere,
    record_loss,
    record_outcome,
    send_with_retries,
)
from .transcripts import Transcript
from .turn_room import (
    DISKS_UNAVAILABLE_RETRY_S,
    ReservationFuture,
    disk_error,
    hold_room,
    is_refused,
    room_request,
)
from .upstreams import ResponseError

STATUS_BUDGET_SPENT = 402
STATUS_OK = 200
STATUS_TOO_LARGE = 413
MAX_RESUMES = 3  # If a stream fails more often, the request itself is the likely cause.


class _NoMemoryError(ResponseError):
    """Raised if a stream can't go on for want of memory of this process."""


class _Stream:
    """Progress of one stream, over all replicas that serve it.

    Attributes:
        tokens_per_event: Number of tokens in one event.
        events_sent: Number of events sent to the caller.
        last_event_id: Id of the last event that the caller has; None before the first.
        transcript: Events that the caller has, also from earlier attempts.
        resumes: Number of times that the stream was resumed.
    """

    def __init__(self, ex: Exchange, transcript: Transcript) -> None:
        engine = ex.table.services[ex.service].engine if ex.service in ex.table.services else None
        self.tokens_per_event = engine.tokens_per_event if engine else 1
        self.events_sent = 0
        self.last_event_id = ex.request.resume_after
        self.transcript = transcript
        self.resumes = 0

    def record_event(self, event: Event) -> None:
        """Records an event that is about to be sent to the caller."""
        self.events_sent += 1
        self.transcript.add(event.id, event.data)
        if event.id is not None:
            self.last_event_id = event.id

    def check_not_taken(self) -> None:
        """Raises ResponseError if the caller has resumed the stream in another request."""
        if self.transcript.taken:
            raise ResponseError("the caller resumed the stream in another request")

    def tokens(self) -> int:
        """Returns the number of tokens sent to the caller."""
        return self.events_sent * self.tokens_per_event


async def serve_stream(context: Context, ex: Exchange, responder: Responder) -> int:
    """Streams a replica's events to the caller and returns the status.

    Raises:
        HttpError: The request failed before an event was sent.
        ResponseError: The stream could not be completed, or its turn could not be stored.
    """
    refuse_on_arrival(context, ex)
    refuse_unless_tellable(context, ex)
    reservation = _reservation(ex)
    if (reservation or ex.route.retains_turns) and not context.turns.is_reachable():
        raise HttpError(
            STATUS_UNAVAILABLE, "too few disks are reachable", DISKS_UNAVAILABLE_RETRY_S
        )
    output = await adopt_origin(context, ex)
    with origin_told(context, ex), context.transcripts.kept(ex, output) as transcript:
        return await _serve_turn(context, ex, responder, _Stream(ex, transcript), reservation)


async def _serve_turn(
    context: Context,
    ex: Exchange,
    responder: Responder,
    stream: _Stream,
    reservation: Reservation | None,
) -> int:
    may_refuse = context.fleet.programs.would_refuse(ex)
    room = room_request(ex)
    if room.size > MAX_TURN_BYTES:
        raise HttpError(STATUS_TOO_LARGE, "the turn is too long to be kept")
    if reservation is None:
        if may_refuse:
            context.fleet.programs.refuse(ex, is_under_way=False)
        try:
            await hold_room(context, ex, room)
            body = await build_prompt(context, ex, responder)
            return await _serve_events(context, ex, responder, body, stream, None)
        finally:
            context.turns.forget_room(room.turn)
    sends_early = not may_refuse and _may_send_early(context, ex, reservation)
    sends_early = sends_early and context.turns.has_ample_room(room.size)
    reservation_fut = asyncio.ensure_future(_reserve(context, ex, reservation, room))
    committed = False
    try:
        if may_refuse:
            await _await_reservation(reservation_fut, ex)
            others = context.turns.has_other_turns(reservation.program, reservation.turn)
            context.fleet.programs.refuse(ex, others)
        body = await build_prompt(context, ex, responder)
        if not sends_early:
            await _await_reservation(reservation_fut, ex)
        status = await _serve_events(context, ex, responder, body, stream, reservation_fut)
        committed = ex.route.retains_turns and status == STATUS_OK
        return status
    finally:
        if not committed and not is_refused(reservation_fut):
            context.turns.settle(_settlement(reservation, stream.tokens()))
        context.turns.forget_room(room.turn)
        if not reservation_fut.done():
            reservation_fut.cancel()


def _reservation(ex: Exchange) -> Reservation | None:
    program = ex.request.program
    if program is None or program.budget_tokens is None:
        return None
    return Reservation(
        ex.scoped(program.program),
        ex.scoped(ex.request.id),
        ex.request.max_tokens,
        ex.route.retention_s,
    )


def _settlement(reservation: Reservation, tokens: int) -> Settlement:
    return Settlement(reservation.program, reservation.turn, tokens, reservation.retention_s)


def _budget_tokens(ex: Exchange) -> int:
    program = ex.request.program
    return (program.budget_tokens or 0) if program else 0


async def _reserve(
    context: Context, ex: Exchange, reservation: Reservation, room: RoomRequest
) -> Result[bool, Failure]:
    return await context.turns.reserve(reservation, _budget_tokens(ex), ex.remaining_s(), room)


def _may_send_early(context: Context, ex: Exchange, reservation: Reservation) -> bool:
    """Returns whether the turn may be sent to a replica before its reservation is on disk.

    A turn can't be refused for its budget once it was sent, so this is limited to programs whose
    last known ledger has ample tokens left. No event goes to the caller before the reservation is
    on disk.
    """
    is_new = not ex.request.previous_turn
    return context.turns.has_headroom(
        reservation.program, reservation.tokens, _budget_tokens(ex), is_new
    )


async def _await_reservation(reservation_fut: ReservationFuture, ex: Exchange) -> None:
    """Waits until the reservation is on disk.

    Raises:
        HttpError: The budget is exhausted, or too few disks respond.
    """
    with ex.waits_for_disks("reservation"):
        reserved = await reservation_fut
    if not isinstance(reserved, Success):
        raise disk_error(ex, reserved.failure())
    if not reserved.unwrap():
        status = STATUS_BAD_GATEWAY if ex.may_have_run else STATUS_BUDGET_SPENT
        raise HttpError(status, "the token budget of the program is exhausted")


async def _serve_events(
    context: Context,
    ex: Exchange,
    responder: Responder,
    body: bytes,
    stream: _Stream,
    reservation_fut: ReservationFuture | None,
) -> int:
    preferred = ""
    while True:
        stream.check_not_taken()
        response = await send_with_retries(context, ex, body, stream.last_event_id, preferred)
        if response.head.status != STATUS_OK:
            status = await _forward_error(context, ex, responder, response)
            if status is None:
                continue
            return status
        if stream.last_event_id is not None:
            log_resumption(ex, response, stream.last_event_id)
        stream.transcript.on_taken = response.conn.close
        try:
            await _forward_events(context, ex, responder, response, stream, reservation_fut)
            if not stream.events_sent and stream.last_event_id is None:
                raise ResponseError("the stream contained no events")
            stream.check_not_taken()
            response.close(complete=True)
            context.quarantine.record_response(ex)
            record_outcome(context, ex, response)
        except (OSError, ResponseError) as exc:
            response.close(complete=False)
            preferred = _start_resume(context, ex, response, stream, exc)
            await context.quarantine.wait_before_resuming(ex)
            continue
        except asyncio.CancelledError:
            context.fleet.table.record_silence(ex.service, response.replica, ex.source)
            raise
        finally:
            stream.transcript.on_taken = None  # The connection may serve other requests.
            response.close(complete=False)
        await _finish(context, ex, responder, response, stream)
        return STATUS_OK


async def _forward_error(
    context: Context, ex: Exchange, responder: Responder, response: Response
) -> int | None:
    """Sends a replica's error to the caller; returns its status, or None to try another replica.

    Raises:
        HttpError: The error is incomplete, and the request may not be sent again.
        ResponseError: A part of the stream or of the error has been sent.
    """
    is_resumed = responder.started
    will_retry = response.head.status >= FIRST_SERVER_ERROR and may_try_elsewhere(context, ex)
    body = await read_body(context, ex, response, None if is_resumed or will_retry else responder)
    if will_retry and body is not None:
        ex.excluded.add(response.replica)
        return None
    if is_resumed:
        raise ResponseError("the stream could not be resumed")
    if body is None:
        return response.head.status if responder.started else None
    await responder.respond(response.head.status, response.head.headers, body)
    return response.head.status


async def _forward_events(
    context: Context,
    ex: Exchange,
    responder: Responder,
    response: Response,
    stream: _Stream,
    reservation_fut: ReservationFuture | None,
) -> None:
    if not response.head.signed:
        raise ResponseError("a successful response lacks the replica's signature")
    splitter = EventSplitter()
    while (data := await response.conn.read_data()) is not None:
        events = splitter.feed(data)
        pending = splitter.pending_size
        if not responder.account.resize(Item.EVENT, pending if pending > READ_BYTES else 0):
            raise _NoMemoryError("there is too little memory for an event")
        response.in_flight_request.record_events(len(events))
        for event in events:
            stream.check_not_taken()
            _check_event(event, stream.last_event_id)
            if not responder.started:
                if reservation_fut is not None:
                    await _await_reservation(reservation_fut, ex)
                await wait_until_told(context, ex, response)
                await responder.start(STATUS_OK, without_content_length(response.head.headers))
            record_event_sent(context, ex, response)
            if ex.route.retains_turns:
                size = len(stream.transcript.output) + len(event.data)
                if not responder.account.is_fair(size) or len(ex.body) + size > MAX_TURN_BYTES:
                    raise _NoMemoryError("there is too little memory for the output of the turn")
                await responder.account.wait_for_room(Item.RESPONSE, len(event.data), Claim.FLOWING)
            stream.record_event(event)
            await responder.send(event.raw)
        response.in_flight_request.start_event_wait()
    if splitter.pending_size:
        raise ResponseError("the stream ended in the middle of an event")


def _check_event(event: Event, last_event_id: int | None) -> None:
    """Raises ResponseError if an event can't be the next one of a stream."""
    if not event.is_well_formed or event.id is None:
        raise ResponseError("the stream contains bytes that are no event")
    if last_event_id is not None and event.id <= last_event_id:
        raise ResponseError(f"event {event.id} followed event {last_event_id}")


def _start_resume(
    context: Context, ex: Exchange, response: Response, stream: _Stream, cause: Exception
) -> str:
    """Counts a resumption of a failed stream and returns the replica to try first.

    Raises:
        HttpError: No event was sent, and the request may not run again.
        ResponseError: Events were sent, and the stream can't be resumed.
    """
    stream.check_not_taken()
    may_resume = ex.route.resumable and stream.resumes < MAX_RESUMES
    if not may_resume and not stream.events_sent:
        handle_lost_response(context, ex, response.replica, cause)
    else:
        if not isinstance(cause, _NoMemoryError):
            context.fleet.table.record_error(response.replica, ex.source)
        record_loss(context, ex, response.replica, cause)
    if not may_resume and stream.events_sent:
        raise ResponseError(str(cause)) from cause
    check_version(ex, response)
    stream.resumes += 1
    return "" if context.fleet.table.is_failing(response.replica) else response.replica


async def _finish(
    context: Context, ex: Exchange, responder: Responder, response: Response, stream: _Stream
) -> None:
    """Ends the response; on routes that retain turns, only after the turn is durable."""
    if ex.route.retains_turns:
        reservation = _reservation(ex)
        settlement = _settlement(reservation, stream.tokens()) if reservation else None
        turn = Turn(
            ex.scoped(ex.request.id),
            ex.scoped(ex.request.previous_turn),
            ex.body,
            bytes(stream.transcript.output),
            ex.route.retention_s,
        )
        with ex.waits_for_disks("commit"):
            stored = await context.turns.commit(turn, settlement, max(0.0, ex.remaining_s()))
        if not isinstance(stored, Success):
            raise ResponseError(str(stored.failure()))
    if not responder.started:  # The caller resumed the stream after its last event.
        await responder.start(STATUS_OK, without_content_length(response.head.headers))
    await responder.end()
