"""Messages between this project's asyncio processes: framed msgpack, many calls a connection.

Thrift's Python runtime has no asyncio transport, so hosts that serve callers and hosts that keep
turns speak this instead.
"""

import asyncio
import struct
import time
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, NamedTuple, TypeVar

import msgspec
from endiveworks.errors import Code, Failure
from endiveworks.telemetry import logs
from returns.result import Failure as Err
from returns.result import Result, Success

from .gateway.sockets import ACCEPT_QUEUE, connect, probe_silence

MAX_FRAME_BYTES = 32 * 1024 * 1024

_LENGTH = struct.Struct("<I")
_T = TypeVar("_T")

# Answers one message: takes and returns the encoded message.
Handler = Callable[[bytes], Awaitable[bytes]]


class RpcClient:
    """Calls to one peer over one connection, which is opened again when it is lost."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._calls: dict[int, asyncio.Future[bytes]] = {}
        self._next = 0
        self._writer: asyncio.StreamWriter | None = None
        self._reading: asyncio.Task[None] | None = None
        self._opening = asyncio.Lock()
        self._heard_s = 0.0

    async def call(
        self, method: str, message: object, answer: type[_T], timeout_s: float
    ) -> Result[_T, Failure]:
        """Sends a message and returns the answer, or why there is none."""
        sent = await self.forward(method, msgspec.msgpack.encode(message), timeout_s)
        if not isinstance(sent, Success):
            return Err(sent.failure())
        try:
            return Success(msgspec.msgpack.decode(sent.unwrap(), type=answer))
        except msgspec.DecodeError as exc:
            return Err(Failure(Code.CORRUPT, method, self.address, str(exc)))

    async def forward(
        self, method: str, message: bytes, timeout_s: float
    ) -> Result[bytes, Failure]:
        """Sends an encoded message and returns the encoded answer, or why there is none."""
        began_s = time.monotonic()
        try:
            async with asyncio.timeout(timeout_s):
                return Success(await self._exchange(method, message))
        except TimeoutError:
            if self._heard_s < began_s:
                # It may have fallen silent for good, which its end does not show.
                self._lose(ConnectionResetError("nothing was heard"))
            return Err(Failure(Code.TIMEOUT, method, self.address, "no answer in time"))
        except (OSError, EOFError) as exc:
            return Err(Failure(Code.UNREACHABLE, method, self.address, type(exc).__name__))

    def close(self) -> None:
        """Ends the connection; calls under way fail."""
        if self._reading is not None:
            self._reading.cancel()
        self._lose(ConnectionResetError())

    async def _exchange(self, method: str, message: bytes) -> bytes:
        writer = await self._connected()
        self._next += 1
        number = self._next
        fut: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self._calls[number] = fut
        try:
            _write(writer, (number, method, message))
            return await fut
        finally:
            self._calls.pop(number, None)

    async def _connected(self) -> asyncio.StreamWriter:
        async with self._opening:
            if self._writer is None or self._writer.is_closing():
                reader, self._writer = await connect(self.address)
                self._reading = asyncio.create_task(self._read(reader, self._writer))
            return self._writer

    async def _read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                number, data = msgspec.msgpack.decode(
                    await _read_frame(reader), type=tuple[int, bytes]
                )
                self._heard_s = time.monotonic()
                fut = self._calls.get(number)
                if fut is not None and not fut.done():
                    fut.set_result(data)
        except (OSError, EOFError, msgspec.DecodeError) as exc:
            if self._writer is writer:
                self._lose(exc)

    def _lose(self, cause: Exception) -> None:
        if self._writer is not None:
            self._writer.transport.abort()
            self._writer = None
        for fut in self._calls.values():
            if not fut.done():
                fut.set_exception(ConnectionResetError(str(cause)))


class RpcServer(NamedTuple):
    """A running server.

    Attributes:
        address: Where it listens, as "ip:port".
        close: Stops listening and ends all connections.
    """

    address: str
    close: Callable[[], None]


async def serve(address: str, handlers: Mapping[str, Handler]) -> RpcServer:
    """Answers messages at "ip:port".

    Args:
        address: Where to listen; port 0 takes a free one.
        handlers: Functions by the name of the message.

    Raises:
        OSError: The address can't be bound.
    """
    writers: set[asyncio.StreamWriter] = set()

    async def accepted(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        probe_silence(writer)
        writers.add(writer)
        tasks: set[asyncio.Task[None]] = set()
        try:
            while True:
                number, method, message = msgspec.msgpack.decode(
                    await _read_frame(reader), type=tuple[int, str, bytes]
                )
                task = asyncio.create_task(_answer(writer, number, handlers[method], message))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
        except (OSError, EOFError):
            pass  # The peer closes its connection when it stops, and opens another when it needs.
        except (msgspec.DecodeError, KeyError) as exc:
            logs.logger("rpc").warning("message_refused", exc_info=exc)
        finally:
            writers.discard(writer)
            writer.transport.abort()

    ip, _, port = address.rpartition(":")
    server = await asyncio.start_server(accepted, ip, int(port), backlog=ACCEPT_QUEUE)
    ip, port = server.sockets[0].getsockname()

    def close() -> None:
        server.close()
        for writer in writers:
            writer.transport.abort()

    return RpcServer(f"{ip}:{port}", close)


async def _answer(
    writer: asyncio.StreamWriter, number: int, handler: Handler, message: bytes
) -> None:
    try:
        data = await handler(message)
    except Exception as exc:
        # The caller's time limit covers a call without an answer.
        logs.logger("rpc").error("message_failed", exc_info=exc)
        return
    if not writer.is_closing():
        _write(writer, (number, data))


def _write(writer: asyncio.StreamWriter, frame: tuple[Any, ...]) -> None:
    data = msgspec.msgpack.encode(frame)
    writer.write(_LENGTH.pack(len(data)) + data)


async def _read_frame(reader: asyncio.StreamReader) -> bytes:
    (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    if length > MAX_FRAME_BYTES:
        raise OSError(f"frame of {length} bytes is over the limit")
    return await reader.readexactly(length)
