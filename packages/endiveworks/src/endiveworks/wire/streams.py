"""Conversion between pieces of an answer and their message form."""

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
    """Returns the message form of a piece."""
    ending = None if piece.ending is None else _to_message(piece.ending)
    return ttypes.Chunk(piece.offset, piece.data, ending, generation=piece.generation)


def from_chunk(chunk: ttypes.Chunk) -> Piece:
    """Returns the piece that a message carries."""
    ending = None if chunk.ending is None else _from_message(chunk.ending)
    return Piece(chunk.offset, chunk.data or b"", ending, chunk.generation or 0)


def chunk_of(news: Result[Piece, Failure]) -> ttypes.Chunk:
    """Returns the message form of a piece, or of why there is none."""
    if isinstance(news, Success):
        return to_chunk(news.unwrap())
    return ttypes.Chunk(0, b"", fault=to_fault(news.failure()))


def read_reply(chunk: ttypes.Chunk) -> Result[Piece, Failure]:
    """Returns the piece that a chunk carries, or its fault."""
    if chunk.fault is not None:
        return Err(from_fault(chunk.fault))
    return Success(from_chunk(chunk))


def to_wants(wants: Sequence[Want]) -> ttypes.Wants:
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


def to_news(news: News) -> ttypes.News:
    """Returns the message form of news."""
    others = [ttypes.Pulled(position, chunk_of(outcome)) for position, outcome in news.others]
    return ttypes.News(news.positions, news.generations, news.data, others)


def from_news(message: ttypes.News) -> News:
    """Returns the news that a message carries."""
    others = [Pulled(item.position, read_reply(item.chunk)) for item in message.others]
    return News(message.positions, message.generations, message.data, others)


def _to_message(ending: Ending) -> ttypes.Ending:
    return ttypes.Ending(
        status=ending.status,
        content_type=ending.content_type,
        prompt_tokens=ending.prompt_tokens,
        completion_tokens=ending.completion_tokens,
        cached_tokens=ending.cached_tokens,
        fault=None if ending.failure is None else to_fault(ending.failure),
    )


def _from_message(message: ttypes.Ending) -> Ending:
    return Ending(
        status=message.status,
        content_type=message.content_type,
        prompt_tokens=message.prompt_tokens,
        completion_tokens=message.completion_tokens,
        cached_tokens=message.cached_tokens,
        failure=None if message.fault is None else from_fault(message.fault),
    )
