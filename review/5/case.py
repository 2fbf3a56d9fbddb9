"""Streams that a leaving replica breaks off go on at the same replica, after drain_ms."""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).parent
RECORD = FOLDER / "record.txt"  # What was sent, answered and run.
sys.path.insert(0, str(FOLDER.parents[1]))

from review.lab.replica import PlatformReplica  # noqa: E402
from review.lab.site import (  # noqa: E402
    BROKEN,
    HELD,
    HOST,
    TROUBLE,
    Site,
    entry_of,
    main,
    route,
    service,
)
from review.lab.wire import (  # noqa: E402
    Message,
    call,
    chunk,
    event,
    request,
    reset,
    stream_head,
)

DRAIN_S = 2.5  # drain_ms
LINGER_S = 1.5  # "a little longer (at times many seconds)"
EVENTS, PAUSE_S = 13, 0.28  # Within gap_aim_ms = 300.
STREAMS = 40  # Streams that run when the replica begins to leave.
BROKEN_OFF = 1  # x 0.03 of them at most
ROUNDS = 4
DEADLINE_MS = 4000


class Release:
    """Replicas of a model; one after the other leaves, and another is added before."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.site.record.line("settings", trouble=TROUBLE)
        self.replicas: dict[str, PlatformReplica] = {}
        self.drained_s: dict[str, float] = {}
        self.late: list[str] = []
        self.to_break = 0

    async def run(
        self, replica: PlatformReplica, message: Message, writer: asyncio.StreamWriter
    ) -> bool:
        """Streams events from the one after Last-Event-Id."""
        now_s = asyncio.get_running_loop().time()
        after = int(message.headers.get("last-event-id", 0))
        drained_s = self.drained_s.get(replica.name)
        since_s = round(now_s - drained_s, 3) if drained_s else "-"
        self.site.record.line(
            "ran", id=message.id, at=replica.name, after=after, s_after_ack=since_s
        )
        if drained_s and now_s - drained_s > DRAIN_S:
            self.late.append(message.id)
        writer.write(stream_head(message.id))
        for number in range(after + 1, EVENTS + 1):
            await asyncio.sleep(PAUSE_S)
            if not after and self._breaks_off(replica):
                self.site.record.line("broken_off", id=message.id, at=replica.name, after=number)
                reset(writer)
                return False
            writer.write(chunk(event(number, f"{message.id}.{number}")))
            await writer.drain()
        writer.write(chunk(b""))
        return True

    def _breaks_off(self, replica: PlatformReplica) -> bool:
        drained_s = self.drained_s.get(replica.name)
        now_s = asyncio.get_running_loop().time()
        if not drained_s or not self.to_break or now_s - drained_s < DRAIN_S + 0.2:
            return False
        self.to_break -= 1
        return TROUBLE

    async def add(self, name: str) -> None:
        """Starts a replica, which registers."""
        replica = self.replicas[name] = PlatformReplica(name, self.run)
        await replica.start()
        self.site.store.put_json(f"servers/{name}", entry_of("llm", replica.address, slots=64))

    async def leave(self, name: str) -> None:
        """Lets a replica report that it drains, and end once it has served its last streams."""
        replica = self.replicas[name]
        fields = entry_of("llm", replica.address, "draining", slots=64)
        self.site.store.put_json(f"servers/{name}", fields)
        self.drained_s[name] = asyncio.get_running_loop().time()
        self.site.record.line("draining", replica=name)
        await asyncio.sleep(DRAIN_S + LINGER_S)
        replica.stop()
        self.site.store.delete(f"servers/{name}")
        self.site.record.line("left", replica=name)


async def stream(site: Site, request_id: str) -> None:
    """Asks for a stream."""
    headers = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": str(DEADLINE_MS)}
    headers |= {"Model": "m", "Token-Usage": "1000,598"}
    data = request("POST", "/pufi791/2f", headers, b"p" * 17000)
    site.record.line("sent", id=request_id)
    found, took_s = await call(site.entries[0].front, data, DEADLINE_MS / 1000 + 0.5)
    site.record.line(
        "answered", id=request_id, status=found.status, complete=found.complete, s=round(took_s, 3)
    )


async def case() -> int:
    """Runs the case."""
    site = Site(RECORD)
    release = Release(site)
    try:
        routes = [
            route("layout-proof", "/pufi791/", "streaming", "llm", sticky=True, resumable=True)
        ]
        starting = asyncio.create_task(site.start(routes, [service("llm", 46)]))
        await release.add("i-0")
        await starting
        await asyncio.sleep(1.0)
        for number in range(ROUNDS):
            streams = [
                asyncio.create_task(stream(site, f"{random.getrandbits(64):016x}"))
                for _ in range(STREAMS)
            ]
            await asyncio.sleep(0.4)
            await release.add(f"i-{number + 1}")  # The new one starts first.
            release.to_break = BROKEN_OFF
            leaving = asyncio.create_task(release.leave(f"i-{number}"))
            await asyncio.gather(leaving, *streams)
            await asyncio.sleep(2.0)
        print(f"{len(release.late)} requests reached a replica later than drain_ms")
        return BROKEN if release.late else HELD
    finally:
        for replica in release.replicas.values():
            replica.stop()
        site.stop()


if __name__ == "__main__":
    main(case)
