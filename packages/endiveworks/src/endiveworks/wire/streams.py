"""Conversion between chunks of a response and their Thrift messages."""

from collections.abc import Sequence

from returns.result import Failure as Err
from returns.result import Result, Success

from ..calls.messages import CallKey
from ..calls.pull import News, Pulled, Want
from ..calls.stream import Ending, Piece
from ..errors import Failure
from .faults import from_fault, to_fault
from .gen import ttypes


def to_chunk(piece: Piece) -> ttypes.Chunk:
    """Converts a chunk to its message."""
    ending = None if piece.ending is None else _to_ending(piece.ending)
    return ttypes.Chunk(piece.offset, piece.data, ending, generation=piece.generation)


def from_chunk(chunk: ttypes.Chunk) -> Piece:
    """Converts a message to a chunk."""
    ending = None if chunk.ending is None else _from_ending(chunk.ending)
    return Piece(chunk.offset, chunk.data or b"", ending, chunk.generation or 0)


def chunk_of(news: Result[Piece, Failure]) -> ttypes.Chunk:
    """Converts the result of a read, a chunk or a failure, to its message."""
    if isinstance(news, Success):
        return to_chunk(news.unwrap())
    return ttypes.Chunk(0, b"", fault=to_fault(news.failure()))


def read_reply(chunk: ttypes.Chunk) -> Result[Piece, Failure]:
    """Converts a message to a chunk, or to the failure that it carries."""
    if chunk.fault is not None:
        return Err(from_fault(chunk.fault))
    return Success(from_chunk(chunk))


def to_wants(wants: Sequence[Want]) -> ttypes.Wants:
    """Converts read requests to a poll message, one list for each field."""
    return ttypes.Wants(
        programs=[want.key.program for want in wants],
        calls=[want.key.call for want in wants],
        attempts=[want.key.attempt for want in wants],
        offsets=[want.offset for want in wants],
    )


def keys_of(wants: ttypes.Wants) -> list[CallKey]:
    """Returns the attempts whose responses a poll message requests."""
    columns = zip(wants.programs, wants.calls, wants.attempts, strict=True)
    return list(map(CallKey._make, columns))


def to_news(news: News) -> ttypes.News:
    """Converts a poll response to its message."""
    others = [ttypes.Pulled(position, chunk_of(outcome)) for position, outcome in news.others]
    return ttypes.News(news.positions, news.generations, news.data, others)


def from_news(message: ttypes.News) -> News:
    """Converts a message to a poll response."""
    others = [Pulled(item.position, read_reply(item.chunk)) for item in message.others]
    return News(message.positions, message.generations, message.data, others)


def _to_ending(ending: Ending) -> ttypes.Ending:
    return ttypes.Ending(
        status=ending.status,
        content_type=ending.content_type,
        prompt_tokens=ending.prompt_tokens,
        completion_tokens=ending.completion_tokens,
        cached_tokens=ending.cached_tokens,
        fault=None if ending.failure is None else to_fault(ending.failure),
    )


def _from_ending(message: ttypes.Ending) -> Ending:
    return Ending(
        status=message.status,
        content_type=message.content_type,
        prompt_tokens=message.prompt_tokens,
        completion_tokens=message.completion_tokens,
        cached_tokens=message.cached_tokens,
        failure=None if message.fault is None else from_fault(message.fault),
    )
