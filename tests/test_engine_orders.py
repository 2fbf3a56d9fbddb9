"""Orders to engines with real processes: rolling changes, replaced senders, doubtful outcomes."""

import io
import json
import threading
from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path
from typing import Any

import pytest
import urllib3
from endiveworks.client.caller import Program, connect
from endiveworks_ctl.main import main as endivectl
from endiveworks_standins.callers import Repeated, open_when_ready
from endiveworks_standins.fleet import Fleet, Place, Proc, wait_until
from returns.result import Success

EAST = Place("east", "east-1")
LEASE = "--lease_s=2"
ENGINE = (
    "--model=m",
    "--model_version=1",
    "--step_s=0.01",
    "--answer_tokens=20",
    "--load_lag_s=0",
)
SERVICE = """
name = "assistant"
kind = "model"
model = "m"
default_class = "back"
checks_fencing = CHECKS
deadline_s = 60.0
max_tokens = 100
slots = 4

[classes]
back = 1

[tenants."*"]
budget_tokens = 400_000

[engine]
version = "VERSION"
adapters = ADAPTERS
min_serving = MIN_SERVING
reloads_at_once = 2
"""


class Site:
    """Replicas of one service, each an engine with its process, and one entry."""

    def __init__(self, fleet: Fleet, checks: bool = False, min_serving: int = 0) -> None:
        self.fleet = fleet
        self.checks = checks
        self.min_serving = min_serving
        self.engines: dict[str, str] = {}
        self.services = fleet.folder / "services"
        self.services.mkdir()
        fleet.start_kv()
        self.publish("1")

    def publish(self, version: str, adapters: tuple[str, ...] = ()) -> None:
        text = SERVICE.replace("CHECKS", json.dumps(self.checks)).replace("VERSION", version)
        text = text.replace("ADAPTERS", json.dumps(adapters))
        text = text.replace("MIN_SERVING", str(self.min_serving))
        (self.services / "assistant.toml").write_text(text)
        self.fleet.publish(self.services)

    def add_replica(self, number: int, *flags: str) -> None:
        checks = ["--check_fencing"] if self.checks else []
        name = f"engine-{number}"
        self.engines[name] = self.fleet.start_engine(name, *ENGINE, *checks, *flags)
        self.start_upstream(number)

    def start_upstream(self, number: int, *flags: str) -> None:
        address = self.engines[f"engine-{number}"]
        self.fleet.start_upstream(f"up-{number}", EAST, "assistant", address, LEASE, *flags)

    def ask(self, address: str, path: str, body: dict[str, Any] | None = None) -> Any:
        method = "GET" if body is None else "POST"
        resp = urllib3.request(method, f"http://{address}{path}", json=body, timeout=10.0)
        return resp.json()

    def start_entry(self) -> str:
        return self.fleet.start_entry("entry", EAST, LEASE)

    def hang_a_call(self, entry: str) -> str:
        """Makes a call that gets no answer, and returns the engine's id for it."""
        engine = self.engines["engine-1"]
        self.ask(engine, "/standin/faults", {"hang_streams": 1})
        program = _open(entry)
        threading.Thread(target=_say, args=(program,), daemon=True).start()
        wait_until(lambda: self.logged(1, "accepted"))
        return str(self.logged(1, "accepted")[0]["request"])

    def set_order_faults(self, number: int, **faults: int) -> None:
        self.ask(self.engines[f"engine-{number}"], "/standin/order_faults", faults)

    def version(self, number: int = 1) -> str:
        return str(self.ask(self.engines[f"engine-{number}"], "/orders")["version"])

    def shown(self) -> str:
        """Returns what the operator's command shows."""
        out = io.StringIO()
        endivectl(["status", f"--kv={self.fleet.kv_address}"], {}, out, out)
        return out.getvalue()

    def waits_for(self, proc: Proc | None = None) -> str:
        admin = (proc or self.fleet.procs["up-1"]).wait_event("listening")["admin"]
        return str(self.ask(admin, "/status")["engine_waits_for"])

    def logged(self, number: int, *events: str) -> list[dict[str, Any]]:
        lines = self.fleet.executed(f"engine-{number}")
        return [line for line in lines if line["event"] in events]

    def executed(self, number: int = 1) -> list[str]:
        """Returns the orders that an engine has carried out, by its own log."""
        return [line["order"] for line in self.logged(number, "order")]

    def numbers(self) -> list[int]:
        """Returns the fencing numbers that have reached the first engine, in their order."""
        lines = self.logged(1, "order", "order_refused", "order_repeated", "order_busy")
        return [int(line["fencing"]) for line in lines]


class Load:
    """Programs that make calls for as long as the value is open."""

    def __init__(self, address: str, programs: int) -> None:
        self.failures: list[Any] = []
        self.answers = 0
        opened = [_open(address) for _ in range(programs)]
        self._calls = Repeated([partial(self._call, program) for program in opened])

    def __enter__(self) -> "Load":
        return self

    def __exit__(self, *exc: object) -> None:
        self._calls.close()

    def _call(self, program: Program) -> None:
        outcome = _say(program)
        if isinstance(outcome, Success):
            self.answers += 1
        else:
            self.failures.append(outcome.failure())


