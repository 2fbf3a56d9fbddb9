"""Records of turns and budgets, and their encoding on disk and between hosts."""

from typing import NamedTuple

import msgspec

# Prompt and output of one turn, which is sent in one message.
MAX_TURN_BYTES = 24 * 1024 * 1024


class Turn(NamedTuple):
    """A completed turn; immutable.

    Attributes:
        turn: Id of the turn's request.
        parent: Id of the turn that it continues; empty at the start of a chain.
        prompt: Request body as the caller sent it.
        output: The part of the response that the chain's next prompt includes.
        retention_s: Retention time of the turn and its chain.
    """

    turn: str
    parent: str
    prompt: bytes
    output: bytes
    retention_s: float


class TurnParts(NamedTuple):
    """A turn whose prompt and output are parts of its encoded record; fields as in Turn."""

    turn: str
    parent: str
    prompt: memoryview
    output: memoryview
    retention_s: float


class Reservation(NamedTuple):
    """Tokens reserved from a program's budget for a turn.

    Attributes:
        program: Id of the program.
        turn: Id of the request that holds the reservation.
        tokens: Maximum number of tokens that the turn may generate.
        retention_s: Retention time of the program's ledger after its last change.
    """

    program: str
    turn: str
    tokens: int
    retention_s: float


class Settlement(NamedTuple):
    """Tokens that a turn has delivered to its caller; replaces the turn's reservation."""

    program: str
    turn: str
    tokens: int
    retention_s: float


Record = Turn | Reservation | Settlement

_KINDS: dict[bytes, type[Turn] | type[Reservation] | type[Settlement]] = {
    b"t": Turn,
    b"r": Reservation,
    b"s": Settlement,
}
_PARTS_KINDS: dict[type, type[TurnParts] | type[Reservation] | type[Settlement]] = {
    Turn: TurnParts,
    Reservation: Reservation,
    Settlement: Settlement,
}
_TAGS = {kind: tag for tag, kind in _KINDS.items()}


def encode(record: Record) -> bytes:
    """Encodes a record."""
    return _TAGS[type(record)] + msgspec.msgpack.encode(record)


def decode(data: bytes) -> Record:
    """Decodes a record.

    Raises:
        ValueError: The bytes are not a valid record.
    """
    record: Record = msgspec.msgpack.decode(data[1:], type=_kind(data))
    return record


def decode_parts(data: bytes | memoryview) -> TurnParts | Reservation | Settlement:
    """Decodes a record without a copy of a turn's prompt and output.

    Raises:
        ValueError: The bytes are not a valid record.
    """
    parts_kind = _PARTS_KINDS[_kind(data)]
    return msgspec.msgpack.decode(memoryview(data)[1:], type=parts_kind)


def turn_bytes(encoded: bytes | memoryview) -> memoryview:
    """Returns the part of a turn's record that a message with the turn contains."""
    return memoryview(encoded)[1:]


def _kind(data: bytes | memoryview) -> type[Turn] | type[Reservation] | type[Settlement]:
    kind = _KINDS.get(bytes(data[:1]))
    if kind is None:
        raise ValueError(f"unknown record type {bytes(data[:1])!r}")
    return kind
