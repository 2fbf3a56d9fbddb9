"""Replicas that fail requests at once while others serve theirs; requests that fail anywhere."""

import asyncio
import itertools
import time
from pathlib import Path

import pytest
from endiveworks.gateway.outcomes import Source
from endiveworks_standins.site_replica import (
    Arrival,
    Script,
    buffered_response,
    chunk,
    event,
    stream_head,
)
from endiveworks_standins.site_replica import reset as reset_connection

from tests.deployed.harness import (
    DRAFT,
    LOOKUP,
    ORDER,
    TURN,
    Deployment,
    Entry,
    responds,
    run,
)

ERROR = "500 Internal Server Error"
HARMFUL = b"harmful"
REQUESTS = 60
# A replica that fails may get this many of them: what it takes to tell, and some trials.
MAX_AT_FAILING = 12
SERVED_AGAIN_S = 4.0


async def resets(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
    """Resets the connection of each request."""
    reset_connection(writer)
    return False


def fails_harmful(script: Script) -> Script:
    """Returns a script that answers harmful requests with an error, and others as another one."""
    fail = responds(b"error", ERROR)

    async def chosen(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
        harmful = arrival.body.startswith(HARMFUL)
        return await (fail if harmful else script)(arrival, writer)

    return chosen


class Callers:
    """Callers of one entry, each request of another program.

    Attributes:
        statuses: Statuses of the responses.
    """

    def __init__(self, deployed: Deployment, target: str) -> None:
        self.deployed = deployed
        self.target = target
        self.statuses: list[int] = []
        self._numbers = itertools.count()

    async def send(self, count: int = 1, pause_s: float = 0.01, body: bytes = b"") -> None:
        """Sends requests one after another; without a body each has its own."""
        for _ in range(count):
            number = next(self._numbers)
            reply = await self.deployed.send(
                self.target,
                body or b"%d" % number,
                Request_Id=f"r{number}",
                Program_Id=f"p{number}",
                Prompt_Prefix=f"aa:1000,{number + 4096:x}:200",
                Token_Usage="1200,30",
            )
            self.statuses.append(reply.status)
            await asyncio.sleep(pause_s)

    def arrivals(self, name: str) -> int:
        """Returns the number of requests that a replica has received."""
        return len(self.deployed.replicas[name].arrivals)


async def streams_evenly(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
    """Streams events with a pause, so that their measured latency is that of the script."""
    writer.write(stream_head(arrival))
    for number in range(1, 4):
        await asyncio.sleep(0.005)
        writer.write(chunk(event(number, "x")))
    writer.write(chunk(b""))
    return True


async def answers_evenly(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
    """Sends a complete response after a pause, for the same reason."""
    await asyncio.sleep(0.005)
    writer.write(buffered_response(arrival, b"done"))
    return True


def sound_script(target: str) -> Script:
    return streams_evenly if target in (TURN, DRAFT) else answers_evenly


def service_of(target: str) -> str:
    return "llm" if target in (TURN, DRAFT) else "shop"


class TestReplicaThatFailsAtOnce:
    @pytest.mark.parametrize("target", [TURN, DRAFT, ORDER, LOOKUP])
    @pytest.mark.parametrize("failing", ["errors", "resets", "client errors"])
    def test_it_does_not_draw_requests(self, tmp_path: Path, target: str, failing: str) -> None:
        script = {
            "errors": responds(b"error", ERROR),
            "resets": resets,
            "client errors": responds(b"unknown", "404 Not Found"),
        }[failing]

        async def scenario() -> None:
            service = service_of(target)
            sound = sound_script(target)
            replicas = {f"{service}/a": script, f"{service}/b": sound, f"{service}/c": sound}
            async with Deployment(tmp_path, replicas) as deployed:
                await deployed.wait_for_disks()
                callers = Callers(deployed, target)
                await callers.send(REQUESTS)
                assert callers.arrivals(f"{service}/a") <= MAX_AT_FAILING
                assert callers.statuses.count(200) >= REQUESTS - MAX_AT_FAILING

        run(scenario)

    @pytest.mark.parametrize("target", [DRAFT, LOOKUP])
    def test_a_request_that_may_be_repeated_is_served_elsewhere(
        self, tmp_path: Path, target: str
    ) -> None:
        async def scenario() -> None:
            service = service_of(target)
            replicas = {
                f"{service}/a": responds(b"error", ERROR),
                f"{service}/b": sound_script(target),
            }
            async with Deployment(tmp_path, replicas, max_attempts=2) as deployed:
                await deployed.wait_for_disks()
                callers = Callers(deployed, target)
                await callers.send(20)
                assert callers.statuses == [200] * 20
                assert callers.arrivals(f"{service}/a") > 0

        run(scenario)

    @pytest.mark.parametrize("target", [TURN, ORDER])
    def test_one_that_serves_again_gets_requests_soon(self, tmp_path: Path, target: str) -> None:
        async def scenario() -> None:
            service = service_of(target)
            sound = sound_script(target)
            failing = responds(b"error", ERROR)
            replicas = {f"{service}/a": failing, f"{service}/b": sound}
            async with Deployment(tmp_path, replicas) as deployed:
                await deployed.wait_for_disks()
                callers = Callers(deployed, target)
                await callers.send(REQUESTS)
                deployed.replicas[f"{service}/a"].script = sound
                repaired_s = time.monotonic()
                while time.monotonic() < repaired_s + SERVED_AGAIN_S:
                    await callers.send()
                before = [callers.arrivals(f"{service}/{name}") for name in "ab"]
                await callers.send(REQUESTS)
                after = [callers.arrivals(f"{service}/{name}") for name in "ab"]
                got = [late - early for early, late in zip(before, after, strict=True)]
                assert min(got) >= REQUESTS / 5, got

        run(scenario)

    def test_it_gets_few_trials(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            replicas = {"shop/a": responds(b"error", ERROR), "shop/b": answers_evenly}
            async with Deployment(tmp_path, replicas) as deployed:
                callers = Callers(deployed, ORDER)
                await callers.send(REQUESTS)
                before = callers.arrivals("shop/a")
                started_s = time.monotonic()
                while time.monotonic() < started_s + 5.0:
                    await callers.send()
                trials = callers.arrivals("shop/a") - before
                assert 1 <= trials <= 6

        run(scenario)

    @pytest.mark.parametrize("target", [TURN, ORDER])
    def test_one_that_answers_nothing_does_not_draw_requests(
        self, tmp_path: Path, target: str
    ) -> None:
        async def hangs(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
            await asyncio.sleep(30)
            return False

        async def scenario() -> None:
            service = service_of(target)
            sound = sound_script(target)
            replicas = {f"{service}/a": hangs, f"{service}/b": sound}
            async with Deployment(tmp_path, replicas, timeout_ms=1300) as deployed:
                deployed.slots = 40
                deployed.apply(deployed.view)
                await deployed.wait_for_disks()
                callers = Callers(deployed, target)
                for _ in range(2):
                    await asyncio.gather(*(callers.send() for _ in range(16)))
                before = callers.arrivals(f"{service}/a")
                await asyncio.gather(*(callers.send() for _ in range(16)))
                assert callers.arrivals(f"{service}/a") - before <= 1

        run(scenario)


class TestRequestsThatFailAnywhere:
    def test_a_harmful_request_condemns_no_replica(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            sound = fails_harmful(answers_evenly)
            replicas = {"shop/a": sound, "shop/b": sound, "shop/c": answers_evenly}
            async with Deployment(tmp_path, replicas) as deployed:
                callers = Callers(deployed, ORDER)
                for _ in range(30):
                    await callers.send(body=HARMFUL)
                    await callers.send()
                before = [callers.arrivals(f"shop/{name}") for name in "abc"]
                await callers.send(90, pause_s=0.0)
                after = [callers.arrivals(f"shop/{name}") for name in "abc"]
                got = [late - early for early, late in zip(before, after, strict=True)]
                assert min(got) >= 10, got

        run(scenario)

    @pytest.mark.parametrize("target", [TURN, ORDER])
    def test_callers_get_the_errors_at_once_if_all_replicas_fail(
        self, tmp_path: Path, target: str
    ) -> None:
        async def scenario() -> None:
            service = service_of(target)
            failing = responds(b"error", ERROR)
            replicas = {f"{service}/a": failing, f"{service}/b": failing}
            async with Deployment(tmp_path, replicas) as deployed:
                await deployed.wait_for_disks()
                callers = Callers(deployed, target)
                started_s = time.monotonic()
                await callers.send(REQUESTS, pause_s=0.0)
                assert callers.statuses == [500] * REQUESTS
                assert time.monotonic() - started_s < 5.0

        run(scenario)

    def test_the_replicas_error_is_forwarded_if_there_is_no_other(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            replicas = {"llm/a": responds(b"own", ERROR)}
            async with Deployment(tmp_path, replicas, max_attempts=2) as deployed:
                await deployed.wait_for_disks()
                reply = await deployed.send(DRAFT, b"p", Request_Id="r")
                assert (reply.status, reply.body) == (500, b"own")

        run(scenario)


def fail_different_requests(entry: Entry, replica: str) -> None:
    """Lets an entry find that a replica fails its requests."""
    for number in range(3):
        entry.fleet.table.record_error(replica, Source(f"p{number}"))
    assert entry.fleet.table.is_failing(replica)


class TestSeveralEntries:
    def test_what_one_has_found_spares_the_others_failures(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            replicas = {"shop/a": responds(b"error", ERROR), "shop/b": answers_evenly}
            async with Deployment(tmp_path, replicas) as deployed:
                other = await deployed.add_entry()
                fail_different_requests(deployed, "a")
                before = len(deployed.replicas["shop/a"].arrivals)
                other.fleet.table.adopt_sightings(deployed.fleet.table.sightings())
                for number in range(20):
                    await other.send(ORDER, b"o%d" % number, Request_Id=f"o{number}")
                assert len(deployed.replicas["shop/a"].arrivals) - before <= 2

        run(scenario)

    def test_a_replica_that_fails_for_one_entry_only_serves_the_others(
        self, tmp_path: Path
    ) -> None:
        async def scenario() -> None:
            replicas = {"shop/a": responds(b"error", ERROR), "shop/b": answers_evenly}
            async with Deployment(tmp_path, replicas) as deployed:
                other = await deployed.add_entry()
                fail_different_requests(deployed, "a")
                deployed.replicas["shop/a"].script = answers_evenly
                before = len(deployed.replicas["shop/a"].arrivals)
                for number in range(40):
                    other.fleet.table.adopt_sightings(deployed.fleet.table.sightings())
                    await other.send(ORDER, b"o%d" % number, Request_Id=f"o{number}")
                assert len(deployed.replicas["shop/a"].arrivals) - before >= 10

        run(scenario)
