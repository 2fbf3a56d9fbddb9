"""RPC between this project's asyncio processes: framed msgpack, calls multiplexed per connection.

Thrift's Python runtime has no asyncio transport, so entry and disk processes use this instead.
"""

import asyncio
import contextlib
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
# Bytes of calls that a server works on, and of replies that are not sent, beyond which it reads no
# further long call. A single longer one is taken if there is nothing else.
MAX_PENDING_BYTES = 6 * 1024 * 1024
# Calls and replies of up to this size are never kept waiting, so that checks of a peer go through.
SHORT_BYTES = 16 * 1024
# A connection is closed if its peer takes in no part of a long reply for this long.
SEND_TIMEOUT_S = 5.0
# A connection is closed if a call has not arrived whole within this time after its start, since
# others wait for its room. The longest turn takes a fraction of it between regions.
RECEIVE_TIMEOUT_S = 15.0

_LENGTH = struct.Struct("<I")
_EMPTY_BYTES = 2  # Length of empty bytes in msgpack.
_T = TypeVar("_T")


class LongReply(NamedTuple):
    """A reply that is built when there is room for it.

    Attributes:
        size: Its size in bytes, about.
        build: Returns the encoded reply.
    """

    size: int
    build: Callable[[], bytes]


# Handles one call: takes the encoded request, a part of its frame, and returns the encoded reply.
Handler = Callable[[memoryview], Awaitable[bytes | LongReply]]


