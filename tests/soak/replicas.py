"""Replicas of the soak: they check what reaches them and fail at times."""

import asyncio
import json
import random

from endiveworks_standins.site_replica import (
    Arrival,
    Script,
    SiteReplica,
    buffered_response,
    chunk,
    event,
    reset,
    stream_head,
)

from .record import Record

EVENTS = 6
EVENT_PAUSE_S = 0.015
PLAIN_S = 0.01
# Share of requests whose answer is lost, cut or late while replicas are in trouble.
TROUBLE_SHARE = 0.15
HANG_S = 1.0


def piece(request: str, number: int) -> str:
    """Returns the data of one event of a request's answer, the same in each run."""
    return f"{request}.{number}"


class Replicas:
    """Two model replicas and two of a plain service.

    Attributes:
        troubled: Whether they fail at times.
    """

    def __init__(self, record: Record, rng: random.Random) -> None:
        self.troubled = False
        self._record = record
        self._rng = rng
        names = ("llm-a", "llm-b", "shop-a", "shop-b")
        self._replicas = {name: SiteReplica(self._script(name)) for name in names}

    async def start(self) -> None:
        """Begins to listen."""
        for replica in self._replicas.values():
            await replica.start()

    def stop(self) -> None:
        """Ends the replicas."""
        for replica in self._replicas.values():
            replica.stop()

    def addresses(self) -> dict[str, str]:
        """Returns where the replicas listen, by id."""
        return {name: replica.address for name, replica in self._replicas.items()}

    def _script(self, name: str) -> Script:
        async def play(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
            if arrival.headers.get("expect-instance") != name:
                more = ("Not-Executed: 1",)
                writer.write(buffered_response(arrival, b"", "421 Misdirected Request", more))
                return True
            target = arrival.line.split()[1]
            streams = target.startswith(("/turns/", "/drafts/"))
            self._record.arrived(arrival.id, arrival.body, not target.startswith(("/d", "/l")))
            trouble = self._rng.random() if self.troubled else 1.0
            if trouble < TROUBLE_SHARE / 3:
                await asyncio.sleep(HANG_S)
            if streams:
                cut_after = self._rng.randrange(EVENTS) if trouble < TROUBLE_SHARE else EVENTS
                return await _stream(arrival, writer, cut_after)
            await asyncio.sleep(PLAIN_S)
            if trouble < TROUBLE_SHARE:
                reset(writer)
                return False
            writer.write(buffered_response(arrival, json.dumps({"ran": arrival.id}).encode()))
            return True

        return play


async def _stream(arrival: Arrival, writer: asyncio.StreamWriter, cut_after: int) -> bool:
    after = int(arrival.headers.get("last-event-id", 0))
    writer.write(stream_head(arrival))
    for number in range(after + 1, EVENTS + 1):
        if number > cut_after:
            reset(writer)
            return False
        await asyncio.sleep(EVENT_PAUSE_S)
        writer.write(chunk(event(number, piece(arrival.id, number))))
        await writer.drain()
    writer.write(chunk(b""))
    return True
