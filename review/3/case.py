"""Answers without end make entries use more memory than their machines have."""

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
    Process,
    Site,
    entry_of,
    main,
    route,
    service,
)
from review.lab.wire import SIGNATURE, Message, call, request, response  # noqa: E402

REPLICAS, FAULTY = 5, 3  # share 0.6, the site file's largest for `garble`
SPOILED = 0.03  # x, the largest there
SPELL_S, CALM_S = 5.0, 1.0  # for_s there, and a pause
AT_ONCE, EACH_S = 6, 5.0  # Orders for the same thing that come at once, and how often.
ENTRIES, ENDS = 2, 3  # Machines and ends of processes that the rule names.
WORK_S = 0.026
RATE_PER_S = 30.0  # Orders a second at one entry.
LENGTH_S = 80.0
DEADLINE_MS = 1500
LINK_BYTES_PER_S = 125e6  # link_mbps = 1000
PIECE = b"x" * 65536
RESTART_S = 0.3
LOOK_S = 0.02


class Link:
    """The link of one machine, which all answers to it share."""

    def __init__(self) -> None:
        self._free_s = 0.0

    async def pass_on(self, size: int) -> None:
        """Waits until bytes have passed."""
        now_s = asyncio.get_running_loop().time()
        self._free_s = max(now_s, self._free_s) + size / LINK_BYTES_PER_S
        await asyncio.sleep(self._free_s - now_s)


class Orders:
    """The replicas, their trouble, and the platform's watch over memory."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.site.record.line("settings", trouble=TROUBLE)
        self.is_faulty = False
        self.links: dict[str, Link] = {}
        self.counts = {f"i-{number}": [0, 0] for number in range(REPLICAS)}
        self.ends: dict[str, int] = {}
        self.most_mb: dict[str, float] = {}

    async def run(
        self, replica: PlatformReplica, message: Message, writer: asyncio.StreamWriter
    ) -> bool:
        """Answers an order, or begins an answer that doesn't end."""
        self.site.record.line("ran", id=message.id, at=replica.name)
        await asyncio.sleep(WORK_S)
        counts = self.counts[replica.name]
        counts[0] += 1
        is_faulty = TROUBLE and self.is_faulty and replica.name in list(self.counts)[:FAULTY]
        is_hard = message.start.split()[1].endswith("/hard")
        # Never more than the stated share of its answers.
        if is_faulty and is_hard and counts[1] + 1 <= SPOILED * counts[0]:
            counts[1] += 1
            self.site.record.line("without_end", id=message.id, at=replica.name)
            await self._write_without_end(message, writer)
            return False
        headers = {"Request-Id": message.id, "Server-Signature": SIGNATURE}
        writer.write(response("200 OK", b"x" * 800, headers))
        return True

    async def _write_without_end(self, message: Message, writer: asyncio.StreamWriter) -> None:
        head = f"HTTP/1.1 200 OK\r\nRequest-Id: {message.id}\r\nServer-Signature: {SIGNATURE}\r\n"
        writer.write(head.encode() + b"\r\n")
        ip = writer.get_extra_info("peername")[0]
        link = self.links.setdefault(message.headers.get("entry", ip), Link())
        while True:  # Until the caller closes.
            await link.pass_on(len(PIECE))
            writer.write(PIECE)
            await writer.drain()

    async def trouble(self) -> None:
        """Turns the trouble on and off."""
        await asyncio.sleep(2.0)
        while True:
            self.is_faulty = True
            await asyncio.sleep(SPELL_S)
            self.is_faulty = False
            await asyncio.sleep(CALM_S)

    async def watch(self, entry: Process) -> None:
        """Kills a process that uses more than its memory, and starts it again, as platforms do."""
        self.ends[entry.name], self.most_mb[entry.name] = 0, 0.0
        while True:
            await asyncio.sleep(LOOK_S)
            used_mb = entry.memory_mb_used()
            self.most_mb[entry.name] = max(self.most_mb[entry.name], used_mb)
            if used_mb <= entry.memory_mb and entry.pid:
                continue
            self.ends[entry.name] += 1
            self.site.record.line("killed", entry=entry.name, used_mb=round(used_mb, 1))
            entry.kill()
            await asyncio.sleep(RESTART_S)
            entry.start()


async def order(site: Site, entry: Process, request_id: str, thing: str) -> None:
    """Sends one order."""
    headers = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": str(DEADLINE_MS)}
    headers["Entry"] = entry.name
    data = request("POST", f"/puxa403/{thing}", headers, b"o" * 600)
    site.record.line("sent", id=request_id, to=entry.name)
    found, took_s = await call(entry.front, data, DEADLINE_MS / 1000)
    site.record.line("answered", id=request_id, status=found.status, s=round(took_s, 3))


def new_id() -> str:
    """Returns the id of a request."""
    return f"{random.getrandbits(64):016x}"


async def load(site: Site, entry: Process, until_s: float) -> None:
    """Sends orders to one entry at random times."""
    sent: set[asyncio.Task[None]] = set()
    while asyncio.get_running_loop().time() < until_s:
        task = asyncio.create_task(order(site, entry, new_id(), str(random.randrange(4000))))
        sent.add(task)
        task.add_done_callback(sent.discard)
        await asyncio.sleep(random.expovariate(RATE_PER_S))
    await asyncio.gather(*sent)


async def load_at_once(site: Site, entry: Process, until_s: float, after_s: float) -> None:
    """Sends some orders for the same thing at once, every few seconds."""
    await asyncio.sleep(after_s)
    while asyncio.get_running_loop().time() < until_s:
        await asyncio.gather(*(order(site, entry, new_id(), "hard") for _ in range(AT_ONCE)))
        await asyncio.sleep(EACH_S)


async def case() -> int:
    """Runs the case."""
    site = Site(RECORD, ENTRIES)
    orders = Orders(site)
    replicas = [PlatformReplica(name, orders.run) for name in orders.counts]
    running: list[asyncio.Task[None]] = []
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
        for replica in replicas:
            await replica.start()
            fields = entry_of("shop-apps", replica.address, slots=6)
            site.store.put_json(f"servers/{replica.name}", fields)
        await site.start(routes, [service("shop-apps")])
        running = [asyncio.create_task(orders.watch(entry)) for entry in site.entries]
        running.append(asyncio.create_task(orders.trouble()))
        until_s = asyncio.get_running_loop().time() + LENGTH_S
        await asyncio.gather(
            *(load(site, entry, until_s) for entry in site.entries),
            *(
                load_at_once(site, entry, until_s, 8.0 + number * EACH_S / ENTRIES)
                for number, entry in enumerate(site.entries)
            ),
        )
        return verdict(orders)
    finally:
        for task in running:
            task.cancel()
        for replica in replicas:
            replica.stop()
        site.stop()


def verdict(orders: Orders) -> int:
    """Tells whether processes of two machines ended three times each."""
    orders.site.record.line("ends", **{n.replace("-", "_"): c for n, c in orders.ends.items()})
    print(f"ends: {orders.ends}; most memory in MB: {orders.most_mb}")
    print(f"answers without end: {orders.counts}")
    return BROKEN if sum(count >= ENDS for count in orders.ends.values()) >= ENTRIES else HELD


if __name__ == "__main__":
    main(case)
