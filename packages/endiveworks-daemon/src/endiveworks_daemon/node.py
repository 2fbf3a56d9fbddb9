"""Commands on programs at the host that owns them, here or on another host."""

from collections.abc import Callable, Generator, Sequence
from typing import NamedTuple

import msgspec
from endiveworks.calls.messages import CallKey
from endiveworks.calls.pull import Listener, News, Puller, Want
from endiveworks.calls.stream import Ending, Piece, Stream
from endiveworks.errors import Code, Failure
from endiveworks.links.client import Peers
from endiveworks.programs.owner import Owner
from endiveworks.programs.queries import ProgramStatus
from endiveworks.programs.requests import CallRequest, OpenRequest
from endiveworks.wire.faults import from_fault
from endiveworks.wire.gen import ttypes
from endiveworks.wire.streams import from_news, read_reply, to_wants
from returns.result import Failure as Err
from returns.result import Result, Success

from .outlet import Outlet

ANSWER_TIMEOUT_S = 5.0
READ_WAIT_S = 1.0
FLOW_WAIT_S = 5.0
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


# Pieces of an answer, or why there is no more of it.
Pieces = Generator[Result[Piece, Failure], None, None]


class Node(NamedTuple):
    """The host that owns a program.

    Attributes:
        manage: Runs a command and returns its answer as JSON.
        submit: Hands a call over.
        pieces: Yields a call's answer from an offset on, or why there is no more of it. A piece
            without bytes comes now and then while there is no news. Bytes go directly to the
            outlet while it is open.
    """

    manage: Callable[[Command], Result[bytes, Failure]]
    submit: Callable[[CallRequest], Result[None, Failure]]
    pieces: Callable[[str, int, int, Outlet], Pieces]


def local_node(owner: Owner) -> Node:
    """Returns the node of this process."""

    def pieces(program: str, number: int, offset: int, outlet: Outlet) -> Pieces:
        while True:
            found = owner.find_stream(program, number)
            if not isinstance(found, Success):
                yield Err(found.failure())
                return
            piece = _advance(found.unwrap(), offset, outlet)
            offset = piece.offset + len(piece.data)
            yield Success(piece)

    return Node(lambda command: manage(owner, command), owner.submit, pieces)


def puller(peers: Peers, origin: Callable[[], ttypes.Origin]) -> Puller:
    """Returns what follows answers at other processes."""

    def send(address: str, wants: Sequence[Want], wait_s: float) -> Result[News, Failure]:
        message = to_wants(wants)
        answered = peers.call(
            address,
            "node.pull",
            wait_s + _SILENCE_MARGIN_S,
            lambda client: client.pull(origin(), message, int(wait_s * 1000)),
        )
        return answered.map(from_news)

    return Puller(send)


def read_answer(
    peers: Peers,
    origin: Callable[[], ttypes.Origin],
    address: str,
    step: str,
    want: Want,
    wait_s: float,
) -> Result[ttypes.Chunk, Failure]:
    """Asks the process at an address for bytes of an answer, waiting for news of it."""
    return peers.call(
        address,
        step,
        wait_s + _SILENCE_MARGIN_S,
        lambda client: client.read(
            origin(), ttypes.CallKey(*want.key), want.offset, int(wait_s * 1000)
        ),
    )


def remote_node(
    peers: Peers, pull: Puller, origin: Callable[[], ttypes.Origin], address: str
) -> Node:
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

    def pieces(program: str, number: int, offset: int, outlet: Outlet) -> Pieces:
        key = CallKey(program, number, 0)
        data = b""
        while not data:
            answered = read_answer(
                peers, origin, address, "node.read", Want(key, offset), READ_WAIT_S
            )
            outcome = answered.bind(read_reply)
            yield outcome
            data = outcome.unwrap().data if isinstance(outcome, Success) else b""
        yield from _tail(pull, address, Want(key, offset + len(data)), outlet)

    return Node(manage_there, submit_there, pieces)


def _tail(pull: Puller, address: str, want: Want, outlet: Outlet) -> Pieces:
    """Yields the rest of an answer, whose pieces come in messages shared with other answers."""
    rest = Stream()
    lost: list[Failure] = []

    def take(piece: Piece) -> None:
        rest.append(piece.data, piece.generation)
        if piece.ending is not None:
            rest.finish(piece.ending)

    def lose(failure: Failure) -> None:
        lost.append(failure)
        rest.finish(Ending(503, "", failure=failure))

    end = pull.follow(address, want, Listener(take, lose))
    offset = 0
    try:
        while True:
            piece = _advance(rest, offset, outlet)
            offset = piece.offset + len(piece.data)
            if lost:
                yield Success(piece._replace(offset=want.offset + piece.offset, ending=None))
                yield Err(lost[0])
                return
            yield Success(piece._replace(offset=want.offset + piece.offset))
    finally:
        end()


def _advance(stream: Stream, offset: int, outlet: Outlet) -> Piece:
    """Returns the next piece of a stream, of which bytes may go directly to the outlet."""
    writer = outlet.writer
    if writer is None:
        return stream.read(offset, READ_WAIT_S)
    piece = stream.flow(offset, outlet.generation, writer.write, FLOW_WAIT_S)
    writer.flush()
    if piece.offset == offset and not piece.data and piece.ending is None:
        # Nothing flows, for example because another generation began.
        return stream.read(offset, READ_WAIT_S)
    return piece


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
