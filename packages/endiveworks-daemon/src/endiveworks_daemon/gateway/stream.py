"""Requests that are answered by events: histories, budgets, and streams that go on elsewhere."""

import asyncio
from collections.abc import Awaitable

from endiveworks.errors import Failure
from endiveworks.gateway.events import Event, EventSplitter
from endiveworks.turns.records import Reservation, Settlement, Turn
from returns.result import Result, Success

from .callers import Responder
from .exchange import Context, Exchange, UnservedError
from .obtain import STATUS_BAD_GATEWAY, STATUS_UNAVAILABLE, Answer, failed, obtain
from .plain import read_whole, without_framing
from .upstreams import AnswerError

STATUS_BUDGET_SPENT = 402
STATUS_NO_TURN = 404
STATUS_OK = 200
# Time after which disks that don't answer have been replaced, or the balancer leads elsewhere.
DISKS_AWAY_S = 1.0
MAX_RESUMES = 3  # A stream that breaks more often has a cause that goes with it.

Reserving = Awaitable[Result[bool, Failure]]


class _Stream:
    """State of one stream."""

    def __init__(self, ex: Exchange) -> None:
        engine = ex.table.services[ex.service].engine if ex.service in ex.table.services else None
        self.tokens_per_event = engine.tokens_per_event if engine else 1
        self.handed = 0
        self.last_id = ex.request.resume_after
        self.output = bytearray()
        self.resumes = 0

    def note(self, event: Event) -> None:
        """Notes that an event goes to the caller."""
        self.handed += 1
        self.output += event.data + b"\n"
        if event.id is not None:
            self.last_id = event.id

    def tokens(self) -> int:
        """Returns the tokens handed to the caller."""
        return self.handed * self.tokens_per_event


async def serve_stream(context: Context, ex: Exchange, responder: Responder) -> int:
    """Answers a request with a replica's events and returns the status.

    Raises:
        UnservedError: No event has been sent, and there will be none.
        AnswerError: The stream was broken off midway.
    """
    reservation = _reservation(ex)
    if (reservation or ex.route.keeps_turns) and not context.turns.is_reachable():
        raise UnservedError(STATUS_UNAVAILABLE, "too few disks can be reached", DISKS_AWAY_S)
    stream = _Stream(ex)
    if reservation is None:
        body = await _prompt(context, ex)
        return await _run(context, ex, responder, body, stream, None)
    ahead = _may_go_ahead(context, ex, reservation)
    reserving = asyncio.ensure_future(_reserve(context, ex, reservation))
    committed = False
    try:
        body = await _prompt(context, ex)
        if not ahead:
            await _check(reserving, ex)
        status = await _run(context, ex, responder, body, stream, reserving)
        committed = ex.route.keeps_turns and status == STATUS_OK
        return status
    finally:
        if not committed:
            context.turns.settle(_settlement(reservation, stream.tokens()))
        if not reserving.done():
            reserving.cancel()


async def _prompt(context: Context, ex: Exchange) -> bytes:
    """Returns the body for the replica: the chain before the turn, and its new input."""
    if not ex.route.keeps_turns or not ex.request.previous_turn:
        return ex.body
    found = await context.turns.chain(ex.request.previous_turn, ex.left_s())
    if not isinstance(found, Success):
        raise UnservedError(STATUS_UNAVAILABLE, str(found.failure()), DISKS_AWAY_S)
    chain = found.unwrap()
    if chain is None:
        raise UnservedError(STATUS_NO_TURN, "no such turn")
    return b"".join([*(turn.prompt + turn.output for turn in chain), ex.body])


def _reservation(ex: Exchange) -> Reservation | None:
    program = ex.request.program
    if program is None or program.budget_tokens is None:
        return None
    tokens = ex.request.max_tokens
    return Reservation(program.program, ex.request.id, tokens, ex.route.keep_s)


def _settlement(reservation: Reservation, tokens: int) -> Settlement:
    return Settlement(reservation.program, reservation.turn, tokens, reservation.keep_s)


def _budget(ex: Exchange) -> int:
    program = ex.request.program
    return (program.budget_tokens or 0) if program else 0


async def _reserve(
    context: Context, ex: Exchange, reservation: Reservation
) -> Result[bool, Failure]:
    return await context.turns.reserve(reservation, _budget(ex), ex.left_s())


