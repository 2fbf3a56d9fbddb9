"""Faults of a soak, drawn from a seed, injected from outside the processes."""

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from endiveworks_standins.site_store import Faults

from .hosts import Host
from .proxy import Proxy
from .site import Site

# The time after its return in which a disk counts as lost, with room for the start of a process.
CATCH_UP_S = 6.0
TORN_BYTES = (1, 200)


class Injected(NamedTuple):
    """A fault as it is logged: seconds from the start, name, host, and how long it lasts."""

    at_s: float
    name: str
    host: str
    for_s: float


class Injector:
    """Injects faults one after the other, some of which overlap.

    Attributes:
        injected: What was injected so far.
    """

    def __init__(self, site: Site, seed: int) -> None:
        self.injected: list[Injected] = []
        self._site = site
        self._rng = random.Random(seed)
        self._started_s = time.monotonic()
        self._under_way: set[asyncio.Task[None]] = set()
        self._wiped = False
        self._calm = False

    async def run(self, for_s: float) -> None:
        """Injects faults for a time and waits until the last one has ended."""
        end_s = time.monotonic() + for_s
        while time.monotonic() < end_s:
            if not self._calm:
                self._inject(self._rng.choice(list(_FAULTS)))
            await asyncio.sleep(self._rng.uniform(0.0, 1.2))
        await asyncio.gather(*self._under_way)
        self._heal()

    def _heal(self) -> None:
        for host in self._site.hosts():
            host.send(signal.SIGCONT)
            for link in host.links():
                link.heal()
        self._site.store.faults = Faults()
        self._site.replicas.troubled = False

    def _inject(self, name: str) -> None:
        for_s = self._rng.uniform(0.2, 3.0)
        host = self._rng.choice(self._site.hosts())
        task = asyncio.create_task(_FAULTS[name](self, host, for_s))
        self._under_way.add(task)
        task.add_done_callback(self._under_way.discard)
        at_s = round(time.monotonic() - self._started_s, 2)
        self.injected.append(Injected(at_s, name, host.name, round(for_s, 2)))

    def _link(self, host: Host) -> Proxy:
        return self._rng.choice(host.links())

    async def kill(self, host: Host, for_s: float) -> None:
        """Kills a process; it comes back after a time."""
        host.down = True
        host.send(signal.SIGKILL)
        await asyncio.sleep(for_s)
        host.down = False

    async def kill_all(self, host: Host, for_s: float) -> None:
        """Kills all processes of a role at once."""
        peers = self._site.disks if host in self._site.disks else self._site.entries
        for peer in peers:
            peer.send(signal.SIGKILL)

    async def freeze(self, host: Host, for_s: float) -> None:
        """Pauses a process."""
        host.send(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        host.send(signal.SIGCONT)

    async def stop(self, host: Host, for_s: float) -> None:
        """Asks a process to stop; it is started again."""
        host.send(signal.SIGTERM)

    async def reload(self, host: Host, for_s: float) -> None:
        """Asks each process to read its settings again."""
        for each in self._site.hosts():
            each.send(signal.SIGHUP)

    async def wipe(self, host: Host, for_s: float) -> None:
        """Loses a disk; each but the first is lost after a calm, so that copies were made again."""
        if self._calm:
            return
        if self._wiped:
            self._calm = True
            others = self._under_way - {asyncio.current_task()}
            if others:
                await asyncio.wait(others)
            self._heal()
            await asyncio.sleep(CATCH_UP_S)
            self._calm = False
        self._wiped = True
        await self._rng.choice(self._site.disks).wipe()

    async def tear(self, host: Host, for_s: float) -> None:
        """Kills a disk's process and leaves a torn write in its journal."""
        disk = self._rng.choice(self._site.disks)
        await disk.tear(self._rng.randbytes(self._rng.randint(*TORN_BYTES)))

    async def cut(self, host: Host, for_s: float) -> None:
        """Cuts a link, in one direction or both."""
        link = self._link(host)
        link.cut_out, link.cut_back = self._rng.choice(((True, False), (False, True), (True, True)))
        await asyncio.sleep(for_s)
        link.heal()

    async def delay(self, host: Host, for_s: float) -> None:
        """Delays what goes over a link."""
        link = self._link(host)
        link.delay_s = self._rng.uniform(0.02, 0.3)
        await asyncio.sleep(for_s)
        link.heal()

    async def reset(self, host: Host, for_s: float) -> None:
        """Resets the open connections of a link."""
        self._link(host).reset()

    async def silence(self, host: Host, for_s: float) -> None:
        """Lets the open connections of a link go silent for good."""
        self._link(host).silence()

    async def store_away(self, host: Host, for_s: float) -> None:
        """Lets the key-value service refuse, lose or ignore calls."""
        faults = (
            Faults(status=503),
            Faults(status=429),
            Faults(lose_answers=True),
            Faults(silent=True),
        )
        self._site.store.faults = self._rng.choice(faults)
        await asyncio.sleep(for_s)
        self._site.store.faults = Faults()

    async def configure(self, host: Host, for_s: float) -> None:
        """Changes the configuration."""
        self._site.configure()

    async def trouble_replicas(self, host: Host, for_s: float) -> None:
        """Lets replicas lose, cut and delay some of their answers."""
        self._site.replicas.troubled = True
        await asyncio.sleep(for_s)
        self._site.replicas.troubled = False


_FAULTS: dict[str, Callable[[Injector, Host, float], Awaitable[None]]] = {
    "kill": Injector.kill,
    "kill_all": Injector.kill_all,
    "freeze": Injector.freeze,
    "stop": Injector.stop,
    "reload": Injector.reload,
    "wipe": Injector.wipe,
    "tear": Injector.tear,
    "cut": Injector.cut,
    "delay": Injector.delay,
    "reset": Injector.reset,
    "silence": Injector.silence,
    "store_away": Injector.store_away,
    "configure": Injector.configure,
    "trouble_replicas": Injector.trouble_replicas,
}
