"""New programs while the replicas of a service have too little room for all of them."""

import asyncio
from collections.abc import Mapping, Sequence
from pathlib import Path

from endiveworks.gateway.outcomes import Sighting
from endiveworks.turns.records import Reservation

from tests.deployed.harness import DRAFT, TURN, Deployment, run, streams

PROGRAMS = [f"p{number}" for number in range(60)]
BUDGET = {"Token_Budget": "10000"}


def crowded(folder: Path, turns: int = 40) -> Deployment:
    """Returns a deployment whose other entries have many turns in flight.

    Args:
        folder: Parent of the disks' data folders.
        turns: Turns of other entries that prefer the one replica, which has 4 slots.
    """
    deployed = Deployment(folder, {"llm/g": streams("a", "b")})
    deployed.fleet.set_other_demand(lambda replica: turns, lambda: 0.1)
    return deployed


async def turn(deployed: Deployment, program: str, target: str = DRAFT, **named: str) -> int:
    """Sends a turn of a program and returns the status."""
    headers = {"Program_Id": program, "Program_Deadline_Ms": "5000", **BUDGET, **named}
    return (await deployed.send(target, b"p", **headers)).status


async def statuses(
    deployed: Deployment, target: str = DRAFT, programs: Sequence[str] = PROGRAMS
) -> Mapping[str, int]:
    """Sends a first turn of each program and returns the statuses."""
    return {name: await turn(deployed, name, target, Request_Id=f"{name}-1") for name in programs}


class TestTooLittleRoom:
    """Guards against all programs ending late together because some of them find no room."""

    def test_most_new_programs_are_refused_and_do_not_run(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with crowded(tmp_path) as deployed:
                await deployed.wait_for_disks()
                found = await statuses(deployed)
                ran = {arrival.id for arrival in deployed.replicas["llm/g"].arrivals}
                served = {name for name, status in found.items() if status == 200}
                assert set(found.values()) == {200, 503}
                assert ran == {f"{name}-1" for name in served}
                assert 0 < len(served) < len(PROGRAMS) / 2

        run(scenario)

    def test_the_refused_are_told_when_to_come_back(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with crowded(tmp_path) as deployed:
                await deployed.wait_for_disks()
                found = await statuses(deployed)
                name = next(name for name, status in found.items() if status == 503)
                headers = {"Program_Id": name, "Program_Deadline_Ms": "5000", **BUDGET}
                reply = await deployed.send(DRAFT, b"p", Request_Id="again", **headers)
                assert 0.0 < float(reply.headers["retry-after"]) < 1.0

        run(scenario)

    def test_programs_under_way_at_another_entry_are_served(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with crowded(tmp_path, turns=0) as deployed:
                await deployed.wait_for_disks()
                other = await deployed.add_entry()
                other.fleet.set_other_demand(lambda replica: 40, lambda: 0.1)
                for name in PROGRAMS[:20]:
                    assert await turn(deployed, name, Request_Id=f"{name}-1") == 200
                await deployed.turns.wait_settled()
                found = []
                for name in PROGRAMS[:20]:
                    headers = {"Program_Id": name, "Program_Deadline_Ms": "5000", **BUDGET}
                    reply = await other.send(DRAFT, b"p", Request_Id=f"{name}-2", **headers)
                    found.append(reply.status)
                assert set(found) == {200}

        run(scenario)

    def test_a_refused_program_is_new_when_it_comes_back(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with crowded(tmp_path) as deployed:
                await deployed.wait_for_disks()
                found = await statuses(deployed)
                await deployed.turns.wait_settled()
                refused = [name for name, status in found.items() if status == 503]
                for name in refused[:10]:
                    assert await turn(deployed, name, Request_Id=f"{name}-2") == 503

        run(scenario)

    def test_a_refusal_takes_nothing_from_the_budget(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with crowded(tmp_path) as deployed:
                await deployed.wait_for_disks()
                found = await statuses(deployed)
                await deployed.turns.wait_settled()
                for name, status in found.items():
                    if status == 503:
                        assert not deployed.turns.has_other_turns(name, "")

        run(scenario)

    def test_later_turns_of_a_conversation_are_served(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with crowded(tmp_path, turns=0) as deployed:
                await deployed.wait_for_disks()
                assert set((await statuses(deployed, TURN)).values()) == {200}
                (entry,) = await deployed.replace_entries()
                entry.fleet.set_other_demand(lambda replica: 40, lambda: 0.1)
                while not entry.turns.is_reachable():
                    await asyncio.sleep(0.01)
                for name in PROGRAMS[:20]:
                    headers = {"Program_Id": name, "Program_Deadline_Ms": "5000", **BUDGET}
                    previous = {"Request_Id": f"{name}-2", "Previous_Turn": f"{name}-1"}
                    reply = await entry.send(TURN, b"p", **headers, **previous)
                    assert reply.status == 200

        run(scenario)

    def test_requests_without_a_program_are_served(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with crowded(tmp_path) as deployed:
                for number in range(20):
                    assert (await deployed.send(DRAFT, f"{number}".encode())).status == 200

        run(scenario)


class TestSlowDisks:
    """Guards against a full link to the disks that all programs go on filling."""

    def test_new_programs_are_refused_while_writes_are_slow(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with crowded(tmp_path, turns=0) as deployed:
                await deployed.wait_for_disks()
                assert set((await statuses(deployed)).values()) == {200}
                deployed.fleet.programs.set_store_time(lambda: 0.7)
                await asyncio.sleep(0.5)
                others = [f"q{number}" for number in range(40)]
                assert 503 in set((await statuses(deployed, DRAFT, others)).values())
                assert set((await statuses(deployed)).values()) == {200}  # They are under way.

        run(scenario)

    def test_the_time_of_writes_counts_those_that_fail(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with crowded(tmp_path, turns=0) as deployed:
                await deployed.wait_for_disks()
                deployed.cut_disks()
                for number in range(3):
                    await deployed.turns.reserve(Reservation("p", f"r{number}", 1, 9.0), 9, 0.8)
                assert deployed.turns.store_time_s() > 0.4

        run(scenario)


class TestReplicasThatFail:
    """Guards against counting on replicas that other entries have found to fail."""

    def test_they_give_no_room_until_they_are_found_sound(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            replicas = {"llm/g": streams("a"), "llm/h": streams("a")}
            async with Deployment(tmp_path, replicas) as deployed:
                await deployed.wait_for_disks()
                deployed.fleet.set_other_demand(lambda replica: 2, lambda: 0.1)
                assert set((await statuses(deployed)).values()) == {200}
                deployed.fleet.table.adopt_sightings({"h": Sighting(True, 0.0)})
                await asyncio.sleep(0.3)
                others = [f"q{number}" for number in range(40)]
                assert 503 in set((await statuses(deployed, DRAFT, others)).values())
                deployed.fleet.table.adopt_sightings({"h": Sighting(False, 0.0)})
                while 503 in set((await statuses(deployed, DRAFT, others)).values()):
                    await asyncio.sleep(0.05)

        run(scenario)


class TestEnoughRoom:
    def test_every_program_is_served(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with crowded(tmp_path, turns=2) as deployed:
                await deployed.wait_for_disks()
                assert set((await statuses(deployed)).values()) == {200}

        run(scenario)

    def test_without_news_of_other_entries_every_program_is_served(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with Deployment(tmp_path, {"llm/g": streams("a")}) as deployed:
                await deployed.wait_for_disks()
                assert set((await statuses(deployed)).values()) == {200}

        run(scenario)
