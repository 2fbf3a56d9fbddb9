"""Streamed turns: histories, budgets, resumption, and loss of disks or of the network to them."""

import asyncio
import shutil
from pathlib import Path
from typing import Any

from endiveworks.members.member import Member
from endiveworks.turns.records import Reservation
from endiveworks.turns.view import View
from endiveworks_daemon import rpc
from endiveworks_daemon.disks.catch_up import catch_up
from endiveworks_daemon.gateway.disk_links import RELAY, RelayReply, RelayRequest
from endiveworks_daemon.gateway.turn_store import TurnStore
from endiveworks_standins.site_replica import Arrival, chunk, event, stream_head

from tests.deployed.harness import (
    DRAFT,
    LOCATION,
    TURN,
    Deployment,
    RunningDisk,
    read_response,
    responds,
    run,
    streams,
    write_request,
)

PROGRAM: dict[str, str] = {"Program_Id": "p", "Token_Budget": "100", "Token_Usage": "9,30"}


def turn(name: str, previous: str = "", **more: str) -> dict[str, Any]:
    named = {"Request_Id": name} | ({"Previous_Turn": previous} if previous else {})
    return named | more


class TestHistories:
    def test_a_turn_continues_from_its_chain(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with Deployment(tmp_path, {"llm/a": streams("x", "y")}) as deployed:
                first = await deployed.send(TURN, b"one", **turn("t1"))
                assert (first.complete, first.body) == (True, event(1, "x") + event(2, "y"))
                await deployed.send(TURN, b"two", **turn("t2", "t1"))
                await deployed.send(TURN, b"other", **turn("t3", "t1"))
                bodies = [a.body for a in deployed.replicas["llm/a"].arrivals]
                assert bodies == [b"one", b"onex\ny\ntwo", b"onex\ny\nother"]

        run(scenario)

    def test_a_turn_that_does_not_exist(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with Deployment(tmp_path, {"llm/a": streams("x")}) as deployed:
                reply = await deployed.send(TURN, b"one", **turn("t2", "t1"))
                assert reply.status == 404
                assert deployed.replicas["llm/a"].arrivals == []

        run(scenario)

    def test_another_process_reads_a_stored_turn(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with Deployment(tmp_path, {"llm/a": streams("x")}) as deployed:
                await deployed.send(TURN, b"one", **turn("t1"))
                fresh = type(deployed.turns)(deployed.fleet.here)
                fresh.adopt(deployed.view)
                chain = (await fresh.read_chain("t1", 1.0)).unwrap()
                assert [(t.prompt, t.output) for t in chain] == [(b"one", b"x\n")]

        run(scenario)

    def test_a_response_whose_turn_cannot_be_stored_is_incomplete(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with Deployment(tmp_path, {"llm/a": streams("x")}, timeout_ms=500) as deployed:
                # The entry knows of ample room, so it sends the next turn without asking for it.
                assert (await deployed.send(TURN, b"zero", **turn("t0"))).complete
                for disk in deployed.disks[1:]:
                    disk.stop()
                reply = await deployed.send(TURN, b"one", **turn("t1"))
                assert (reply.status, reply.complete) == (200, False)

        run(scenario)

    def test_the_loss_of_one_disk_is_tolerated(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with Deployment(tmp_path, {"llm/a": streams("x")}) as deployed:
                await deployed.send(TURN, b"one", **turn("t1"))
                deployed.disks[0].stop()
                reply = await deployed.send(TURN, b"two", **turn("t2", "t1"))
                assert (reply.status, reply.complete) == (200, True)

        run(scenario)

    def test_without_a_quorum_a_turn_is_not_reported_missing(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with Deployment(tmp_path, {"llm/a": streams("x")}, timeout_ms=800) as deployed:
                for disk in deployed.disks[:2]:
                    disk.stop()
                reply = await deployed.send(TURN, b"two", **turn("t2", "t1"))
                assert (reply.status, "retry-after" in reply.headers) == (503, True)

        run(scenario)


class TestBudgets:
    def test_an_exhausted_budget_is_refused_before_anything_is_sent(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with Deployment(tmp_path, {"llm/a": streams("x", "y", "z")}) as deployed:
                for number in range(3):
                    reply = await deployed.send(DRAFT, b"p", **turn(f"t{number}", **PROGRAM))
                    assert reply.status == 200
                # 3 turns of 3 events of 10 tokens leave 10 of 100.
                reply = await deployed.send(DRAFT, b"p", **turn("t3", **PROGRAM))
                assert reply.status == 402
                assert len(deployed.replicas["llm/a"].arrivals) == 3

        run(scenario)

    def test_a_refused_turn_spends_no_tokens(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with Deployment(tmp_path, {"llm/a": streams("x")}) as deployed:
                large = PROGRAM | {"Token_Usage": "9,101"}
                reply = await deployed.send(DRAFT, b"p", **turn("t1", **large))
                assert reply.status == 402
                await deployed.turns.wait_settled()
                assert (await deployed.send(DRAFT, b"p", **turn("t2", **PROGRAM))).status == 200

        run(scenario)

    def test_turns_that_run_at_once_share_the_budget(self, tmp_path: Path) -> None:
        async def script(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
            writer.write(stream_head(arrival))
            await asyncio.sleep(0.3)
            writer.write(chunk(event(1, "x")) + chunk(b""))
            return True

        async def scenario() -> None:
            async with Deployment(tmp_path, {"llm/a": script, "llm/b": script}) as deployed:
                replies = await asyncio.gather(
                    *(deployed.send(DRAFT, b"p", **turn(f"t{n}", **PROGRAM)) for n in range(5))
                )
                served = sum(reply.status == 200 for reply in replies)
                assert served <= 3

        run(scenario)

    def test_reservations_of_two_processes_share_the_budget(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with Deployment(tmp_path, {"llm/a": streams("x")}) as deployed:
                other = type(deployed.turns)(deployed.fleet.here)
                other.adopt(deployed.view)
                stores = (deployed.turns, other) * 2
                reserved = await asyncio.gather(
                    *(
                        store.reserve(Reservation("p", f"t{n}", 30, 60.0), 100, 1.0)
                        for n, store in enumerate(stores)
                    )
                )
                assert sum(result.unwrap() for result in reserved) <= 3

        run(scenario)

    def test_a_program_with_no_local_ledger_is_not_sent_early(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with Deployment(tmp_path, {"llm/a": streams("x")}) as deployed:
                await deployed.send(TURN, b"one", **turn("t1"))
                other = type(deployed.turns)(deployed.fleet.here)
                other.adopt(deployed.view)
                await other.reserve(Reservation("p", "t2", 190, 60.0), 200, 1.0)
                ample = PROGRAM | {"Token_Budget": "200"}
                reply = await deployed.send(TURN, b"two", **turn("t3", "t1", **ample))
                assert reply.status == 402
                assert len(deployed.replicas["llm/a"].arrivals) == 1

        run(scenario)

    def test_sub_agents_at_several_processes_are_refused_before_they_run(
        self, tmp_path: Path
    ) -> None:
        async def scenario() -> None:
            async with Deployment(tmp_path, {"llm/a": streams("x")}) as deployed:
                other = type(deployed.turns)(deployed.fleet.here)
                other.adopt(deployed.view)
                await deployed.send(DRAFT, b"p", **turn("t1", **PROGRAM))
                # Two turns run at another process and are missing from the ledger cached here.
                for name in ("t2", "t3"):
                    await other.reserve(Reservation("p", name, 40, 60.0), 100, 1.0)
                reply = await deployed.send(DRAFT, b"p", **turn("t4", **PROGRAM))
                assert reply.status == 402
                assert len(deployed.replicas["llm/a"].arrivals) == 1

        run(scenario)

    def test_no_event_is_sent_before_the_reservation_is_on_disk(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with Deployment(tmp_path, {"llm/a": streams("x")}, timeout_ms=600) as deployed:
                for disk in deployed.disks[1:]:
                    disk.stop()
                ample = PROGRAM | {"Token_Budget": "1000"}
                reply = await deployed.send(DRAFT, b"p", **turn("t1", **ample))
                assert (reply.status, reply.body) in ((502, b""), (503, b""), (504, b""))
                if reply.status == 503:
                    assert deployed.replicas["llm/a"].arrivals == []

        run(scenario)


class TestBrokenStreams:
    def test_a_resumable_stream_resumes_in_the_same_response(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            script = streams("x", "y", "z", cut_after=1)
            async with Deployment(tmp_path, {"llm/a": script}) as deployed:
                reply = await deployed.send(DRAFT, b"p")
                assert reply.complete
                assert reply.body == event(1, "x") + event(2, "y") + event(3, "z")
                again = deployed.replicas["llm/a"].arrivals[1]
                assert again.headers["last-event-id"] == "1"

        run(scenario)

    def test_a_stream_that_may_not_run_again_ends_incomplete(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            script = streams("x", "y", cut_after=1)
            async with Deployment(tmp_path, {"llm/a": script}) as deployed:
                reply = await deployed.send(TURN, b"p", **turn("t1"))
                assert (reply.status, reply.complete, reply.body) == (200, False, event(1, "x"))
                assert len(deployed.replicas["llm/a"].arrivals) == 1

        run(scenario)

    def test_a_partial_event_is_not_forwarded(self, tmp_path: Path) -> None:
        async def script(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
            writer.write(stream_head(arrival) + chunk(event(1, "x") + b"id: 2\nda"))
            writer.write(chunk(b""))
            return True

        async def scenario() -> None:
            async with Deployment(tmp_path, {"llm/a": script}) as deployed:
                reply = await deployed.send(TURN, b"p", **turn("t1"))
                assert (reply.complete, reply.body) == (False, event(1, "x"))

        run(scenario)

    def test_an_error_of_the_replica_is_forwarded(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            script = responds(b"own", "500 Internal Server Error")
            async with Deployment(tmp_path, {"llm/a": script}) as deployed:
                reply = await deployed.send(TURN, b"p", **turn("t1"))
                assert (reply.status, reply.body) == (500, b"own")

        run(scenario)

    def test_a_disconnect_of_the_caller_ends_the_stream(self, tmp_path: Path) -> None:
        async def script(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
            writer.write(stream_head(arrival) + chunk(event(1, "x")))
            await asyncio.sleep(30)
            return True

        async def scenario() -> None:
            async with Deployment(tmp_path, {"llm/a": script}) as deployed:
                await deployed.wait_for_disks()
                reader, writer = await deployed.open()
                write_request(writer, DRAFT, b"p", turn("t1", **PROGRAM))
                await reader.readuntil(b"data: x")
                writer.close()
                await asyncio.sleep(0.2)
                assert deployed.replicas["llm/a"].disconnected == ["t1"]

        run(scenario)


class TestDisks:
    def test_a_journal_is_replayed_after_a_restart(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with Deployment(tmp_path, {"llm/a": streams("x")}) as deployed:
                await deployed.wait_for_disks()
                reply = await deployed.send(TURN, b"one", **turn("t1", **PROGRAM))
                assert (reply.status, reply.complete) == (200, True)
                for disk in deployed.disks:
                    disk.stop()
                held = [len(RunningDisk(d.name, d.path).disk_store.state) for d in deployed.disks]
                assert sum(held) >= 2

        run(scenario)

    def test_an_erased_disk_is_in_no_quorum_until_it_has_caught_up(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with Deployment(tmp_path, {"llm/a": streams("x")}, timeout_ms=800) as deployed:
                await deployed.send(TURN, b"one", **turn("t1"))
                lost, kept, other = deployed.disks
                await self.erase(lost)
                other.stop()
                # Only one disk of the view is left, which is no quorum.
                reply = await deployed.send(TURN, b"two", **turn("t2", "none"))
                assert reply.status == 503
                assert not await catch_up(lost.disk_store, self.joint_view(deployed), "east")
                assert kept.disk_store.view is not None

        run(scenario)

    def test_a_new_disk_catches_up_from_a_quorum(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with Deployment(tmp_path, {"llm/a": streams("x")}) as deployed:
                for number in range(5):
                    named = turn(f"t{number}", **PROGRAM | {"Program_Id": str(number)})
                    assert (await deployed.send(TURN, b"one", **named)).complete
                lost = deployed.disks[0]
                await self.erase(lost)
                joint = self.joint_view(deployed)
                assert await catch_up(lost.disk_store, joint, "east")
                assert len(lost.disk_store.state) == 5
                deployed.apply(View(3, 1, joint.incoming))
                deployed.disks[1].stop()
                reply = await deployed.send(TURN, b"two", **turn("t9", "t3"))
                assert reply.status == 200

        run(scenario)

    def test_a_dead_member_does_not_delay_catch_up(self, tmp_path: Path) -> None:
        """A new disk must not wait for the disk that it replaces (tl-signdesk trouble-2)."""

        async def scenario() -> None:
            async with Deployment(tmp_path, {"llm/a": streams("x")}) as deployed:
                silent = await asyncio.start_server(lambda _r, _w: None, "127.0.0.1", 0)
                ip, port = silent.sockets[0].getsockname()
                lost = deployed.disks[0]
                await self.erase(lost)
                joint = self.joint_view(deployed)
                dead = joint.members[0]._replace(address=f"{ip}:{port}")
                joint = joint._replace(members=(dead, *joint.members[1:]))
                began_s = asyncio.get_running_loop().time()
                assert await catch_up(lost.disk_store, joint, "east")
                assert asyncio.get_running_loop().time() - began_s < 1.0
                silent.close()

        run(scenario)

    def test_writers_with_an_older_view_are_refused_and_sent_the_new_one(
        self, tmp_path: Path
    ) -> None:
        async def scenario() -> None:
            async with Deployment(tmp_path, {"llm/a": streams("x")}) as deployed:
                assert deployed.view is not None
                for disk in deployed.disks:
                    disk.disk_store.adopt(deployed.view._replace(epoch=4))
                reply = await deployed.send(TURN, b"one", **turn("t1"))
                assert reply.complete
                assert deployed.turns._quorum.view.epoch == 4

        run(scenario)

    async def erase(self, disk: RunningDisk) -> None:
        """Restarts a disk at the same address with an empty folder."""
        disk.stop()
        shutil.rmtree(disk.path)
        disk.disk_store = RunningDisk(disk.name, disk.path).disk_store
        await disk.start()

    def joint_view(self, deployed: Deployment) -> View:
        """Returns the joint view that replaces the first disk by its new folder."""
        assert deployed.view is not None
        first, *others = deployed.disks
        incoming = tuple(d.disk() for d in (*others, first))
        return View(2, 1, deployed.view.members, incoming)


class TestPersistentConnections:
    def test_two_requests_on_one_connection(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with Deployment(tmp_path, {"llm/a": streams("x")}) as deployed:
                reader, writer = await deployed.open()
                for name in ("t1", "t2"):
                    write_request(writer, TURN, b"one", turn(name))
                    assert (await read_response(reader)).complete
                writer.close()

        run(scenario)


class TestCutOffFromDisks:
    """A process that reaches no disk directly uses another process as a relay."""

    @staticmethod
    async def relay(deployed: Deployment) -> rpc.RpcServer:
        """Starts a relay for calls to disks and makes it known to the gateway."""
        other = TurnStore(LOCATION)
        other.adopt(deployed.view)
        server = await rpc.serve("127.0.0.1:0", other.handlers())
        member = Member("entry-2", server.address, "entry", "", "east", "edin", 1)
        deployed.turns.update_relays([member], "entry-1")
        return server

    def test_turns_are_relayed_by_another_process(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with Deployment(tmp_path, {"llm/a": streams("x")}) as deployed:
                server = await self.relay(deployed)
                deployed.cut_disks()
                first = await deployed.send(TURN, b"one", **turn("t1", **PROGRAM))
                assert (first.status, first.complete) == (200, True)
                again = await deployed.send(TURN, b"two", **turn("t2", "t1", **PROGRAM))
                assert (again.status, again.complete) == (200, True)
                assert deployed.turns.is_reachable()
                server.close()

        run(scenario)

    def test_the_direct_path_is_used_again(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with Deployment(tmp_path, {"llm/a": streams("x")}) as deployed:
                server = await self.relay(deployed)
                probe = asyncio.create_task(deployed.turns.probe_forever())
                deployed.cut_disks()
                await deployed.send(TURN, b"one", **turn("t1"))
                deployed.reconnect_disks()
                await asyncio.sleep(1.0)
                server.close()
                reply = await deployed.send(TURN, b"two", **turn("t2", "t1"))
                assert (reply.status, reply.complete) == (200, True)
                probe.cancel()

        run(scenario)

    def test_only_disks_in_use_are_relayed_to(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with Deployment(tmp_path, {"llm/a": streams("x")}) as deployed:
                server = await self.relay(deployed)
                client = rpc.RpcClient(server.address)
                message = RelayRequest("127.0.0.1:9", "turns.fetch", b"", 1.0)
                reply = (await client.call(RELAY, message, RelayReply, 1.0)).unwrap()
                assert (reply.disk_reply, "no disk" in reply.detail) == (None, True)
                server.close()

        run(scenario)
