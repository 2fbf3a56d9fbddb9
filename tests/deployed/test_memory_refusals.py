"""What callers and operators see of an entry whose memory is short."""

import asyncio
import gc
import json
import tracemalloc
from collections.abc import Callable
from pathlib import Path

from endiveworks.gateway.memory_budget import LARGE_SHARE, NEW_SHARE, STALLED_S
from endiveworks_standins.site_caller import HOSTNAME, read_response
from endiveworks_standins.site_replica import Arrival, chunk
from structlog.testing import capture_logs

from tests.deployed.harness import LOOKUP, ORDER, TURN, Deployment, responds, run, streams

MEMORY_MB = 128.0
HEADS = f"POST {ORDER} HTTP/1.1\r\nHost: {HOSTNAME}\r\nRequest-Id: r1\r\n"
LONG = {"Deadline_Ms": "20000"}


def fill(deployment: Deployment, share: float) -> Callable[[], None]:
    """Takes a share of the memory that may be held; returns a function that gives it back."""
    size = int(deployment.memory.bound * share)
    deployment.memory.add(size)
    return lambda: deployment.memory.add(-size)


def deploy(tmp_path: Path) -> Deployment:
    """Returns a deployment with a replica of each service."""
    replicas = {"shop/a": responds(b"done"), "llm/b": streams("x")}
    return Deployment(tmp_path, replicas, memory_mb=MEMORY_MB, timeout_ms=20_000)


