"""Datagrams by which entries tell disk processes where streams began, and ask them for it.

No connection is kept for them, and a lost one is sent again.
"""

import asyncio
from typing import NamedTuple

import msgspec
from endiveworks.decoding import DECODE_ERRORS
from endiveworks.gateway.stream_origins import StreamStart
from endiveworks.telemetry import logs

MAX_DATAGRAM_BYTES = 1_200  # Larger ones may be fragmented, and are lost more often.
TELL, TOLD, ASK, ANSWER = "tell", "told", "ask", "answer"

# First byte of an array of two, which no other message is.
_RELAYED_MARK = b"\x92"

Address = tuple[str, int]


class Datagram(NamedTuple):
    """A message between an entry and a disk process.

    Attributes:
        kind: TELL or ASK of an entry, TOLD or ANSWER of a disk process.
        number: Number of the entry's message that this is, or that it replies to.
        epoch: Epoch of the newest view that the sender knows.
        key: Key of the request whose streams it is about.
        starts: Starts of streams.
        folder: Id of the replying process's data folder.
        held_s: Time for which it has kept all that it was told.
        is_partial: Whether there are more starts than it keeps of one request.
    """

    kind: str
    number: int
    epoch: int
    key: bytes
    starts: tuple[StreamStart, ...] = ()
    folder: str = ""
    held_s: float = 0.0
    is_partial: bool = False


class Relayed(NamedTuple):
    """A datagram that an entry passes on to a disk process.

    Attributes:
        address: Address of the disk process.
        data: The encoded datagram.
    """

    address: str
    data: bytes


def encode(datagram: Datagram) -> bytes | None:
    """Returns the bytes of a message; None if they are too many for a datagram."""
    data = msgspec.msgpack.encode(datagram)
    return data if len(data) <= MAX_DATAGRAM_BYTES else None


def decode(data: bytes) -> Datagram | None:
    """Returns the message in a datagram; None if it is none, or one of another release."""
    try:
        return msgspec.msgpack.decode(data, type=Datagram)
    except DECODE_ERRORS as exc:
        logs.logger("gateway").debug("message_refused", exc_info=exc)
        return None


def encode_relayed(relayed: Relayed) -> bytes:
    """Returns the bytes of a datagram that is to be passed on."""
    return msgspec.msgpack.encode(relayed)


def decode_relayed(data: bytes) -> Relayed | None:
    """Returns the datagram that is to be passed on; None if the bytes are something else."""
    if data[:1] != _RELAYED_MARK:
        return None
    try:
        return msgspec.msgpack.decode(data, type=Relayed)
    except DECODE_ERRORS as exc:
        logs.logger("gateway").debug("message_refused", exc_info=exc)
        return None


def parse_address(address: str) -> Address:
    """Returns the parts of "ip:port"."""
    ip, _, port = address.rpartition(":")
    return ip, int(port)


async def listen(protocol: asyncio.DatagramProtocol, address: str) -> asyncio.DatagramTransport:
    """Receives datagrams at "ip:port"; raises OSError if the address can't be bound."""
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: protocol, local_addr=parse_address(address)
    )
    return transport
