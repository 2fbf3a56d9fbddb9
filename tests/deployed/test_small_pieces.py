"""Input in pieces so small that parsing them takes long."""

import asyncio
import time
from pathlib import Path

import h11
import pytest
from endiveworks_daemon.gateway.parse_turns import MANY_LINES, ParseTurns
from endiveworks_standins.site_caller import HOSTNAME, read_response, write_chunked_request

from tests.deployed.harness import LOOKUP, ORDER, Deployment, responds, run

BODY_BYTES = 256 * 1024
CHUNK_BYTES = 16
# Steps of the parser for a body that is read in pieces of 4 KiB at least.
MOST_STEPS = BODY_BYTES // 1024
TURN_S = 0.2
STEPS = 50


@pytest.fixture
def steps(monkeypatch: pytest.MonkeyPatch) -> list[object]:
    """The events that parsers return, for callers and replicas together."""
    found: list[object] = []
    next_event = h11.Connection.next_event

    def counted(conn: h11.Connection) -> object:
        found.append(next_event(conn))
        return found[-1]

    monkeypatch.setattr(h11.Connection, "next_event", counted)
    return found


class TestSmallChunks:
    def test_the_parser_takes_few_steps(self, tmp_path: Path, steps: list[object]) -> None:
        async def scenario() -> None:
            async with Deployment(tmp_path, {"shop/a": responds(b"done")}) as deployment:
                reader, writer = await deployment.open()
                body = bytes(range(256)) * (BODY_BYTES // 256)
                write_chunked_request(writer, ORDER, body, CHUNK_BYTES, {})
                assert (await read_response(reader)).status == 200
                writer.close()
                (arrival,) = deployment.replicas["shop/a"].arrivals
                assert arrival.body == body

        run(scenario)
        assert len(steps) < MOST_STEPS

    @pytest.mark.parametrize("split", [1, 7, 40])
    def test_a_body_that_begins_with_its_head_is_whole(self, tmp_path: Path, split: int) -> None:
        async def scenario() -> None:
            async with Deployment(tmp_path, {"shop/a": responds(b"done")}) as deployment:
                reader, writer = await deployment.open()
                head = f"POST {ORDER} HTTP/1.1\r\nHost: {HOSTNAME}\r\nRequest-Id: r1\r\n"
                head += "Transfer-Encoding: chunked\r\n\r\n"
                body = b"3\r\nabc\r\n" * 10 + b"0\r\n\r\n"
                following = f"GET {LOOKUP} HTTP/1.1\r\nHost: {HOSTNAME}\r\nRequest-Id: r2\r\n\r\n"
                writer.write(head.encode() + body[:split])
                await asyncio.sleep(0.05)
                writer.write(body[split:] + following.encode())
                assert (await read_response(reader)).headers["request-id"] == "r1"
                assert (await read_response(reader)).headers["request-id"] == "r2"
                writer.close()
                first, second = deployment.replicas["shop/a"].arrivals
                assert (first.body, second.body) == (b"abc" * 10, b"")

        run(scenario)

    @pytest.mark.parametrize("body", [b"x\r\n", b"3\r\nabcd\r\n0\r\n\r\n", b"3\r\nabc5\r\n"])
    def test_malformed_chunks_are_refused(self, tmp_path: Path, body: bytes) -> None:
        async def scenario() -> None:
            async with Deployment(tmp_path, {"shop/a": responds(b"done")}) as deployment:
                reader, writer = await deployment.open()
                head = f"POST {ORDER} HTTP/1.1\r\nHost: {HOSTNAME}\r\nRequest-Id: r1\r\n"
                writer.write(f"{head}Transfer-Encoding: chunked\r\n\r\n".encode() + body)
                assert (await read_response(reader)).status == 400
                assert not deployment.replicas["shop/a"].arrivals
                writer.close()

        run(scenario)


class TestManyLines:
    def test_a_head_with_many_lines_is_served(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with Deployment(tmp_path, {"shop/a": responds(b"done")}) as deployment:
                many = {f"A{number}": "b" for number in range(2 * MANY_LINES)}
                assert (await deployment.send(ORDER, b"o", **many)).status == 200
                (arrival,) = deployment.replicas["shop/a"].arrivals
                assert {name.lower() for name in many} <= set(arrival.headers)

        run(scenario)


class TestParseTurns:
    def test_others_go_on_between_two_turns(self) -> None:
        async def scenario() -> None:
            turns = ParseTurns()
            done = 0

            async def parse() -> int:
                async with turns.turn():
                    time.sleep(TURN_S)  # As a parser would, without giving way to others.
                    return done

            async def step() -> None:
                nonlocal done
                for _ in range(STEPS):
                    await asyncio.sleep(0)
                    done += 1

            first, second, _ = await asyncio.gather(parse(), parse(), step())
            assert first < STEPS <= second

        run(scenario)
