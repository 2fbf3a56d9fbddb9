"""Choice of a replica by an entry, with the state that it keeps of all replicas of a service."""

import asyncio
import time

from endiveworks.gateway.messages import Program, Replica, Request
from endiveworks.gateway.placement import Location
from endiveworks.gateway.prefixes import PromptPart
from endiveworks.gateway.request_queue import QueuedRequest
from endiveworks.gateway.routes import EngineConfig, Service

from ..gateway.fleet import Fleet
from ..gateway.replica_table import ReplicaGroup

SERVICE = Service("llm", 100, EngineConfig(6, 200_000, 1))
PARTS = (PromptPart("shared", 12_600), PromptPart("own", 1_680))


def fleet_of(count: int) -> Fleet:
    """Returns the state of an entry that has served a request at each of several replicas."""
    fleet = Fleet(Location("edin", "east"))
    replicas = {
        f"r{n}": Replica(f"r{n}", "llm", "10.0.0.1:80", "edin", "east", 6, False)
        for n in range(count)
    }
    fleet.update(replicas, {"llm": SERVICE})
    for replica in replicas:
        tracked = fleet.track_request("llm", replica, request("warm-up"))
        tracked.record_response()
        tracked.end()
    return fleet


def request(program: str) -> Request:
    return Request("1", "POST", "/", "h", [], 4.0, Program(program, 4.0, None), PARTS)


async def choice_time_s(count: int, choices: int = 20) -> float:
    """Returns the shortest time of several choices among some number of replicas, in seconds."""
    fleet = fleet_of(count)
    took_s = []
    for n in range(choices):
        queued = QueuedRequest(str(n), 0, 4.0, 0.0, time.monotonic() + 4.0)
        started_s = time.perf_counter()
        choice = await fleet.acquire(ReplicaGroup("llm"), request(f"p{n}"), queued, ())
        took_s.append(time.perf_counter() - started_s)
        assert choice.replica
    return min(took_s)


class TestGrowth:
    def test_the_time_of_a_choice_grows_with_the_replicas_and_not_with_their_square(self) -> None:
        small, large = asyncio.run(choice_time_s(40)), asyncio.run(choice_time_s(400))
        # Ten times the replicas; a square would be a hundred times.
        assert large < 30 * small


class TestRegionWithoutRoom:
    def choices(self, demand: int) -> list[str]:
        """Returns the regions of the replicas of many programs, with turns of other entries.

        The one replica of this region has the shared part of their prompts in its cache, and
        `demand` turns of other entries; four replicas of another region have none.
        """
        fleet = Fleet(Location("edin", "east"))
        regions = {"near": "east"} | {f"far{n}": "west" for n in range(4)}
        replicas = {
            name: Replica(name, "llm", "10.0.0.1:80", f"{region}-1", region, 6, False)
            for name, region in regions.items()
        }
        fleet.update(replicas, {"llm": SERVICE})
        fleet.track_request("llm", "near", request("warm-up")).end()
        fleet.set_other_demand(lambda name: demand if name == "near" else 0)

        async def choose(program: str) -> str:
            queued = QueuedRequest(program, 0, 4.0, 0.0, time.monotonic() + 4.0)
            choice = await fleet.acquire(ReplicaGroup("llm"), request(program), queued, ())
            return regions[choice.replica]

        return [asyncio.run(choose(f"p{n}")) for n in range(100)]

    def test_a_part_of_its_programs_goes_to_another_region(self) -> None:
        assert 40 <= self.choices(demand=30).count("west") <= 90

    def test_programs_stay_while_there_is_room(self) -> None:
        assert self.choices(demand=3).count("west") == 0
