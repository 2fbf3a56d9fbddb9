"""Requests that were passed on are answered, however their streams fail before they begin."""

import asyncio
from pathlib import Path

from endiveworks_standins.site_caller import Response, read_response
from endiveworks_standins.site_replica import Arrival, Script, chunk, event, reset, stream_head

from tests.deployed.harness import DRAFT, TURN, Deployment, run, write_request

BEGUN = 2  # Events that the caller has when it resumes a stream.


def begins_then(resumed: Script) -> Script:
    """Returns a script that sends the first events and no more; resumptions are left to another."""

    async def script(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
        if "last-event-id" in arrival.headers:
            return await resumed(arrival, writer)
        writer.write(stream_head(arrival))
        for number in range(1, BEGUN + 1):
            writer.write(chunk(event(number, "x")))
        await asyncio.sleep(30)
        return True

    return script


def sends(*parts: bytes, resets: bool = False) -> Script:
    """Returns a script that sends these bytes after the head of a stream."""

    async def script(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
        writer.write(stream_head(arrival) + b"".join(parts))
        if resets:
            await writer.drain()
            await asyncio.sleep(0.02)
            reset(writer)
        return not resets

    return script


def breaks_off_an_error(status: str) -> Script:
    """Returns a script whose error response ends within its body."""

    async def script(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
        lines = [f"HTTP/1.1 {status}", f"Request-Id: {arrival.id}", "Content-Length: 100"]
        writer.write("\r\n".join([*lines, "", "part"]).encode())
        await writer.drain()
        return False

    return script


async def begin(deployed: Deployment, target: str) -> None:
    """Begins a stream, and breaks off its connection after the first events."""
    reader, writer = await deployed.open()
    write_request(writer, target, b"one", {"Request_Id": "r1"})
    await reader.readuntil(event(BEGUN, "x"))
    writer.transport.abort()


async def resume_on_kept_connection(deployed: Deployment, target: str) -> Response:
    """Begins a stream and resumes it on a connection that has served a request already."""
    await begin(deployed, target)
    reader, writer = await deployed.open()
    try:
        write_request(writer, "/unknown/x", b"", {"Request_Id": "r2"})
        assert (await read_response(reader)).status == 404
        named = {"Request_Id": "r3", "Resumes": "r1", "Last_Event_Id": str(BEGUN)}
        write_request(writer, target, b"one", named)
        return await read_response(reader)
    finally:
        writer.close()


class TestResumedStream:
    def test_a_stream_with_no_events_left_is_answered(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            replicas = {"llm/a": begins_then(sends(chunk(b"")))}
            async with Deployment(tmp_path, replicas) as deployed:
                reply = await resume_on_kept_connection(deployed, DRAFT)
                assert (reply.status, reply.complete, reply.body) == (200, True, b"")

        run(scenario)

    def test_a_retained_turn_with_no_events_left_is_answered_and_kept(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            replicas = {"llm/a": begins_then(sends(chunk(b"")))}
            async with Deployment(tmp_path, replicas, resumable=True) as deployed:
                reply = await resume_on_kept_connection(deployed, TURN)
                assert (reply.status, reply.complete, reply.body) == (200, True, b"")
                chain = (await deployed.turns.read_chain("r3", 1.0)).unwrap()
                assert [(turn.prompt, turn.output) for turn in chain] == [(b"one", b"x\nx\n")]

        run(scenario)

    def test_a_stream_that_breaks_under_another_version_is_answered(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async def changes_version(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
                deployed.versions["a"] = "v2"
                deployed.apply(deployed.view)
                return await sends(resets=True)(arrival, writer)

            async with Deployment(tmp_path, {"llm/a": begins_then(changes_version)}) as deployed:
                assert (await resume_on_kept_connection(deployed, DRAFT)).status == 502

        run(scenario)


class TestNewStream:
    def test_a_stream_without_events_is_answered(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with Deployment(tmp_path, {"llm/a": sends(chunk(b""))}) as deployed:
                for target in (TURN, DRAFT):
                    assert (await deployed.send(target, b"one")).status == 502

        run(scenario)

    def test_an_error_that_breaks_off_is_answered(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            script = breaks_off_an_error("500 Internal Server Error")
            async with Deployment(tmp_path, {"llm/a": script}) as deployed:
                for target in (TURN, DRAFT):
                    assert (await deployed.send(target, b"one")).status == 502

        run(scenario)