def _say(program: Program) -> Any:
    return program.chat("assistant", [{"role": "user", "content": "a board"}])


def _open(address: str) -> Program:
    return open_when_ready(connect((address,), "signs"), "assistant", "", 400_000)


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Callable[..., Site]]:
    with Fleet(tmp_path) as fleet:
        yield lambda **terms: Site(fleet, **terms)


class TestRollout:
    def test_under_load_one_load_at_a_time_and_no_call_is_cut_off(
        self, site: Callable[..., Site]
    ) -> None:
        place = site(checks=True, min_serving=1)
        for number in (1, 2, 3):
            place.add_replica(number, "--load_s=0.3")
        place.set_order_faults(1, lose_answers=1)
        place.set_order_faults(2, refuse_loads=2)
        with Load(place.start_entry(), programs=6) as load:
            wait_until(lambda: load.answers > 6)
            place.publish("2", ("gold",))
            wait_until(lambda: all(len(place.logged(each, "loaded")) == 2 for each in (1, 2, 3)))
            answered = load.answers
            wait_until(lambda: load.answers > answered + 6)
        assert not load.failures
        orders = ["set_version 2", "load_adapter gold"]
        assert [place.executed(number) for number in (1, 2, 3)] == [orders] * 3
        begun = [line for number in (1, 2, 3) for line in place.logged(number, "order")]
        assert {line["interrupted"] for line in begun} == {0}
        assert not [line for number in (1, 2, 3) for line in place.logged(number, "not_served")]
        assert most_at_once(place, (1, 2, 3)) == 1
        assert place.logged(1, "order_repeated") == []
        assert len(place.logged(2, "order_refused")) == 2


class TestReplacedSender:
    def test_killed_in_a_load_the_next_one_finds_it_under_way(
        self, site: Callable[..., Site]
    ) -> None:
        place = site(checks=True)
        place.add_replica(1, "--load_s=2")
        place.publish("2")
        wait_until(lambda: place.executed() == ["set_version 2"])
        place.fleet.procs["up-1"].kill()
        place.start_upstream(1)
        place.publish("3")
        wait_until(lambda: place.version() == "3")
        assert place.executed() == ["set_version 2", "set_version 3"]
        wait_until(lambda: place.shown().count("m@3") == 2)
        assert "WAITS_FOR" in place.shown()
        assert place.logged(1, "order_busy", "order_repeated") == []
        first, second = (int(line["fencing"]) for line in place.logged(1, "order"))
        assert first < second
        late = {"kind": "set_version", "value": "2", "fencing": first}
        place.ask(place.engines["engine-1"], "/orders", late)
        assert len(place.logged(1, "order_old")) == 1

    def test_frozen_and_replaced_it_sends_nothing_after_it_was_thawed(
        self, site: Callable[..., Site]
    ) -> None:
        place = site()
        place.add_replica(1)
        place.set_order_faults(1, refuse_loads=1_000_000)
        place.publish("2")
        frozen = place.fleet.procs["up-1"]
        frozen.wait_event("order_failed")
        frozen.freeze()
        of_frozen = len(place.numbers())
        place.start_upstream(1)
        wait_until(lambda: len(place.numbers()) > of_frozen)
        lowest = place.numbers()[of_frozen]
        frozen.thaw()
        frozen.wait_event("superseded")
        place.set_order_faults(1)
        wait_until(lambda: place.version() == "2")
        assert lowest > max(place.numbers()[:of_frozen])
        later = place.numbers()[of_frozen:]
        assert later == sorted(set(later))
        assert place.executed() == ["set_version 2"]


class TestOutage:
    def test_no_reload_begins_and_calls_are_answered(self, site: Callable[..., Site]) -> None:
        place = site(checks=True)
        place.add_replica(1)
        entry = place.start_entry()
        hung = place.hang_a_call(entry)
        place.publish("2")
        wait_until(lambda: place.waits_for() == "calls")
        place.ask(place.fleet.kv_address, "/standin/faults", {"down": True})
        wait_until(lambda: place.waits_for() == "key-value service")
        place.ask(place.engines["engine-1"], "/v1/cancel", {"request_id": hung})
        with Load(entry, programs=1) as load:
            wait_until(lambda: load.answers > 2)
            assert place.executed() == []
            place.ask(place.fleet.kv_address, "/standin/faults", {"down": False})
            wait_until(lambda: place.version() == "2")
        assert place.executed() == ["set_version 2"]


def most_at_once(place: Site, numbers: tuple[int, ...]) -> int:
    """Returns the most loads that were under way at once, by the engines' logs."""
    steps = []
    for number in numbers:
        steps += [(line["at"], 1) for line in place.logged(number, "order")]
        steps += [(line["at"], -1) for line in place.logged(number, "loaded")]
    under_way = most = 0
    for _, change in sorted(steps):
        under_way += change
        most = max(most, under_way)
    return most
