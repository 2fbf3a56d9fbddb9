"""Conversion between chunks of a response and their message form."""

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
    """Returns the message form of a chunk."""
    final_status = None if piece.final_status is None else _to_message(piece.final_status)
    return ttypes.Chunk(piece.offset, piece.data, final_status, generation=piece.generation)


def from_chunk(chunk: ttypes.Chunk) -> Chunk:
    """Returns the chunk that a message carries."""
    final_status = None if chunk.ending is None else _from_message(chunk.ending)
    return Chunk(chunk.offset, chunk.data or b"", final_status, chunk.generation or 0)


def chunk_of(response: Result[Chunk, Failure]) -> ttypes.Chunk:
    """Returns the message form of a chunk, or of why there is none."""
    if isinstance(response, Success):
        return to_chunk(response.unwrap())
    return ttypes.Chunk(0, b"", fault=to_fault(response.failure()))


def read_reply(chunk: ttypes.Chunk) -> Result[Chunk, Failure]:
    """Returns the chunk that a chunk carries, or its fault."""
    if chunk.fault is not None:
        return Err(from_fault(chunk.fault))
    return Success(from_chunk(chunk))


def to_wants(wants: Sequence[ReadRequest]) -> ttypes.Wants:
    """Returns the message form of wants."""
    return ttypes.Wants(
        programs=[want.key.program for want in wants],
        calls=[want.key.call for want in wants],
        attempts=[want.key.attempt for want in wants],
        offsets=[want.offset for want in wants],
    )


def keys_of(wants: ttypes.Wants) -> list[CallKey]:
    """Returns the attempts whose answers a message wants."""
    columns = zip(wants.programs, wants.calls, wants.attempts, strict=True)
    return list(map(CallKey._make, columns))


def to_poll_response(response: PollResponse) -> ttypes.News:
    """Returns the message form of news."""
    others = [ttypes.Pulled(position, chunk_of(outcome)) for position, outcome in response.closed]
    return ttypes.News(response.positions, response.generations, response.data, others)


def from_poll_response(message: ttypes.News) -> PollResponse:
    """Returns the news that a message carries."""
    others = [ClosedStream(item.position, read_reply(item.chunk)) for item in message.others]
    return PollResponse(message.positions, message.generations, message.data, others)


def _to_message(final_status: FinalStatus) -> ttypes.Ending:
    return ttypes.Ending(
        status=final_status.status,
        content_type=final_status.content_type,
        prompt_tokens=final_status.prompt_tokens,
        completion_tokens=final_status.completion_tokens,
        cached_tokens=final_status.cached_tokens,
        fault=None if final_status.failure is None else to_fault(final_status.failure),
    )


def _from_message(message: ttypes.Ending) -> FinalStatus:
    return FinalStatus(
        status=message.status,
        content_type=message.content_type,
        prompt_tokens=message.prompt_tokens,
        completion_tokens=message.completion_tokens,
        cached_tokens=message.cached_tokens,
        failure=None if message.fault is None else from_fault(message.fault),
    )
