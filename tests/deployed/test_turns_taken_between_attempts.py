"""Turns whose callers resume them while the entry itself is looking for another replica."""

import asyncio
import contextlib
from pathlib import Path

from endiveworks_standins.site_replica import Arrival, chunk, event, stream_head
from endiveworks_standins.site_replica import reset as reset_connection

from tests.deployed.harness import TURN, Deployment, run, write_request
from tests.deployed.test_closed_upstreams import read_rest

EVENTS = 6


class TestTurnTakenBetweenAttempts:
    def test_a_turn_resumed_elsewhere_is_not_completed_by_the_next_attempt(
        self, tmp_path: Path
    ) -> None:
        async def scenario() -> None:
            runs: list[str] = []
            released = asyncio.Event()

            async def script(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
                runs.append(arrival.id)
                first = int(arrival.headers.get("last-event-id", 0)) + 1
                if len(runs) == 2:  # The entry's own resumption, before its head.
                    await released.wait()
                writer.write(stream_head(arrival))
                for number in range(first, EVENTS + 1):
                    if len(runs) == 1 and number > 3:
                        await writer.drain()
                        await asyncio.sleep(0.02)
                        reset_connection(writer)
                        return False
                    writer.write(chunk(event(number, f"{arrival.id}.{number}")))
                writer.write(chunk(b""))
                return True

            async with Deployment(tmp_path, {"llm/a": script}, resumable=True) as deployed:
                reader, writer = await deployed.open()
                write_request(writer, TURN, b"one", {"Request_Id": "t1"})
                await reader.readuntil(b"t1.3\n\n")
                while len(runs) < 2:
                    await asyncio.sleep(0.01)
                named = {"Request_Id": "t2", "Resumes": "t1", "Last_Event_Id": "2"}
                assert (await deployed.send(TURN, b"one", **named)).complete
                released.set()
                rest = b""
                with contextlib.suppress(ConnectionResetError):
                    rest = await read_rest(reader)
                writer.close()
                assert not rest.endswith(b"\r\n0\r\n\r\n")
                reply = await deployed.send(TURN, b"two", Request_Id="after-t1", Previous_Turn="t1")
                assert reply.status == 404

        run(scenario)
