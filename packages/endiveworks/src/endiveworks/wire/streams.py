"""Conversion between chunks of a response and their Thrift messages."""

from collections.abc import Sequence

from returns.result import Failure as Err
from returns.result import Result, Success

from ..calls.messages import CallKey
from ..calls.poll_client import ClosedStream, PollResponse, ReadRequest
from ..calls.stream import Chunk, FinalStatus
from ..errors import Failure
from .faults import from_fault, to_fault
from .gen import ttypes


def to_chunk(piece: Chunk) -> ttypes.Chunk:
    """Converts a chunk to its message."""
    final_status = None if piece.final_status is None else _to_ending(piece.final_status)
    return ttypes.Chunk(piece.offset, piece.data, final_status, generation=piece.generation)


def from_chunk(chunk: ttypes.Chunk) -> Chunk:
    """Converts a message to a chunk."""
    final_status = None if chunk.ending is None else _from_ending(chunk.ending)
    return Chunk(chunk.offset, chunk.data or b"", final_status, chunk.generation or 0)


def to_reply(response: Result[Chunk, Failure]) -> ttypes.Chunk:
    """Converts the result of a read, a chunk or a failure, to its message."""
    if isinstance(response, Success):
        return to_chunk(response.unwrap())
    return ttypes.Chunk(0, b"", fault=to_fault(response.failure()))


def from_reply(chunk: ttypes.Chunk) -> Result[Chunk, Failure]:
    """Converts a message to a chunk, or to the failure that it carries."""
    if chunk.fault is not None:
        return Err(from_fault(chunk.fault))
    return Success(from_chunk(chunk))


def to_poll_request(wants: Sequence[ReadRequest]) -> ttypes.Wants:
    """Converts read requests to a poll message, one list for each field."""
    return ttypes.Wants(
        programs=[want.key.program for want in wants],
        calls=[want.key.call for want in wants],
        attempts=[want.key.attempt for want in wants],
        offsets=[want.offset for want in wants],
    )


def poll_keys(wants: ttypes.Wants) -> list[CallKey]:
    """Returns the attempts whose responses a poll message requests."""
    columns = zip(wants.programs, wants.calls, wants.attempts, strict=True)
    return list(map(CallKey._make, columns))


def to_poll_response(response: PollResponse) -> ttypes.News:
    """Converts a poll response to its message."""
    others = [ttypes.Pulled(position, to_reply(outcome)) for position, outcome in response.closed]
    return ttypes.News(response.positions, response.generations, response.data, others)


def from_poll_response(message: ttypes.News) -> PollResponse:
    """Converts a message to a poll response."""
    others = [ClosedStream(item.position, from_reply(item.chunk)) for item in message.others]
    return PollResponse(message.positions, message.generations, message.data, others)


def _to_ending(final_status: FinalStatus) -> ttypes.Ending:
    return ttypes.Ending(
        status=final_status.status,
        content_type=final_status.content_type,
        prompt_tokens=final_status.prompt_tokens,
        completion_tokens=final_status.completion_tokens,
        cached_tokens=final_status.cached_tokens,
        fault=None if final_status.failure is None else to_fault(final_status.failure),
    )


def _from_ending(message: ttypes.Ending) -> FinalStatus:
    return FinalStatus(
        status=message.status,
        content_type=message.content_type,
        prompt_tokens=message.prompt_tokens,
        completion_tokens=message.completion_tokens,
        cached_tokens=message.cached_tokens,
        failure=None if message.fault is None else from_fault(message.fault),
    )