class RpcClient:
    """Calls one peer over a single connection, which is reopened after a failure."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._pending: dict[int, asyncio.Future[memoryview]] = {}
        self._last_id = 0
        self._writer: asyncio.StreamWriter | None = None
        self._read_task: asyncio.Task[None] | None = None
        self._connect_lock = asyncio.Lock()
        self._last_received_s = 0.0

    async def call(
        self, method: str, message: object, reply_type: type[_T], timeout_s: float
    ) -> Result[_T, Failure]:
        """Sends a message and returns the decoded reply, or the failure.

        Args:
            method: Method of the message.
            message: The message, or its encoded form.
            reply_type: Type of the reply.
            timeout_s: Time limit in seconds.
        """
        reply = await self.call_encoded(method, encoded(message), timeout_s)
        if not isinstance(reply, Success):
            return Err(reply.failure())
        try:
            return Success(msgspec.msgpack.decode(reply.unwrap(), type=reply_type))
        except DECODE_ERRORS as exc:
            return Err(Failure(Code.CORRUPT, method, self.address, str(exc)))

    async def call_encoded(
        self, method: str, message: bytes | memoryview, timeout_s: float
    ) -> Result[memoryview, Failure]:
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

    async def _round_trip(self, method: str, message: bytes | memoryview) -> memoryview:
        writer = await self._ensure_connected()
        self._last_id += 1
        call_id = self._last_id
        fut: asyncio.Future[memoryview] = asyncio.get_running_loop().create_future()
        self._pending[call_id] = fut
        try:
            _write(writer, (call_id, method), message)
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
                frame = await reader.readexactly(await _read_length(reader))
                call_id, data = msgspec.msgpack.decode(frame, type=tuple[int, memoryview])
                del frame
                self._last_received_s = time.monotonic()
                fut = self._pending.get(call_id)
                if fut is not None and not fut.done():
                    fut.set_result(data)
                del data, fut
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


class _PendingBytes:
    """The bytes of calls and replies that a server holds."""

    def __init__(self) -> None:
        self._held = 0
        self._waiting: list[asyncio.Future[None]] = []

    async def claim(self, size: int) -> None:
        """Adds bytes, for a long message once there is room."""
        while size > SHORT_BYTES and self._held and self._held + size > MAX_PENDING_BYTES:
            fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._waiting.append(fut)
            await fut
        self._held += size

    def release(self, size: int) -> None:
        """Takes bytes off."""
        self._held -= size
        waiting, self._waiting = self._waiting, []
        for fut in waiting:
            if not fut.done():
                fut.set_result(None)


class _CallServer:
    """Connections of a server, and the calls under way on them."""

    def __init__(self, handlers: Mapping[str, Handler]) -> None:
        self._handlers = handlers
        self._pending = _PendingBytes()
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
                length = await _read_length(reader)
                await self._pending.claim(length)
                started = False
                try:
                    async with asyncio.timeout(RECEIVE_TIMEOUT_S):
                        frame = await reader.readexactly(length)
                    started = self._start(writer, frame)
                    del frame
                finally:
                    if not started:
                        self._pending.release(length)
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

    def _start(self, writer: asyncio.StreamWriter, frame: bytes) -> bool:
        """Starts to handle a call; returns whether it will be handled."""
        call_id, method, message = msgspec.msgpack.decode(frame, type=tuple[int, str, memoryview])
        if self._finishing:
            return False  # The caller learns from the end of the connection that it was not.
        call = self._handle(writer, call_id, self._handlers[method], message, len(frame))
        task = asyncio.create_task(call)
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        return True

    async def _handle(
        self,
        writer: asyncio.StreamWriter,
        call_id: int,
        handler: Handler,
        message: memoryview,
        size: int,
    ) -> None:
        try:
            reply = await handler(message)
        except Exception as exc:
            # No error reply is sent: the client's timeout covers a call without a reply.
            logs.logger("rpc").error("message_failed", exc_info=exc)
            return
        finally:
            del message
            self._pending.release(size)
        if isinstance(reply, LongReply):
            await self._send_long(writer, call_id, reply)
        elif len(reply) > SHORT_BYTES:
            await self._send_long(writer, call_id, LongReply(len(reply), lambda: reply))
        elif not writer.is_closing():
            _write(writer, (call_id,), reply)

    async def _send_long(
        self, writer: asyncio.StreamWriter, call_id: int, reply: LongReply
    ) -> None:
        """Builds and sends a reply once there is room for it, unless its caller is gone by then."""
        await self._pending.claim(reply.size)
        try:
            if not writer.is_closing():
                await _send_all(writer, (call_id,), reply.build())
        except Exception as exc:
            logs.logger("rpc").error("message_failed", exc_info=exc)
        finally:
            self._pending.release(reply.size)


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


async def _send_all(writer: asyncio.StreamWriter, head: tuple[Any, ...], data: bytes) -> None:
    """Sends a reply and waits until the peer has taken it in; closes the connection if not."""
    _write(writer, head, data)
    try:
        while not writer.is_closing() and (left := writer.transport.get_write_buffer_size()):
            # Draining waits for most of it, which a slow link may take long for.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(SEND_TIMEOUT_S):
                    await writer.drain()
                    return
            if writer.transport.get_write_buffer_size() >= left:
                writer.transport.abort()
    except OSError:
        pass  # The peer has disconnected.


def _write(writer: asyncio.StreamWriter, head: tuple[Any, ...], data: bytes | memoryview) -> None:
    """Writes a frame: the encoded array of some fields and, last, bytes, which are not copied."""
    # The array with empty bytes ends with their type and length.
    fields = msgspec.msgpack.encode((*head, b""))[:-_EMPTY_BYTES]
    start = fields + _bytes_header(len(data))
    writer.write(_LENGTH.pack(len(start) + len(data)) + start)
    writer.write(data)


def encoded(message: object) -> bytes:
    """Returns the encoded form of a message, which may be encoded already."""
    return message if isinstance(message, bytes) else msgspec.msgpack.encode(message)


def _bytes_header(size: int) -> bytes:
    """Returns what precedes bytes of a size in msgpack."""
    if size < 1 << 8:
        return struct.pack(">BB", 0xC4, size)
    if size < 1 << 16:
        return struct.pack(">BH", 0xC5, size)
    return struct.pack(">BI", 0xC6, size)


async def _read_length(reader: asyncio.StreamReader) -> int:
    (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    if length > MAX_FRAME_BYTES:
        raise OSError(f"frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes")
    return int(length)
