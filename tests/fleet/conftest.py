"""A deployment of one plain service, with what the tests of the fleet ask of it."""

import json
import time
from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path
from typing import Any

import pytest
import urllib3
from endiveworks.client.caller import Program, connect
from endiveworks.config import publish as publication
from endiveworks.config.publish import PublishRefusal, PublishRequest, PublishResult
from endiveworks.config.service_file import collect
from endiveworks.kvservice.etcd import connect as connect_kv
from endiveworks.members.member import Member
from endiveworks.members.registry import read_members
from endiveworks_standins.callers import RepeatingThreads, open_when_ready
from endiveworks_standins.fleet import OBSERVER_TIMEOUT_S, Fleet, HostLocation, wait_until
from returns.result import Result, Success

SERVICES = Path(__file__).parents[2] / "examples" / "services"
EAST = HostLocation("east", "east-1")
WEST = HostLocation("west", "west-1")
RETRIES_S = (0.1, 0.2, 0.4, 0.8, 1.6, 1.6, 1.6)


class Load:
    """Programs that make calls one after the other until they are told to stop."""

    def __init__(self, cluster: Any, programs: int) -> None:
        self.failures: list[Any] = []
        self.receipts: list[int] = []
        opened = [cluster.open_program() for _ in range(programs)]
        self._calls = RepeatingThreads([partial(self._call, program) for program in opened])

    def __enter__(self) -> "Load":
        return self

    def __exit__(self, *exc: object) -> None:
        self._calls.close()

    def _call(self, program: Any) -> None:
        outcome = program.call("shop", "lookup", {"item": "fascia"})
        if not isinstance(outcome, Success):
            self.failures.append(outcome.failure())
        elif outcome.unwrap().status != 200:
            self.failures.append(outcome.unwrap())
        else:
            self.receipts.append(json.loads(outcome.unwrap().body)["receipt"])


class Cluster(Fleet):
    """Processes of one deployment and the questions that tests ask of them."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.start_kv()
        self.kv = connect_kv(self.kv_address, OBSERVER_TIMEOUT_S)
        self.shop = self.start_plain("shop-1")
        self.entries: dict[str, str] = {}
        self.services = dict(collect([SERVICES]).unwrap().services)

    def add_entry(self, name: str, place: HostLocation = EAST, *flags: str) -> None:
        self.entries[name] = self.start_entry(name, place, *flags)

    def add_upstream(self, name: str, *flags: str, shop: str = "") -> None:
        self.start_upstream(name, EAST, "shop", shop or self.shop, *flags)

    def add_forwarded_upstream(self, name: str, *flags: str) -> None:
        """Starts an upstream process that the others reach through a forwarder."""
        self.add_upstream(name, f"--advertise={self.start_link(name)}", *flags)
        self.set_link_target(name, self.procs[name].wait_event("listening")["thrift"])

    def add_entry_behind_link(self, name: str, place: HostLocation, *flags: str) -> None:
        """Starts an entry that reaches the key-value service through a forwarder."""
        address = self.start_link(name, self.kv_address)
        self.add_entry(name, place, f"--kv={address}", *flags)

    def start_link(self, name: str, target: str = "") -> str:
        """Starts a forwarder under a name and returns its address."""
        address = self.start_standin(f"forward-{name}", "forwarder")
        if target:
            self.set_link_target(name, target)
        return address

    def set_link_target(self, name: str, target: str) -> None:
        self._standin("POST", self._control(name), "/standin/target", {"target": target})

    def set_link_faults(self, name: str, **faults: Any) -> int:
        """Sets faults of a forwarder and returns how many connections it has accepted."""
        answer = self._standin("POST", self._control(name), "/standin/faults", faults)
        return int(answer["accepted"])

    def _control(self, name: str) -> str:
        return str(self.procs[f"forward-{name}"].wait_event("listening")["control"])

    def set_faults(self, **faults: Any) -> None:
        self._standin("POST", self.kv_address, "/standin/faults", faults)

    def set_hosts(self, **states: str) -> None:
        hosts = [{"host": host, "state": state} for host, state in states.items()]
        self._standin("POST", self.kv_address, "/standin/hosts", {"hosts": hosts})

    def watches_waiting(self) -> int:
        counters = self._standin("GET", self.kv_address, "/standin/counters", None)
        return int(counters["watches_waiting"])

    def publish_slots(
        self, slots: int, expected: int, publisher: str = "ann"
    ) -> Result[PublishResult, PublishRefusal]:
        shop = self.services["shop"]._replace(slots=slots)
        services = {**self.services, "shop": shop}
        identity = f"{publisher}-{expected}"
        req = PublishRequest(services, publisher, expected, identity, time.time())
        return publication.publish(self.kv, req, RETRIES_S, time.sleep)

    def members(self) -> dict[str, Member]:
        return {member.host: member for member in read_members(self.kv).unwrap()}

    def status(self, name: str) -> dict[str, Any]:
        address = self.procs[name].wait_event("listening")["admin"]
        return self._standin("GET", address, "/status", None)

    def versions(self, *names: str) -> list[int]:
        return [int(self.status(name)["config_version"]) for name in names]

    def events(self, name: str, event: str) -> list[dict[str, Any]]:
        return [line for line in self.procs[name].events if line.get("event") == event]

    def load(self, programs: int) -> Load:
        """Starts programs that make calls for as long as the returned value is open."""
        return Load(self, programs)

    def open_program(self, *entries: str) -> Program:
        addresses = [self.entries[name] for name in entries or self.entries]
        deployment = connect(addresses, "signs", timeout_s=60.0, silence_s=10.0)
        return open_when_ready(deployment, "shop", "front", 400_000)

    def _standin(self, method: str, address: str, path: str, body: Any) -> Any:
        resp = urllib3.request(method, f"http://{address}{path}", json=body, timeout=5.0)
        return json.loads(resp.data)


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[Cluster]:
    with Cluster(tmp_path) as running:
        yield running


@pytest.fixture
def until() -> Callable[..., None]:
    return wait_until
