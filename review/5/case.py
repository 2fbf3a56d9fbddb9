"""An entry forgets, while the platform's store is away, that a replica said that it leaves."""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).parent
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
from review.lab.wire import SIGNATURE, Message, call, request, response  # noqa: E402

REPLICAS, LEAVING = 3, "i-0"
DRAIN_S = 2.5  # drain_ms
DOWN_S = 4.5  # for_s of `platform_down` in the site file
LAPSE_S = 3.6  # Three heartbeat intervals.
BACK_S = {"i-0": 0.1, "i-1": 1.6, "i-2": 1.8}  # "within about two seconds of its return"
WORK_S = 0.02
RATE_PER_S = 40.0
DEADLINE_MS = 1500


class Replacement:
    """The replicas of a service, one of which leaves."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.site.record.line("settings", trouble=TROUBLE)
        self.replicas = {
            name: PlatformReplica(name, self.run)
            for name in (f"i-{number}" for number in range(REPLICAS))
        }
        self.is_leaving = False
        self.told_s = 0.0  # When a client first had an answer with Server-Leaving.
        self.sent_s: dict[str, float] = {}
        self.late: list[str] = []

    async def run(
        self, replica: PlatformReplica, message: Message, writer: asyncio.StreamWriter
    ) -> bool:
        """Answers an order; the replica that leaves says so."""
        self.site.record.line("ran", id=message.id, at=replica.name)
        is_told = replica.name == LEAVING and self.told_s
        if is_told and self.sent_s[message.id] - self.told_s > DRAIN_S:
            self.late.append(message.id)
            after_s = round(self.sent_s[message.id] - self.told_s, 3)
            self.site.record.line("late", id=message.id, s_after_told=after_s)
        await asyncio.sleep(WORK_S)
        headers = {"Request-Id": message.id, "Server-Signature": SIGNATURE}
        if self.is_leaving and replica.name == LEAVING:
            headers["Server-Leaving"] = "1"
        writer.write(response("200 OK", b"x" * 800, headers))
        return True

    def register(self, name: str) -> None:
        """Writes what a replica says of itself; one that leaves is draining."""
        state = "draining" if self.is_leaving and name == LEAVING else "ready"
        fields = entry_of("shop-apps", self.replicas[name].address, state, slots=6)
        self.site.store.put_json(f"servers/{name}", fields)
        self.site.record.line("registered", replica=name, state=state)

    async def play(self) -> None:
        """Lets a replica leave, with the platform's store down as it begins to."""
        store = self.site.store
        if not TROUBLE:
            self.is_leaving = True
            self.register(LEAVING)
            return
        store.is_down = True
        self.site.record.line("store_down")
        await asyncio.sleep(0.2)
        self.is_leaving = True
        await asyncio.sleep(LAPSE_S - 0.2)
        for name in self.replicas:
            store.delete(f"servers/{name}")
        await asyncio.sleep(DOWN_S - LAPSE_S)
        store.is_down = False
        self.site.record.line("store_back")
        back = [self._come_back(name, after_s) for name, after_s in BACK_S.items()]
        await asyncio.gather(*back)

    async def _come_back(self, name: str, after_s: float) -> None:
        await asyncio.sleep(after_s)
        self.register(name)


async def order(replacement: Replacement, request_id: str) -> None:
    """Sends one order."""
    site = replacement.site
    headers = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": str(DEADLINE_MS)}
    data = request("POST", f"/puxa403/{random.randrange(4000)}", headers, b"o" * 600)
    loop = asyncio.get_running_loop()
    replacement.sent_s[request_id] = loop.time()
    found, took_s = await call(site.entries[0].front, data, DEADLINE_MS / 1000)
    leaving = found.headers.get("server-leaving", "-")
    site.record.line("answered", id=request_id, status=found.status, leaving=leaving)
    if leaving == "1" and not replacement.told_s:
        replacement.told_s = loop.time()


async def load(replacement: Replacement) -> None:
    """Sends orders at random times."""
    sent: set[asyncio.Task[None]] = set()
    while True:
        task = asyncio.create_task(order(replacement, f"{random.getrandbits(64):016x}"))
        sent.add(task)
        task.add_done_callback(sent.discard)
        await asyncio.sleep(random.expovariate(RATE_PER_S))


async def case() -> int:
    """Runs the case."""
    site = Site(FOLDER)
    replacement = Replacement(site)
    loading: asyncio.Task[None] | None = None
    try:
        routes = [
            route(
                "order-place",
                "/puxa403/",
                "non_idempotent",
                "shop-apps",
                timeout_ms=DEADLINE_MS,
                target_latency_ms=242,
            )
        ]
        starting = asyncio.create_task(site.start(routes, [service("shop-apps")]))
        for name, replica in replacement.replicas.items():
            await replica.start()
            replacement.register(name)
        await starting
        loading = asyncio.create_task(load(replacement))
        await asyncio.sleep(2.0)
        await replacement.play()
        await asyncio.sleep(5.0)
        print(f"{len(replacement.late)} orders sent later than drain_ms reached {LEAVING}")
        return BROKEN if replacement.late else HELD
    finally:
        if loading is not None:
            loading.cancel()
        for replica in replacement.replicas.values():
            replica.stop()
        site.stop()


if __name__ == "__main__":
    main(case)
