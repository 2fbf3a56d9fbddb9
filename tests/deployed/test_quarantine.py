"""Requests that end the replicas that run them."""

import asyncio
from pathlib import Path

from endiveworks.gateway.suspects import HOLD_CRASHES, HOLD_S, MAX_CRASHES
from endiveworks_standins.site_replica import (
    Arrival,
    Script,
    SiteReplica,
    buffered_response,
    chunk,
    event,
    stream_head,
)
from endiveworks_standins.site_replica import reset as reset_connection

from tests.deployed.harness import DRAFT, LOOKUP, ORDER, Deployment, run, streams

HARMFUL = b"harmful"
REPETITIONS = 12
DOWN_S = 0.3


def ends_at(harmful: bytes, replicas: list[SiteReplica]) -> Script:
    """Returns a script that ends its replica for a while when it gets a harmful request."""
    restarts = set()

    async def restart(replica: SiteReplica) -> None:
        await asyncio.sleep(DOWN_S)
        await replica.start()

    async def script(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
        if arrival.body != harmful:
            writer.write(buffered_response(arrival, b"done"))
            return True
        ended = next(r for r in replicas if arrival in r.arrivals)
        ended.stop()
        reset_connection(writer)
        restarts.add(asyncio.create_task(restart(ended)))
        return False

    return script


def harmful_arrivals(deployed: Deployment) -> int:
    """Returns how many times replicas got the harmful request."""
    return sum(
        arrival.body == HARMFUL
        for replica in deployed.replicas.values()
        for arrival in replica.arrivals
    )


class TestRequestThatEndsReplicas:
    def test_a_request_that_ends_each_replica_is_soon_refused(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            replicas: list[SiteReplica] = []
            script = ends_at(HARMFUL, replicas)
            async with Deployment(tmp_path, {f"shop/{n}": script for n in "abcdef"}) as deployed:
                replicas += deployed.replicas.values()
                statuses = []
                for number in range(REPETITIONS):
                    reply = await deployed.send(ORDER, HARMFUL, Request_Id=f"{number:016x}")
                    statuses.append(reply.status)
                    await asyncio.sleep(0.1)
                    other = await deployed.send(ORDER, b"other", Request_Id=f"{number:015x}f")
                    assert other.status == 200
                assert harmful_arrivals(deployed) == HOLD_CRASHES
                refused = REPETITIONS - HOLD_CRASHES
                assert statuses == [502] * HOLD_CRASHES + [503] * refused
                assert HOLD_S - 5 < float(reply.headers["retry-after"]) <= HOLD_S

        run(scenario)

    def test_a_lost_response_of_a_replica_that_goes_on_is_not_held_against_a_request(
        self, tmp_path: Path
    ) -> None:
        async def scenario() -> None:
            async def script(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
                reset_connection(writer)
                return False

            async with Deployment(tmp_path, {"shop/a": script, "shop/b": script}) as deployed:
                for _ in range(2 * REPETITIONS):
                    assert (await deployed.send(ORDER, b"x")).status == 502
                    await asyncio.sleep(0.05)

        run(scenario)

    def test_a_repetition_within_one_request_counts_as_well(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            replicas: list[SiteReplica] = []
            script = ends_at(b"", replicas)
            async with Deployment(tmp_path, {f"shop/{n}": script for n in "abcdef"}) as deployed:
                replicas += deployed.replicas.values()
                for number in range(REPETITIONS):
                    await deployed.send(LOOKUP, Request_Id=f"{number:016x}")
                    await asyncio.sleep(0.1)
                arrivals = sum(len(replica.arrivals) for replica in replicas)
                assert arrivals <= MAX_CRASHES + 1

        run(scenario)


class TestStreamThatEndsReplicas:
    def test_a_response_goes_on_at_no_more_replicas_than_a_request_may_end(
        self, tmp_path: Path
    ) -> None:
        async def scenario() -> None:
            replicas: list[SiteReplica] = []
            script = streams_then_ends(replicas)
            async with Deployment(tmp_path, {f"llm/{n}": script for n in "abcdef"}) as deployed:
                replicas += deployed.replicas.values()
                reply = await deployed.send(DRAFT, HARMFUL, Request_Id="r1")
                assert (reply.status, reply.complete) == (200, False)
                assert harmful_arrivals(deployed) == HOLD_CRASHES
                resumed = {"Resumes": "r1", "Last_Event_Id": str(HOLD_CRASHES)}
                again = await deployed.send(DRAFT, HARMFUL, Request_Id="r2", **resumed)
                assert (again.status, "retry-after" in again.headers) == (503, True)
                assert harmful_arrivals(deployed) == HOLD_CRASHES

        run(scenario)

    def test_a_stream_that_breaks_at_replicas_that_go_on_is_not_stopped(
        self, tmp_path: Path
    ) -> None:
        async def scenario() -> None:
            script = streams("x", "y", cut_after=1)
            async with Deployment(tmp_path, {"llm/a": script}) as deployed:
                for number in range(REPETITIONS):
                    deployed.replicas["llm/a"].script = streams("x", "y", cut_after=1)
                    reply = await deployed.send(DRAFT, b"p", Request_Id=f"r{number}")
                    assert (reply.status, reply.complete) == (200, True)

        run(scenario)


def streams_then_ends(replicas: list[SiteReplica]) -> Script:
    """Returns a script that sends one more event of a stream and then ends its replica."""

    async def script(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
        ended = next(r for r in replicas if arrival in r.arrivals)
        ended.stop()
        number = int(arrival.headers.get("last-event-id", 0)) + 1
        writer.write(stream_head(arrival) + chunk(event(number, "x")))
        await writer.drain()
        await asyncio.sleep(0.02)
        reset_connection(writer)
        return False

    return script
