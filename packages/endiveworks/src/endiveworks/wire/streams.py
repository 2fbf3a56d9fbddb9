"""Conversion between pieces of an answer and their message form."""

from ..calls.stream import Ending, Piece
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
