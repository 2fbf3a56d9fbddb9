"""Requests that come late in a planned stop: what was passed on is answered, the rest refused."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from endiveworks.errors import Failure
from endiveworks_daemon import rpc
from endiveworks_daemon.gateway import run as run_module
from endiveworks_daemon.gateway.run import STOP_MARGIN_S, CallerConnections, listen
from endiveworks_daemon.gateway.run import _shut_down as shut_down
from endiveworks_standins.site_caller import read_response
from endiveworks_standins.site_replica import Arrival, Script, buffered_response

from tests.deployed.harness import LOOKUP, ORDER, Deployment, Response, run, streams
from tests.deployed.test_streams import PROGRAM, TURN, turn

LEFT_S = 2.0  # Time from the start of a stop until connections are closed.
LONG_MS = 8_000  # More than the whole stop.


def works_for(seconds: float) -> Script:
    """Returns a script that responds after some work."""

    async def script(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
        await asyncio.sleep(seconds)
        writer.write(buffered_response(arrival, b"done", "200 OK", ()))
        return True

    return script


@contextlib.asynccontextmanager
async def stoppable(deployed: Deployment) -> AsyncIterator[Any]:
    """Serves callers at a listener whose stop begins when `begin` is called."""
    callers = CallerConnections()
    server = await listen("127.0.0.1:0", deployed.gateway.handle, deployed.gateway.limits, callers)
    settings: Any = SimpleNamespace(stop_timeout_s=LEFT_S + STOP_MARGIN_S)
    stops: list[asyncio.Task[None]] = []

    def begin() -> None:
        coro = shut_down(settings, deployed.gateway, callers, server, deployed.stop_time)
        stops.append(asyncio.create_task(coro))

    async def end() -> None:
        await asyncio.gather(*stops)
        for conn in callers.open:  # As the end of the process does.
            conn._writer.transport.abort()

    ip, port = server.sockets[0].getsockname()
    yield SimpleNamespace(begin=begin, end=end, open=lambda: asyncio.open_connection(ip, port))
    server.close()


class TestLateRequests:
    @pytest.fixture(autouse=True)
    def short_delay(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(run_module, "SHUTDOWN_DELAY_S", 0.2)

    def answers(
        self, tmp_path: Path, target: str, work_s: float, at_s: float, body_s: float = 0.0
    ) -> tuple[Response, int]:
        """Returns the response to a request during a stop, and how often it reached a replica.

        Args:
            tmp_path: Folder of the disks.
            target: Path of the request.
            work_s: Time that a replica works on it.
            at_s: When it is sent, after the start of the stop.
            body_s: Time until the last byte of its body is sent.
        """
        found: list[tuple[Response, int]] = []

        async def scenario() -> None:
            replicas = {"shop/a": works_for(work_s), "shop/b": works_for(work_s)}
            async with (
                Deployment(tmp_path, replicas, timeout_ms=LONG_MS) as deployed,
                stoppable(deployed) as entry,
            ):
                reader, writer = await entry.open()
                entry.begin()
                await asyncio.sleep(at_s)
                head_and_body = _request(target, b"order")
                writer.write(head_and_body[:-1])
                await asyncio.sleep(body_s)
                writer.write(head_and_body[-1:])
                response = asyncio.create_task(read_response(reader))
                await entry.end()
                arrivals = sum(len(r.arrivals) for r in deployed.replicas.values())
                found.append((await response, arrivals))
                writer.close()

        run(scenario)
        return found[0]

    @pytest.mark.parametrize("target", [ORDER, LOOKUP])
    def test_early_ones_are_served(self, tmp_path: Path, target: str) -> None:
        response, arrivals = self.answers(tmp_path, target, work_s=0.5, at_s=0.1)
        assert (response.status, response.body, arrivals) == (200, b"done", 1)

    @pytest.mark.parametrize("target", [ORDER, LOOKUP])
    def test_one_whose_body_comes_late_is_refused_and_not_passed_on(
        self, tmp_path: Path, target: str
    ) -> None:
        response, arrivals = self.answers(tmp_path, target, work_s=1.5, at_s=0.1, body_s=1.4)
        assert (response.status, arrivals) == (503, 0)
        assert response.complete
        assert 0 < float(response.headers["retry-after"]) < 0.5

    def test_one_whose_body_does_not_come_is_told_that_it_has_not_run(self, tmp_path: Path) -> None:
        response, arrivals = self.answers(tmp_path, ORDER, work_s=0.1, at_s=0.1, body_s=LEFT_S + 1)
        assert (response.status, arrivals) == (408, 0)

    @pytest.mark.parametrize("target", [ORDER, LOOKUP])
    def test_one_that_takes_too_long_is_answered_before_the_end(
        self, tmp_path: Path, target: str
    ) -> None:
        response, arrivals = self.answers(tmp_path, target, work_s=4.0, at_s=0.1)
        assert response.status in (502, 504) and response.complete
        assert arrivals >= 1

    def test_a_replica_is_told_when_the_stop_ends(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with Deployment(
                tmp_path, {"shop/a": works_for(0.1)}, timeout_ms=LONG_MS
            ) as deployed:
                deployed.stop_time.begin(LEFT_S)
                reply = await deployed.send(ORDER, b"o", Deadline_Ms=str(LONG_MS))
                assert reply.status == 200
                (arrival,) = deployed.replicas["shop/a"].arrivals
                assert int(arrival.headers["deadline-ms"]) <= LEFT_S * 1000

        run(scenario)

    def test_one_that_waits_for_a_place_is_refused_while_it_can_go_elsewhere(
        self, tmp_path: Path
    ) -> None:
        async def scenario() -> None:
            async with Deployment(
                tmp_path, {"llm/a": streams("x", "y")}, timeout_ms=LONG_MS
            ) as deployed:
                deployed.slots = 1
                deployed.replicas["llm/a"].script = works_for(LEFT_S)
                deployed.apply(deployed.view)
                named = [turn(f"t{n}", **PROGRAM | {"Program_Id": str(n)}) for n in range(9)]
                sent = [
                    asyncio.create_task(deployed.send(TURN, b"x", Deadline_Ms=str(LONG_MS), **one))
                    for one in named
                ]
                await asyncio.sleep(0.3)
                at_work = len(deployed.replicas["llm/a"].arrivals)
                assert at_work < len(sent)
                began_s = asyncio.get_running_loop().time()
                deployed.stop_time.begin(LEFT_S)
                replies = await asyncio.gather(*sent)
                assert asyncio.get_running_loop().time() - began_s < LEFT_S
                assert len(deployed.replicas["llm/a"].arrivals) == at_work
                assert sum(reply.status == 503 for reply in replies) == len(sent) - at_work
                assert all(reply.complete for reply in replies)

        run(scenario)

    def test_a_lookup_is_not_sent_once_more_if_it_can_not_end(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async def fail_late(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
                await asyncio.sleep(1.3)
                return False

            replicas = {"shop/a": fail_late, "shop/b": fail_late}
            async with Deployment(tmp_path, replicas, timeout_ms=LONG_MS) as deployed:
                deployed.stop_time.begin(LEFT_S)
                reply = await deployed.send(LOOKUP, b"", Deadline_Ms=str(LONG_MS))
                assert reply.status == 502
                assert sum(len(r.arrivals) for r in deployed.replicas.values()) == 1

        run(scenario)

    def test_one_that_was_sent_ahead_is_answered(self, tmp_path: Path) -> None:
        """Its caller can't tell whether it was read when the connection just closes."""

        async def scenario() -> None:
            async with (
                Deployment(tmp_path, {"shop/a": works_for(0.4)}, timeout_ms=1_000) as deployed,
                stoppable(deployed) as entry,
            ):
                reader, writer = await entry.open()
                for _ in range(3):
                    writer.write(_request(ORDER, b"order"))
                await asyncio.sleep(0.1)
                entry.begin()
                replies = [await read_response(reader) for _ in range(3)]
                assert [reply.status for reply in replies] == [200, 200, 200]
                assert replies[-1].headers["connection"] == "close"
                assert await reader.read() == b""
                await entry.end()
                writer.close()

        run(scenario)


