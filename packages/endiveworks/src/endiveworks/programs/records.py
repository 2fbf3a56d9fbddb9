"""Records of a partition's log and their encoding."""

import enum
from typing import NamedTuple

import msgspec
from returns.result import Failure as Err
from returns.result import Result, Success

from ..decoding import DECODE_ERRORS
from ..errors import Code, Failure

# Operation of a call that a model engine runs.
CHAT = "chat"


class Outcome(enum.StrEnum):
    """How a call ended."""

    DONE = "done"
    FAILED = "failed"
    UNKNOWN = "unknown"


class ProgramOpened(NamedTuple):
    """A program was opened; a sub-agent's program names its parent and is charged to its budget.

    Fields named at_s are in seconds since the Unix epoch.
    """

    program: str
    tenant: str
    class_name: str
    parent: str
    budget_tokens: int
    request_key: str
    at_s: float


class CallStarted(NamedTuple):
    """A call was accepted and its tokens were reserved.

    Attributes:
        program: Program of the call.
        call: Number of the call within the program, from 1.
        service: Service that runs it.
        operation: Operation of a plain service; "chat" for a model engine.
        request_key: Idempotency key of the caller; empty when none was given.
        digest: Hash of the request, to distinguish a repeat from a different request.
        reserved_tokens: Tokens taken from the budget until the call ends.
        at_most_once: Whether the call must not be repeated.
        body: Request body as the caller sent it.
    """

    program: str
    call: int
    service: str
    operation: str
    request_key: str
    digest: str
    reserved_tokens: int
    at_most_once: bool
    body: bytes


class CallClaimed(NamedTuple):
    """An attempt at a call will be dispatched to one incarnation of an upstream process.

    Attributes:
        program: Program of the call.
        call: Number of the call.
        attempt: Number of the attempt within the program, from 1; never reused.
        upstream: Host of the upstream process.
        incarnation: Incarnation of the upstream process.
        reserved_tokens: Tokens reserved beyond those of the earlier attempts.
        continues: Whether the attempt continues the partial response of an earlier one.
    """

    program: str
    call: int
    attempt: int
    upstream: str
    incarnation: int
    reserved_tokens: int
    continues: bool


class CallReleased(NamedTuple):
    """A call without a final response was removed; its number may be used again."""

    program: str
    call: int
    spent_tokens: int


class CallEnded(NamedTuple):
    """A call has its final response.

    Attributes:
        program: Program of the call.
        call: Number of the call.
        outcome: How it ended.
        status: HTTP status of the response.
        content_type: Media type of the response.
        response: Response body; for a chat the whole completion as JSON.
        spent_tokens: Tokens to charge to the budget, over all attempts.
        prompt_tokens: Tokens of the prompt, from the engine.
        completion_tokens: Tokens generated, from the engine.
        cached_tokens: Prompt tokens that the engine found in its cache.
        upstream: Host of the upstream process that ran it.
        at_s: When it ended.
    """

    program: str
    call: int
    outcome: Outcome
    status: int
    content_type: str
    response: bytes
    spent_tokens: int
    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int
    upstream: str
    at_s: float


class ProgramClosed(NamedTuple):
    """A program was closed and accepts no more calls."""

    program: str
    reason: str
    at_s: float


class Call(NamedTuple):
    """One call of a program; ended is None while it runs."""

    started: CallStarted
    claims: tuple[CallClaimed, ...] = ()
    ended: CallEnded | None = None

    @property
    def reserved_tokens(self) -> int:
        """Tokens reserved by all attempts."""
        return self.started.reserved_tokens + sum(claim.reserved_tokens for claim in self.claims)


class ProgramSnapshot(NamedTuple):
    """Snapshot of a program, which replaces the records that led to its state.

    Attributes:
        opened: The record that opened it.
        calls: Its calls in order; the request bodies of ended calls are left out.
        closed: The record that closed it; None while it is open.
        messages: Its history, each message as JSON, oldest first.
        budget_tokens: Tokens that may still be reserved.
        attained_tokens: Tokens that its calls have used.
        history_tokens: Tokens of the history.
        attempts: Number of attempts dispatched.
        last_upstream: Host that ran the last chat; empty before the first chat.
    """

    opened: ProgramOpened
    calls: tuple[Call, ...]
    closed: ProgramClosed | None
    messages: tuple[bytes, ...]
    budget_tokens: int
    attained_tokens: int
    history_tokens: int
    attempts: int
    last_upstream: str


Record = (
    ProgramOpened
    | CallStarted
    | CallClaimed
    | CallReleased
    | CallEnded
    | ProgramClosed
    | ProgramSnapshot
)

# The position of a type is part of the format on disk: append, never reorder.
_TYPES: tuple[type, ...] = (
    ProgramOpened,
    CallStarted,
    CallClaimed,
    CallReleased,
    CallEnded,
    ProgramClosed,
    ProgramSnapshot,
)
_TAGS = {record_type: tag for tag, record_type in enumerate(_TYPES)}
_ENCODER = msgspec.msgpack.Encoder()
_ENVELOPE = msgspec.msgpack.Decoder(tuple[int, msgspec.Raw])
_DECODERS: tuple[msgspec.msgpack.Decoder[Record], ...] = tuple(
    msgspec.msgpack.Decoder(record_type) for record_type in _TYPES
)


def encode(record: Record) -> bytes:
    """Returns the stored form of a record."""
    return _ENCODER.encode((_TAGS[type(record)], record))


def decode(data: bytes) -> Result[Record, Failure]:
    """Returns the record that the bytes hold, or CORRUPT."""
    try:
        tag, body = _ENVELOPE.decode(data)
        return Success(_DECODERS[tag].decode(body))
    except DECODE_ERRORS as exc:
        return Err(Failure(Code.CORRUPT, "programs.decode", "", str(exc)))
