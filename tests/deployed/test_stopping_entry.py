"""An entry that stops while callers have not read their responses yet."""

import asyncio
import socket
from types import SimpleNamespace
from typing import Any

from endiveworks.gateway.routes import Limits
from endiveworks_daemon.gateway.callers import RawRequest, Responder
from endiveworks_daemon.gateway.run import SHUTDOWN_DELAY_S, CallerConnections, listen
from endiveworks_daemon.gateway.run import _shut_down as shut_down
from endiveworks_daemon.gateway.stop_time import StopTime
from endiveworks_standins.site_caller import read_response, write_request

from tests.deployed.harness import run

BODY = b"x" * 48 * 1024  # Less than a connection buffers before its writer has to wait.
BUFFER_BYTES = 4096
STOP_TIMEOUT_S = 10.0
LEFT_UNREAD_S = SHUTDOWN_DELAY_S + 0.25  # Connections end if nothing is taken in for 3 s.


async def open_slow_reader(server: asyncio.Server) -> tuple[Any, asyncio.StreamWriter]:
    """Opens a connection that takes in little while nothing is read."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, server.sockets[0].getsockname())
    return await asyncio.open_connection(sock=sock, limit=BUFFER_BYTES)


class TestStop:
    def test_a_response_that_is_read_slowly_is_not_cut_by_the_end(self) -> None:
        async def scenario() -> None:
            callers = CallerConnections()
            gateway: Any = SimpleNamespace(in_flight=0)
            settings: Any = SimpleNamespace(stop_timeout_s=STOP_TIMEOUT_S)
            stopping: list[asyncio.Task[None]] = []
            transports: list[asyncio.WriteTransport] = []

            async def handle(received: RawRequest, responder: Responder) -> None:
                await responder.respond(200, [], BODY)
                transport = responder._writer.transport
                if transport.get_write_buffer_size() and not stopping:
                    transports.append(transport)
                    stopping.append(
                        asyncio.create_task(
                            shut_down(settings, gateway, callers, server, StopTime())
                        )
                    )
                    await asyncio.sleep(0)  # The stop begins.

            server = await listen("127.0.0.1:0", handle, Limits, callers)
            reader, writer = await open_slow_reader(server)
            sent = 0
            while not stopping:
                write_request(writer, "/x", b"", {"Request_Id": f"r{sent}"})
                sent += 1
                await asyncio.sleep(0.01)
            await asyncio.wait(stopping, timeout=LEFT_UNREAD_S)
            if stopping[0].done():
                transports[0].abort()  # As the end of the process does.
            replies = [await read_response(reader) for _ in range(sent)]
            assert [len(reply.body) for reply in replies if reply.complete] == [len(BODY)] * sent
            await stopping[0]
            writer.close()

        run(scenario)
