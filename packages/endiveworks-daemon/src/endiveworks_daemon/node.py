"""Commands on programs at the host that owns them, here or on another host."""

from collections.abc import Callable
from typing import NamedTuple

import msgspec
from endiveworks.calls.stream import Piece
from endiveworks.errors import Code, Failure
from endiveworks.links.client import Peers
from endiveworks.programs.owner import CallRequest, OpenRequest, Owner, ProgramStatus
from endiveworks.wire.faults import from_fault
from endiveworks.wire.gen import ttypes
from endiveworks.wire.streams import from_chunk
from returns.result import Failure as Err
from returns.result import Result, Success

ANSWER_TIMEOUT_S = 5.0
_SILENCE_MARGIN_S = 2.0


class Command(NamedTuple):
    """A command on a program that is answered at once.

    Attributes:
        action: "open", "status", "history" or "close".
        program: Program id; for "open" any id of the wanted partition.
        tenant: Tenant of the caller.
        body: Body as JSON; empty for all but "open".
    """

    action: str
    program: str
    tenant: str
    body: bytes = b""


class Node(NamedTuple):
    """The host that owns a program.

    Attributes:
        manage: Runs a command and returns its answer as JSON.
        submit: Hands a call over.
        read: Returns bytes of a call's answer: program, call number, offset, seconds to wait.
    """

    manage: Callable[[Command], Result[bytes, Failure]]
    submit: Callable[[CallRequest], Result[None, Failure]]
    read: Callable[[str, int, int, float], Result[Piece, Failure]]


def local_node(owner: Owner) -> Node:
    """Returns the node of this process."""
    return Node(lambda command: manage(owner, command), owner.submit, owner.read)


def remote_node(peers: Peers, origin: Callable[[], ttypes.Origin], address: str) -> Node:
    """Returns the node at another host's Thrift address."""

    def manage_there(command: Command) -> Result[bytes, Failure]:
        req = ttypes.ManageRequest(*command)
        answered = peers.call(
            address, "node.manage", ANSWER_TIMEOUT_S, lambda client: client.manage(origin(), req)
        )
        return answered.bind(_manage_reply)

    def submit_there(call: CallRequest) -> Result[None, Failure]:
        req = ttypes.CallRequest(*call)
        answered = peers.call(
            address, "node.submit", ANSWER_TIMEOUT_S, lambda client: client.submit(origin(), req)
        )
        return answered.bind(_submit_reply)

    def read_there(program: str, number: int, offset: int, wait_s: float) -> Result[Piece, Failure]:
        key = ttypes.CallKey(program, number, 0)
        answered = peers.call(
            address,
            "node.read",
            wait_s + _SILENCE_MARGIN_S,
            lambda client: client.read(origin(), key, offset, int(wait_s * 1000)),
        )
        return answered.bind(read_reply)

    return Node(manage_there, submit_there, read_there)


def manage(owner: Owner, command: Command) -> Result[bytes, Failure]:
    """Runs a command on this host's programs."""
    match command.action:
        case "open":
            return _open(owner, command)
        case "status":
            return owner.status(command.program, command.tenant).map(_encode_status)
        case "history":
            return owner.history(command.program, command.tenant)
        case "close":
            return owner.close(command.program, command.tenant).map(_encode_status)
    detail = f"action {command.action!r} does not exist"
    return Err(Failure(Code.BAD_REQUEST, "node.manage", "", detail, not_run=True))


def read_reply(chunk: ttypes.Chunk) -> Result[Piece, Failure]:
    """Returns the piece that a chunk carries, or its fault."""
    if chunk.fault is not None:
        return Err(from_fault(chunk.fault))
    return Success(from_chunk(chunk))


def _open(owner: Owner, command: Command) -> Result[bytes, Failure]:
    body = msgspec.json.decode(command.body, type=OpenRequest)
    partition = int(command.program.partition("-")[0], 16)
    opened = owner.open(partition, command.tenant, body)
    return opened.map(_encode_status)


def _encode_status(status: ProgramStatus) -> bytes:
    return msgspec.json.encode(status)


def _manage_reply(reply: ttypes.ManageReply) -> Result[bytes, Failure]:
    if reply.fault is not None:
        return Err(from_fault(reply.fault))
    return Success(reply.body)


def _submit_reply(reply: ttypes.SubmitReply) -> Result[None, Failure]:
    if reply.fault is not None:
        return Err(from_fault(reply.fault))
    return Success(None)
