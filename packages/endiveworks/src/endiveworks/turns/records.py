"""What is kept of turns and budgets, and its encoding on disk and between hosts."""

from typing import NamedTuple

import msgspec


class Turn(NamedTuple):
    """A turn that was answered whole; it never changes.

    Attributes:
        turn: Id of the request that was the turn.
        parent: Turn that it continues from; empty at the start of a chain.
        prompt: What the caller sent.
        output: What the chain's next prompt holds of the answer.
        keep_s: Seconds for which the turn and its chain are kept.
    """

    turn: str
    parent: str
    prompt: bytes
    output: bytes
    keep_s: float


class Reservation(NamedTuple):
    """Tokens of a program's budget that a turn may still generate.

    Attributes:
        program: The program.
        turn: Id of the request that holds the reservation.
        tokens: The most that the turn may generate.
        keep_s: Seconds for which the program's ledger is kept after its last change.
    """

    program: str
    turn: str
    tokens: int
    keep_s: float


class Settlement(NamedTuple):
    """Tokens that a turn has handed to its caller; takes the place of the reservation."""

    program: str
    turn: str
    tokens: int
    keep_s: float


Record = Turn | Reservation | Settlement

_KINDS: dict[bytes, type[Turn] | type[Reservation] | type[Settlement]] = {
    b"t": Turn,
    b"r": Reservation,
    b"s": Settlement,
}
_TAGS = {kind: tag for tag, kind in _KINDS.items()}


def encode(record: Record) -> bytes:
    """Returns the bytes of a record."""
    return _TAGS[type(record)] + msgspec.msgpack.encode(record)


def decode(data: bytes) -> Record:
    """Returns the record that bytes hold.

    Raises:
        ValueError: The bytes are no record.
    """
    kind = _KINDS.get(data[:1])
    if kind is None:
        raise ValueError(f"{data[:1]!r} is no kind of record")
    record: Record = msgspec.msgpack.decode(data[1:], type=kind)
    return record