class TestCallsOfOtherProcesses:
    def test_a_call_under_way_is_answered_and_a_later_one_is_not_run(self) -> None:
        """A stopping disk had synced records and cut their writers off."""

        async def scenario() -> None:
            handled: list[bytes] = []

            async def handle(message: bytes) -> bytes:
                handled.append(message)
                await asyncio.sleep(0.3)
                return message

            server = await rpc.serve("127.0.0.1:0", {"echo": handle})
            client = rpc.RpcClient(server.address)
            first = asyncio.create_task(client.call_encoded("echo", b"first", 2.0))
            await asyncio.sleep(0.1)
            finish = asyncio.create_task(_finish(server))
            await asyncio.sleep(0.05)
            later = asyncio.create_task(client.call_encoded("echo", b"later", 2.0))
            assert (await first).unwrap() == b"first"
            await finish
            assert isinstance((await later).failure(), Failure)
            assert handled == [b"first"]
            client.close()

        run(scenario)


async def _finish(server: rpc.RpcServer) -> None:
    await server.finish(1.0)
    await asyncio.sleep(0)
    server.close()


def _request(target: str, body: bytes) -> bytes:
    """Returns the bytes of a request whose deadline is after the stop."""
    lines = [f"POST {target} HTTP/1.1", "Host: site.example", "Request-Id: r1"]
    lines += [f"Deadline-Ms: {LONG_MS}", f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body
