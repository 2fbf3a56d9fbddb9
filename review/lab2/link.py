"""A narrow link between two regions, in front of processes of one of them."""

import asyncio
import contextlib
import socket
import time

PIECE_BYTES = 4 * 1024
WINDOW_BYTES = 64 * 1024  # What waits at either end of a connection.
QUEUE_PIECES = 16


class Direction:
    """One direction of the link, which all connections share.

    Args:
        mbps: Its rate, in Mbit/s.
    """

    def __init__(self, mbps: float) -> None:
        self._bytes_per_s = mbps * 1e6 / 8
        self._free_s = 0.0
        self.sent_bytes = 0

    async def send(self, size: int) -> None:
        """Waits until some bytes have been put on the link."""
        self._free_s = max(self._free_s, time.monotonic()) + size / self._bytes_per_s
        self.sent_bytes += size
        await asyncio.sleep(max(0.0, self._free_s - time.monotonic()))


class Link:
    """The link, with a forwarder in front of each process on its far side.

    Args:
        there_mbps: Rate towards the far side, in Mbit/s.
        back_mbps: Rate from the far side, in Mbit/s.
        delay_s: Delay of each direction.
    """

    def __init__(self, there_mbps: float, back_mbps: float, delay_s: float) -> None:
        self.there, self.back = Direction(there_mbps), Direction(back_mbps)
        self._delay_s = delay_s
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def forward(self, ip: str, target: str) -> str:
        """Begins to forward connections to a target; returns the address of the forwarder."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._serve(reader, writer, target)

        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        sock.bind((ip, 0))
        server = await asyncio.start_server(serve, sock=sock, limit=PIECE_BYTES)
        self._servers.append(server)
        return "{}:{}".format(*sock.getsockname())

    def stop(self) -> None:
        """Ends it."""
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, target: str
    ) -> None:
        ip, _, port = target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(ip, int(port), limit=PIECE_BYTES)
        except OSError:
            writer.transport.abort()
            return
        tasks = [
            asyncio.create_task(self._pass_on(reader, far_writer, self.there)),
            asyncio.create_task(self._pass_on(far_reader, writer, self.back)),
        ]
        self._tasks.update(tasks)
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
            self._tasks.discard(task)
        for each in (writer, far_writer):
            each.transport.abort()

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: Direction
    ) -> None:
        pieces: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(QUEUE_PIECES)

        async def deliver() -> None:
            while True:
                due_s, data = await pieces.get()
                await asyncio.sleep(max(0.0, due_s - time.monotonic()))
                writer.write(data)
                await writer.drain()

        delivering = asyncio.create_task(deliver())
        try:
            while data := await reader.read(PIECE_BYTES):
                await way.send(len(data))
                await pieces.put((time.monotonic() + self._delay_s, data))
            while not pieces.empty():
                await asyncio.sleep(self._delay_s)
        except OSError:
            pass
        finally:
            delivering.cancel()
