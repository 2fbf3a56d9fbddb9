"""Connections to replicas that the entry closes itself, and that end with their response."""

import asyncio
import contextlib
from pathlib import Path

import pytest
from endiveworks_daemon.gateway.upstreams import ResponseError, UpstreamConnection
from endiveworks_site.headers import read_response as parse_head
from endiveworks_standins.site_replica import SIGNATURE, Arrival, Script, event

from tests.deployed.harness import ORDER, TURN, Deployment, responds, run, write_request

EVENTS = 6


def head(arrival: Arrival) -> bytes:
    """Returns the head of a response whose body ends with its connection."""
    lines = ["HTTP/1.1 200 OK", f"Request-Id: {arrival.id}", f"Server-Signature: {SIGNATURE}"]
    return "\r\n".join([*lines, "", ""]).encode()


def hangs_once_after(last: int) -> Script:
    """Returns a script whose first run sends no event after this one; the others send all.

    The data of an event names the run.
    """
    runs: list[str] = []

    async def script(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
        runs.append(arrival.id)
        writer.write(head(arrival))
        end = last if len(runs) == 1 else EVENTS
        for number in range(int(arrival.headers.get("last-event-id", 0)) + 1, end + 1):
            writer.write(event(number, f"{arrival.id}.{number}"))
        if end < EVENTS:
            await asyncio.sleep(30)
        return False

    return script


async def read_rest(reader: asyncio.StreamReader) -> bytes:
    """Returns what comes within half a second, at most until the end of the connection."""
    received = b""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(0.5):
            while data := await reader.read(1_000):
                received += data
    return received


class TestConnectionThatTheEntryCloses:
    def test_a_stream_resumed_elsewhere_is_not_ended_as_complete(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            script = hangs_once_after(3)
            async with Deployment(tmp_path, {"llm/a": script}, resumable=True) as deployed:
                reader, writer = await deployed.open()
                write_request(writer, TURN, b"one", {"Request_Id": "t1"})
                await reader.readuntil(b"t1.3\n\n")
                named = {"Request_Id": "t2", "Resumes": "t1", "Last_Event_Id": "3"}
                assert (await deployed.send(TURN, b"one", **named)).complete
                assert await read_rest(reader) == b"\r\n"  # Without the last chunk.
                for previous, status in (("t1", 404), ("t2", 200)):
                    reply = await deployed.send(
                        TURN, b"two", Request_Id=f"after-{previous}", Previous_Turn=previous
                    )
                    assert reply.status == status

        run(scenario)

    @pytest.mark.parametrize("closes_before", [False, True])
    def test_its_response_is_never_complete(self, closes_before: bool) -> None:
        async def scenario() -> None:
            async def serve(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                writer.write(head(Arrival("", {"request-id": "r1"}, b"")) + b"half")
                served.append(writer)

            served: list[asyncio.StreamWriter] = []
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            async with server:
                ip, port = server.sockets[0].getsockname()
                conn = UpstreamConnection(*await asyncio.open_connection(ip, port))
                conn.send("GET", "/", [(b"host", b"h")], b"")
                await conn.read_head(parse_head, "r1")
                assert await conn.read_data() == b"half"
                if closes_before:
                    conn.close()
                else:
                    asyncio.get_running_loop().call_later(0.02, conn.close)
                with pytest.raises(ResponseError, match="closed"):
                    await conn.read_data()
            served[0].close()

        run(scenario)


class TestResponseWithoutFraming:
    @pytest.mark.parametrize("target", [ORDER, TURN])
    def test_the_next_request_has_a_new_connection(self, tmp_path: Path, target: str) -> None:
        async def script(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
            writer.write(head(arrival) + event(1, "x"))
            writer.write_eof()  # Further requests could still be read.
            return True

        async def scenario() -> None:
            async with Deployment(tmp_path, {"shop/a": script, "llm/m": script}) as deployed:
                for name in ("r1", "r2", "r3"):
                    reply = await deployed.send(target, b"o", Request_Id=name)
                    assert (reply.status, reply.body) == (200, event(1, "x"))
                replica = deployed.replicas["shop/a" if target == ORDER else "llm/m"]
                assert (len(replica.arrivals), replica.connections) == (3, 3)

        run(scenario)

    def test_an_unframed_refusal_is_followed_by_a_new_connection(self, tmp_path: Path) -> None:
        async def refuse(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
            status = b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
            writer.write(status + f"Request-Id: {arrival.id}\r\n\r\nit is full".encode())
            return False

        async def scenario() -> None:
            scripts = {"shop/a": refuse, "shop/b": responds(b"x")}
            async with Deployment(tmp_path, scripts) as deployed:
                for name in ("r1", "r2"):
                    deployed.fleet.table.record_failure("b")
                    reply = await deployed.send(ORDER, b"o", Request_Id=name)
                    assert (reply.status, reply.body) == (200, b"x")
                assert deployed.replicas["shop/a"].connections == 2

        run(scenario)
