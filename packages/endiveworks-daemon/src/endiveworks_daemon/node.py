"""Commands on programs at the host that owns them, here or on another host."""

from collections.abc import Callable, Generator, Sequence
from typing import NamedTuple

import msgspec
from endiveworks.calls.messages import CallKey
from endiveworks.calls.poll_client import PollClient, PollResponse, ReadRequest, Subscriber
from endiveworks.calls.stream import Chunk, FinalStatus, Stream
from endiveworks.errors import Code, Failure
from endiveworks.links.client import Peers
from endiveworks.programs.owner import Owner
from endiveworks.programs.queries import ProgramStatus
from endiveworks.programs.requests import CallRequest, OpenRequest
from endiveworks.wire.faults import from_fault
from endiveworks.wire.gen import ttypes
from endiveworks.wire.streams import from_poll_response, from_reply, to_poll_request
from returns.result import Failure as Err
from returns.result import Result, Success

from .response_sink import ResponseSink

REPLY_TIMEOUT_S = 5.0
READ_WAIT_S = 1.0
PIPE_WAIT_S = 5.0
_RPC_MARGIN_S = 2.0


class Command(NamedTuple):
    """A command on a program that returns without waiting for a call.

    Attributes:
        action: "open", "status", "history" or "close".
        program: Program id; for "open" any id in the wanted partition, or its prefix alone.
        tenant: Tenant of the caller.
        body: Body as JSON; empty for all but "open".
    """

    action: str
    program: str
    tenant: str
    body: bytes = b""


# Chunks of a response, or the failure that ended it.
Chunks = Generator[Result[Chunk, Failure], None, None]


class Node(NamedTuple):
    """The host that owns a program.

    Attributes:
        manage: Runs a command and returns its result as JSON.
        submit: Submits a call.
        chunks: Yields a call's response from an offset on, or the failure that ended it. While
            nothing arrives, chunks without bytes are yielded periodically. Bytes go directly to
            the sink while it is open.
    """

    manage: Callable[[Command], Result[bytes, Failure]]
    submit: Callable[[CallRequest], Result[None, Failure]]
    chunks: Callable[[str, int, int, ResponseSink], Chunks]


def local_node(owner: Owner) -> Node:
    """Returns the node of this process."""

    def chunks(program: str, number: int, offset: int, sink: ResponseSink) -> Chunks:
        while True:
            found = owner.find_stream(program, number)
            if not isinstance(found, Success):
                yield Err(found.failure())
                return
            chunk = _next_chunk(found.unwrap(), offset, sink)
            offset = chunk.offset + len(chunk.data)
            yield Success(chunk)

    return Node(lambda command: manage(owner, command), owner.submit, chunks)


def make_poll_client(peers: Peers, origin: Callable[[], ttypes.Origin]) -> PollClient:
    """Returns the client that reads responses from other processes by long polling."""

    def send(
        address: str, requests: Sequence[ReadRequest], wait_s: float
    ) -> Result[PollResponse, Failure]:
        message = to_poll_request(requests)
        reply = peers.call(
            address,
            "node.pull",
            wait_s + _RPC_MARGIN_S,
            lambda client: client.pull(origin(), message, int(wait_s * 1000)),
        )
        return reply.map(from_poll_response)

    return PollClient(send)


def read_response(
    peers: Peers,
    origin: Callable[[], ttypes.Origin],
    address: str,
    step: str,
    read_req: ReadRequest,
    wait_s: float,
) -> Result[ttypes.Chunk, Failure]:
    """Reads bytes of a response at another process, waiting until some are available."""
    return peers.call(
        address,
        step,
        wait_s + _RPC_MARGIN_S,
        lambda client: client.read(
            origin(), ttypes.CallKey(*read_req.key), read_req.offset, int(wait_s * 1000)
        ),
    )


def remote_node(
    peers: Peers, poll_client: PollClient, origin: Callable[[], ttypes.Origin], address: str
) -> Node:
    """Returns the node at another host's Thrift address."""

    def manage_remote(command: Command) -> Result[bytes, Failure]:
        req = ttypes.ManageRequest(*command)
        reply = peers.call(
            address, "node.manage", REPLY_TIMEOUT_S, lambda client: client.manage(origin(), req)
        )
        return reply.bind(_manage_reply)

    def submit_remote(call: CallRequest) -> Result[None, Failure]:
        req = ttypes.CallRequest(*call)
        reply = peers.call(
            address, "node.submit", REPLY_TIMEOUT_S, lambda client: client.submit(origin(), req)
        )
        return reply.bind(_submit_reply)

    def chunks(program: str, number: int, offset: int, sink: ResponseSink) -> Chunks:
        key = CallKey(program, number, 0)
        data = b""
        while not data:
            reply = read_response(
                peers, origin, address, "node.read", ReadRequest(key, offset), READ_WAIT_S
            )
            outcome = reply.bind(from_reply)
            yield outcome
            data = outcome.unwrap().data if isinstance(outcome, Success) else b""
        yield from _pull_rest(poll_client, address, ReadRequest(key, offset + len(data)), sink)

    return Node(manage_remote, submit_remote, chunks)


def _pull_rest(
    poll_client: PollClient, address: str, read_req: ReadRequest, sink: ResponseSink
) -> Chunks:
    """Yields the rest of a response, pulled in messages that it shares with other responses."""
    stream = Stream()
    failures: list[Failure] = []

    def on_chunk(chunk: Chunk) -> None:
        stream.append(chunk.data, chunk.generation)
        if chunk.final_status is not None:
            stream.finish(chunk.final_status)

    def on_lost(failure: Failure) -> None:
        failures.append(failure)
        stream.finish(FinalStatus(503, "", failure=failure))

    stop = poll_client.subscribe(address, read_req, Subscriber(on_chunk, on_lost))
    offset = 0
    try:
        while True:
            chunk = _next_chunk(stream, offset, sink)
            offset = chunk.offset + len(chunk.data)
            if failures:
                yield Success(
                    chunk._replace(offset=read_req.offset + chunk.offset, final_status=None)
                )
                yield Err(failures[0])
                return
            yield Success(chunk._replace(offset=read_req.offset + chunk.offset))
    finally:
        stop()


def _next_chunk(stream: Stream, offset: int, sink: ResponseSink) -> Chunk:
    """Returns the next chunk of a stream; its bytes may have gone directly to the sink."""
    writer = sink.writer
    if writer is None:
        return stream.read(offset, READ_WAIT_S)
    chunk = stream.pipe(offset, sink.generation, writer.write, PIPE_WAIT_S)
    writer.flush()
    if chunk.offset == offset and not chunk.data and chunk.final_status is None:
        # Nothing could be written directly, for example because another generation began.
        return stream.read(offset, READ_WAIT_S)
    return chunk


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