class TestRefusals:
    def test_a_new_request_is_refused_unsent_and_served_when_it_comes_back(
        self, tmp_path: Path
    ) -> None:
        async def scenario() -> None:
            async with deploy(tmp_path) as deployment:
                give_back = fill(deployment, 0.85)
                refused = await deployment.send(ORDER, b"o")
                assert refused.status == 503
                assert refused.headers["request-id"] == "r1"
                assert refused.headers["connection"] == "close"
                assert 0 < float(refused.headers["retry-after"]) <= 4.5
                assert deployment.replicas["shop/a"].arrivals == []
                give_back()
                assert (await deployment.send(ORDER, b"o")).status == 200

        run(scenario)

    def test_a_body_that_was_announced_is_not_asked_for(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with deploy(tmp_path) as deployment:
                fill(deployment, 0.75)
                reader, writer = await deployment.open()
                lines = f"{HEADS}Content-Length: 4000000\r\nExpect: 100-continue\r\n\r\n"
                writer.write(lines.encode())
                assert (await read_response(reader)).status == 503
                writer.close()

        run(scenario)

    def test_a_body_of_unknown_length_is_refused_when_it_grows_too_long(
        self, tmp_path: Path
    ) -> None:
        async def scenario() -> None:
            async with deploy(tmp_path) as deployment:
                fill(deployment, 0.79)
                reader, writer = await deployment.open()
                writer.write(f"{HEADS}Transfer-Encoding: chunked\r\n\r\n".encode())
                for _ in range(60):
                    writer.write(chunk(b"x" * 64_000))
                writer.write(chunk(b""))
                assert (await read_response(reader)).status == 503
                assert deployment.replicas["shop/a"].arrivals == []
                writer.close()

        run(scenario)

    def test_long_bodies_leave_room_for_ordinary_requests(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with deploy(tmp_path) as deployment:
                fill(deployment, LARGE_SHARE)
                assert (await deployment.send(ORDER, b"x" * 1_000_000)).status == 503
                assert (await deployment.send(ORDER, b"o")).status == 200
                assert len(deployment.replicas["shop/a"].arrivals) == 1

        run(scenario)

    def test_headers_count_by_their_objects(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with deploy(tmp_path) as deployment:
                fill(deployment, 0.77)
                assert (await deployment.send(ORDER, b"o")).status == 200
                many = {f"A{number}": "b" for number in range(2_500)}
                assert (await deployment.send(ORDER, b"o", **many)).status == 503
                assert len(deployment.replicas["shop/a"].arrivals) == 1

        run(scenario)

    def test_a_connection_beyond_the_bound_is_closed_unread(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with deploy(tmp_path) as deployment:
                fill(deployment, 1.0)
                assert (await deployment.send(ORDER, b"o")).status == 0
                assert deployment.memory.held <= deployment.memory.bound

        run(scenario)


class TestCuts:
    def test_slow_senders_and_idle_connections_make_room_and_are_told_apart(
        self, tmp_path: Path
    ) -> None:
        async def scenario() -> None:
            async with deploy(tmp_path) as deployment:
                sender, slow = await deployment.open()
                slow.write(f"{HEADS}Content-Length: 4000000\r\n\r\n".encode())
                idle, idle_writer = await deployment.open()
                served_reader, served = await deployment.open()
                served.write(f"{HEADS}Content-Length: 1\r\n\r\no".encode())
                assert (await read_response(served_reader)).status == 200
                give_back = fill(deployment, 0.85)
                assert (await read_response(sender)).status == 408
                assert await idle.read() == b""
                # It has been idle for less long, and may be cut a sweep later.
                assert await served_reader.read() == b""
                give_back()
                while deployment.memory.held:
                    await asyncio.sleep(0.1)
                await asyncio.sleep(1.5)
                counters = deployment.metrics.snapshot().counters
                counts = {row.name: row.value for row in counters if not row.group}
                assert counts["senders_cut"] == 1
                assert counts["idle_connections_cut"] == 2
                assert "readers_cut" not in counts
                for writer in (slow, idle_writer, served):
                    writer.close()

        with capture_logs() as lines:
            run(scenario)
        events = [line["event"] for line in lines if line["part"] == "memory"]
        assert events[0] == "memory_short" and events[-1] == "memory_regained"
        assert events.count("caller_cut") == 3
        assert "r1" not in json.dumps([line for line in lines if line["part"] == "memory"])

    def test_a_sender_that_has_stopped_gives_way_to_a_new_request(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with deploy(tmp_path) as deployment:
                sender, slow = await deployment.open()
                slow.write(f"{HEADS}Content-Length: 4000000\r\n\r\n".encode())
                while deployment.memory.held < 4_000_000:
                    await asyncio.sleep(0.01)
                fill(deployment, NEW_SHARE - deployment.memory.held / deployment.memory.bound)
                await asyncio.sleep(STALLED_S)
                assert (await deployment.send(ORDER, b"o")).status == 200
                assert (await read_response(sender)).status == 408
                slow.close()

        run(scenario)

    def test_what_a_cut_sender_had_sent_is_freed_without_a_garbage_collection(
        self, tmp_path: Path
    ) -> None:
        async def scenario() -> None:
            async with deploy(tmp_path) as deployment:
                reader, writer = await deployment.open()
                writer.write(f"{HEADS}Content-Length: 4000000\r\n\r\n".encode())
                writer.write(b"x" * 3_000_000)
                await writer.drain()
                while tracemalloc.get_traced_memory()[0] < 3_000_000:
                    await asyncio.sleep(0.01)
                fill(deployment, 0.85)
                assert (await read_response(reader)).status == 408
                writer.close()
                while deployment.callers.open:
                    await asyncio.sleep(0.01)
                assert tracemalloc.get_traced_memory()[0] < 1_000_000

        gc.collect()
        gc.disable()
        tracemalloc.start()
        try:
            run(scenario)
        finally:
            tracemalloc.stop()
            gc.enable()

    def test_nobody_is_cut_while_there_is_memory(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with deploy(tmp_path) as deployment:
                reader, writer = await deployment.open()
                writer.write(f"{HEADS}Content-Length: 4\r\n\r\n12".encode())
                await asyncio.sleep(4.0)
                writer.write(b"34")
                assert (await read_response(reader)).status == 200
                writer.close()

        run(scenario)


class TestReplicaMemory:
    def test_a_turn_waits_until_its_tokens_fit_beside_the_others(self, tmp_path: Path) -> None:
        running: list[str] = []
        most = [0]

        async def slow(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
            running.append(arrival.id)
            most[0] = max(most[0], len(running))
            await asyncio.sleep(0.1)
            running.remove(arrival.id)
            return await streams("x")(arrival, writer)

        async def play(parts: str) -> int:
            most[0] = 0
            async with Deployment(tmp_path, {"llm/a": slow}, memory_mb=MEMORY_MB) as deployment:
                named = {"Token_Usage": "60000,100"}
                sent = [
                    deployment.send(
                        TURN, b"t", Request_Id=f"t{n}", Prompt_Prefix=parts % n, **named
                    )
                    for n in range(4)
                ]
                assert all(response.complete for response in await asyncio.gather(*sent))
            return most[0]

        async def scenario() -> None:
            # A replica holds 100,000 tokens and runs 4 requests at once.
            assert await play("a%d:60000") == 1
            assert await play("5ead:59000,a%d:1000") == 4

        run(scenario)

    def test_services_without_engines_have_no_bound(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with deploy(tmp_path) as deployment:
                named = {"Token_Usage": "900000,100", "Prompt_Prefix": "a:900000"}
                sent = [deployment.send(LOOKUP, Request_Id=f"l{n}", **named) for n in range(4)]
                assert [r.status for r in await asyncio.gather(*sent)] == [200] * 4

        run(scenario)
