"""RPC between this project's asyncio processes: framed msgpack, calls multiplexed per connection.

Thrift's Python runtime has no asyncio transport, so entry and disk processes use this instead.
"""

import asyncio
import struct
import time
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, NamedTuple, TypeVar

import msgspec
from endiveworks.decoding import DECODE_ERRORS
from endiveworks.errors import Code, Failure
from endiveworks.telemetry import logs
from returns.result import Failure as Err
from returns.result import Result, Success

from .gateway.sockets import LISTEN_BACKLOG, connect, enable_keepalive

MAX_FRAME_BYTES = 32 * 1024 * 1024

_LENGTH = struct.Struct("<I")
_T = TypeVar("_T")

# Handles one call: takes the encoded request and returns the encoded reply.
Handler = Callable[[bytes], Awaitable[bytes]]


class RpcClient:
    """Calls one peer over a single connection, which is reopened after a failure."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._pending: dict[int, asyncio.Future[bytes]] = {}
        self._last_id = 0
        self._writer: asyncio.StreamWriter | None = None
        self._read_task: asyncio.Task[None] | None = None
        self._connect_lock = asyncio.Lock()
        self._last_received_s = 0.0

    async def call(
        self, method: str, message: object, reply_type: type[_T], timeout_s: float
    ) -> Result[_T, Failure]:
        """Sends a message and returns the decoded reply, or the failure."""
        reply = await self.call_encoded(method, msgspec.msgpack.encode(message), timeout_s)
        if not isinstance(reply, Success):
            return Err(reply.failure())
        try:
            return Success(msgspec.msgpack.decode(reply.unwrap(), type=reply_type))
        except DECODE_ERRORS as exc:
            return Err(Failure(Code.CORRUPT, method, self.address, str(exc)))

    async def call_encoded(
        self, method: str, message: bytes, timeout_s: float
    ) -> Result[bytes, Failure]:
        """Sends an encoded message and returns the encoded reply, or the failure."""
        started_s = time.monotonic()
        try:
            async with asyncio.timeout(timeout_s):
                return Success(await self._round_trip(method, message))
        except TimeoutError:
            if self._last_received_s < started_s:
                # The connection may be dead without a reset or end of stream.
                self._drop_connection(
                    ConnectionResetError("no data received since the call was sent")
                )
            return Err(Failure(Code.TIMEOUT, method, self.address, "timed out waiting for a reply"))
        except (OSError, EOFError) as exc:
            return Err(Failure(Code.UNREACHABLE, method, self.address, type(exc).__name__))

    def close(self) -> None:
        """Closes the connection; pending calls fail."""
        if self._read_task is not None:
            self._read_task.cancel()
        self._drop_connection(ConnectionResetError())

    async def _round_trip(self, method: str, message: bytes) -> bytes:
        writer = await self._ensure_connected()
        self._last_id += 1
        call_id = self._last_id
        fut: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self._pending[call_id] = fut
        try:
            _write(writer, (call_id, method, message))
            return await fut
        finally:
            self._pending.pop(call_id, None)

    async def _ensure_connected(self) -> asyncio.StreamWriter:
        async with self._connect_lock:
            if self._writer is None or self._writer.is_closing():
                reader, self._writer = await connect(self.address)
                self._read_task = asyncio.create_task(self._read_replies(reader, self._writer))
            return self._writer

    async def _read_replies(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                call_id, data = msgspec.msgpack.decode(
                    await _read_frame(reader), type=tuple[int, bytes]
                )
                self._last_received_s = time.monotonic()
                fut = self._pending.get(call_id)
                if fut is not None and not fut.done():
                    fut.set_result(data)
        except (OSError, EOFError, *DECODE_ERRORS) as exc:
            if self._writer is writer:
                self._drop_connection(exc)

    def _drop_connection(self, cause: Exception) -> None:
        if self._writer is not None:
            self._writer.transport.abort()
            self._writer = None
        for fut in self._pending.values():
            if not fut.done():
                fut.set_exception(ConnectionResetError(str(cause)))


class RpcServer(NamedTuple):
    """A running server.

    Attributes:
        address: Address it listens on, as "ip:port".
        close: Stops listening and closes all connections.
        finish: Takes no more calls, and waits for up to some seconds until those under way have
            been answered.
    """

    address: str
    close: Callable[[], None]
    finish: Callable[[float], Awaitable[None]]


class _CallServer:
    """Connections of a server, and the calls under way on them."""

    def __init__(self, handlers: Mapping[str, Handler]) -> None:
        self._handlers = handlers
        self._writers: set[asyncio.StreamWriter] = set()
        self._running: set[asyncio.Task[None]] = set()
        self._finishing = False

    async def serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves the calls on one connection until it ends."""
        enable_keepalive(writer)
        self._writers.add(writer)
        try:
            while True:
                self._start(writer, await _read_frame(reader))
        except (OSError, EOFError):
            pass  # Expected: peers disconnect when they stop and reconnect when needed.
        except DECODE_ERRORS as exc:
            logs.logger("rpc").warning("message_refused", exc_info=exc)
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def finish(self, timeout_s: float) -> None:
        """Takes no more calls, and sends the replies of those that end within some seconds."""
        self._finishing = True
        if self._running:
            await asyncio.wait(set(self._running), timeout=timeout_s)
        for writer in self._writers:
            writer.close()

    def close(self) -> None:
        """Closes all connections."""
        for writer in self._writers:
            writer.transport.abort()

    def _start(self, writer: asyncio.StreamWriter, frame: bytes) -> None:
        call_id, method, message = msgspec.msgpack.decode(frame, type=tuple[int, str, bytes])
        if self._finishing:
            return  # The caller learns from the end of the connection that it was not handled.
        task = asyncio.create_task(_handle(writer, call_id, self._handlers[method], message))
        self._running.add(task)
        task.add_done_callback(self._running.discard)


async def serve(address: str, handlers: Mapping[str, Handler]) -> RpcServer:
    """Serves RPCs at "ip:port".

    Args:
        address: Address to listen on; port 0 selects a free port.
        handlers: Handlers by method name.

    Raises:
        OSError: The address can't be bound.
    """
    calls = _CallServer(handlers)
    ip, _, port = address.rpartition(":")
    server = await asyncio.start_server(
        calls.serve_connection, ip, int(port), backlog=LISTEN_BACKLOG
    )
    ip, port = server.sockets[0].getsockname()

    def close() -> None:
        server.close()
        calls.close()

    async def finish(timeout_s: float) -> None:
        server.close()
        await calls.finish(timeout_s)

    return RpcServer(f"{ip}:{port}", close, finish)


async def _handle(
    writer: asyncio.StreamWriter, call_id: int, handler: Handler, message: bytes
) -> None:
    try:
        data = await handler(message)
    except Exception as exc:
        # No error reply is sent: the client's timeout covers a call without a reply.
        logs.logger("rpc").error("message_failed", exc_info=exc)
        return
    if not writer.is_closing():
        _write(writer, (call_id, data))


def _write(writer: asyncio.StreamWriter, frame: tuple[Any, ...]) -> None:
    data = msgspec.msgpack.encode(frame)
    writer.write(_LENGTH.pack(len(data)) + data)


async def _read_frame(reader: asyncio.StreamReader) -> bytes:
    (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    if length > MAX_FRAME_BYTES:
        raise OSError(f"frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes")
    return await reader.readexactly(length)