def _may_go_ahead(context: Context, ex: Exchange, reservation: Reservation) -> bool:
    """Tells whether the turn may be sent before its reservation is on disk.

    A turn that was sent can't be refused for its budget any more, so this is only for programs
    whose last ledger leaves ample room; no event leaves before the reservation is on disk.
    """
    is_new = not ex.request.previous_turn
    return context.turns.has_room(reservation.program, reservation.tokens, _budget(ex), is_new)


async def _check(reserving: Reserving, ex: Exchange) -> None:
    """Waits for the reservation.

    Raises:
        UnservedError: The budget is spent, or the disks don't answer.
    """
    reserved = await reserving
    if not isinstance(reserved, Success):
        status = STATUS_BAD_GATEWAY if ex.may_have_run else STATUS_UNAVAILABLE
        raise UnservedError(status, str(reserved.failure()), DISKS_AWAY_S)
    if not reserved.unwrap():
        status = STATUS_BAD_GATEWAY if ex.may_have_run else STATUS_BUDGET_SPENT
        raise UnservedError(status, "the program's budget is spent")


async def _run(
    context: Context,
    ex: Exchange,
    responder: Responder,
    body: bytes,
    stream: _Stream,
    reserving: Reserving | None,
) -> int:
    prefer = ""
    while True:
        answer = await obtain(context, ex, body, stream.last_id, prefer)
        if answer.head.status != STATUS_OK:
            return await _pass_failure(context, ex, responder, answer)
        try:
            await _pass_events(ex, responder, answer, stream, reserving)
            answer.close(whole=True)
        except (OSError, AnswerError) as exc:
            answer.close(whole=False)
            prefer = _resume(context, ex, answer, stream, exc)
            continue
        finally:
            answer.close(whole=False)
        await _end(context, ex, responder, stream)
        return STATUS_OK


async def _pass_failure(
    context: Context, ex: Exchange, responder: Responder, answer: Answer
) -> int:
    body = await read_whole(context, ex, answer)
    if body is None or responder.started:
        raise AnswerError("the stream could not go on")
    await responder.answer(answer.head.status, answer.head.headers, body)
    return answer.head.status


async def _pass_events(
    ex: Exchange,
    responder: Responder,
    answer: Answer,
    stream: _Stream,
    reserving: Reserving | None,
) -> None:
    if not answer.head.signed:
        raise AnswerError("a success without the replica's signature")
    splitter = EventSplitter()
    while (data := await answer.conn.data()) is not None:
        events = splitter.feed(data)
        answer.work.note_events(len(events))
        for event in events:
            if stream.last_id is not None and event.id is not None and event.id <= stream.last_id:
                raise AnswerError(f"event {event.id} came after event {stream.last_id}")
            if not responder.started:
                if reserving is not None:
                    await _check(reserving, ex)
                await responder.start(STATUS_OK, without_framing(answer.head.headers))
            stream.note(event)
            await responder.send(event.raw)
        answer.work.wait_for_event()
    if splitter.rest():
        raise AnswerError("the stream ended within an event")


def _resume(
    context: Context, ex: Exchange, answer: Answer, stream: _Stream, cause: Exception
) -> str:
    """Returns the replica at which a broken stream should go on first.

    Raises:
        UnservedError: No event was sent, and the request may not run again.
        AnswerError: The stream can't go on.
    """
    if not ex.route.resumable or stream.resumes >= MAX_RESUMES:
        if stream.handed:
            raise AnswerError(str(cause)) from cause
        failed(context, ex, answer.replica, cause)
    stream.resumes += 1
    return answer.replica


async def _end(context: Context, ex: Exchange, responder: Responder, stream: _Stream) -> None:
    """Ends the answer, after the turn is durable where it is to be kept."""
    if ex.route.keeps_turns:
        reservation = _reservation(ex)
        settlement = _settlement(reservation, stream.tokens()) if reservation else None
        turn = Turn(
            ex.request.id,
            ex.request.previous_turn,
            ex.body,
            bytes(stream.output),
            ex.route.keep_s,
        )
        kept = await context.turns.commit(turn, settlement, max(0.0, ex.left_s()))
        if not isinstance(kept, Success):
            raise AnswerError(str(kept.failure()))
    if not responder.started:
        raise AnswerError("the stream had no events")
    await responder.end()
