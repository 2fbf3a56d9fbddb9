"""Orders to engines with real processes: rollouts, replaced senders, unknown outcomes."""

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
from endiveworks_standins.callers import RepeatingThreads, open_when_ready
from endiveworks_standins.fleet import Fleet, HostLocation, Proc, wait_until
from returns.result import Success

EAST = HostLocation("east", "east-1")
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


class EngineDeployment:
    """Replicas of one service, each an engine and its upstream process, and one entry."""

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

    def request_json(self, address: str, path: str, body: dict[str, Any] | None = None) -> Any:
        method = "GET" if body is None else "POST"
        resp = urllib3.request(method, f"http://{address}{path}", json=body, timeout=10.0)
        return resp.json()

    def start_entry(self) -> str:
        return self.fleet.start_entry("entry", EAST, LEASE)

    def start_hung_call(self, entry: str) -> str:
        """Makes a call that gets no response, and returns its request id at the engine."""
        engine = self.engines["engine-1"]
        self.request_json(engine, "/standin/faults", {"hang_streams": 1})
        program = _open_program(entry)
        threading.Thread(target=_chat, args=(program,), daemon=True).start()
        wait_until(lambda: self.log_lines(1, "accepted"))
        return str(self.log_lines(1, "accepted")[0]["request"])

    def set_order_faults(self, number: int, **faults: int) -> None:
        self.request_json(self.engines[f"engine-{number}"], "/standin/order_faults", faults)

    def version(self, number: int = 1) -> str:
        return str(self.request_json(self.engines[f"engine-{number}"], "/orders")["version"])

    def status_output(self) -> str:
        """Returns the output of the operator's status command."""
        out = io.StringIO()
        endivectl(["status", f"--kv={self.fleet.kv_address}"], {}, out, out)
        return out.getvalue()

    def wait_reason(self, proc: Proc | None = None) -> str:
        admin = (proc or self.fleet.procs["up-1"]).wait_event("listening")["admin"]
        return str(self.request_json(admin, "/status")["engine_waits_for"])

    def log_lines(self, number: int, *events: str) -> list[dict[str, Any]]:
        lines = self.fleet.executed(f"engine-{number}")
        return [line for line in lines if line["event"] in events]

    def executed(self, number: int = 1) -> list[str]:
        """Returns the orders that an engine has executed, according to its log."""
        return [line["order"] for line in self.log_lines(number, "order")]

    def fencing_numbers(self) -> list[int]:
        """Returns the fencing numbers that the first engine has received, in order of arrival."""
        lines = self.log_lines(1, "order", "order_refused", "order_repeated", "order_busy")
        return [int(line["fencing"]) for line in lines]


class CallLoad:
    """Programs that make calls until the context manager exits."""

    def __init__(self, address: str, programs: int) -> None:
        self.failures: list[Any] = []
        self.answers = 0
        opened = [_open_program(address) for _ in range(programs)]
        self._calls = RepeatingThreads([partial(self._call, program) for program in opened])

    def __enter__(self) -> "CallLoad":
        return self

    def __exit__(self, *exc: object) -> None:
        self._calls.close()

    def _call(self, program: Program) -> None:
        outcome = _chat(program)
        if isinstance(outcome, Success):
            self.answers += 1
        else:
            self.failures.append(outcome.failure())


def _chat(program: Program) -> Any:
    return program.chat("assistant", [{"role": "user", "content": "a board"}])


def _open_program(address: str) -> Program:
    return open_when_ready(connect((address,), "signs"), "assistant", "", 400_000)


@pytest.fixture
def make_deployment(tmp_path: Path) -> Iterator[Callable[..., EngineDeployment]]:
    with Fleet(tmp_path) as fleet:
        yield lambda **terms: EngineDeployment(fleet, **terms)


class TestRollout:
    def test_under_load_engines_load_one_at_a_time_and_no_call_is_interrupted(
        self, make_deployment: Callable[..., EngineDeployment]
    ) -> None:
        deployment = make_deployment(checks=True, min_serving=1)
        for number in (1, 2, 3):
            deployment.add_replica(number, "--load_s=0.3")
        deployment.set_order_faults(1, lose_answers=1)
        deployment.set_order_faults(2, refuse_loads=2)
        with CallLoad(deployment.start_entry(), programs=6) as load:
            wait_until(lambda: load.answers > 6)
            deployment.publish("2", ("gold",))
            wait_until(
                lambda: all(len(deployment.log_lines(each, "loaded")) == 2 for each in (1, 2, 3))
            )
            answered = load.answers
            wait_until(lambda: load.answers > answered + 6)
        assert not load.failures
        orders = ["set_version 2", "load_adapter gold"]
        assert [deployment.executed(number) for number in (1, 2, 3)] == [orders] * 3
        order_lines = [
            line for number in (1, 2, 3) for line in deployment.log_lines(number, "order")
        ]
        assert {line["interrupted"] for line in order_lines} == {0}
        assert not [
            line for number in (1, 2, 3) for line in deployment.log_lines(number, "not_served")
        ]
        assert max_concurrent_loads(deployment, (1, 2, 3)) == 1
        assert deployment.log_lines(1, "order_repeated") == []
        assert len(deployment.log_lines(2, "order_refused")) == 2


class TestReplacedSender:
    def test_successor_of_a_sender_killed_during_a_load_does_not_repeat_it(
        self, make_deployment: Callable[..., EngineDeployment]
    ) -> None:
        deployment = make_deployment(checks=True)
        deployment.add_replica(1, "--load_s=2")
        deployment.publish("2")
        wait_until(lambda: deployment.executed() == ["set_version 2"])
        deployment.fleet.procs["up-1"].kill()
        deployment.start_upstream(1)
        deployment.publish("3")
        wait_until(lambda: deployment.version() == "3")
        assert deployment.executed() == ["set_version 2", "set_version 3"]
        wait_until(lambda: deployment.status_output().count("m@3") == 2)
        assert "WAITS_FOR" in deployment.status_output()
        assert deployment.log_lines(1, "order_busy", "order_repeated") == []
        first, second = (int(line["fencing"]) for line in deployment.log_lines(1, "order"))
        assert first < second
        late = {"kind": "set_version", "value": "2", "fencing": first}
        deployment.request_json(deployment.engines["engine-1"], "/orders", late)
        assert len(deployment.log_lines(1, "order_old")) == 1

    def test_replaced_sender_sends_nothing_after_it_is_unfrozen(
        self, make_deployment: Callable[..., EngineDeployment]
    ) -> None:
        deployment = make_deployment()
        deployment.add_replica(1)
        deployment.set_order_faults(1, refuse_loads=1_000_000)
        deployment.publish("2")
        frozen = deployment.fleet.procs["up-1"]
        frozen.wait_event("order_failed")
        frozen.freeze()
        frozen_count = len(deployment.fencing_numbers())
        deployment.start_upstream(1)
        wait_until(lambda: len(deployment.fencing_numbers()) > frozen_count)
        lowest = deployment.fencing_numbers()[frozen_count]
        frozen.thaw()
        frozen.wait_event("superseded")
        deployment.set_order_faults(1)
        wait_until(lambda: deployment.version() == "2")
        assert lowest > max(deployment.fencing_numbers()[:frozen_count])
        later = deployment.fencing_numbers()[frozen_count:]
        assert later == sorted(set(later))
        assert deployment.executed() == ["set_version 2"]


class TestOutage:
    def test_no_reload_starts_and_calls_are_served(
        self, make_deployment: Callable[..., EngineDeployment]
    ) -> None:
        deployment = make_deployment(checks=True)
        deployment.add_replica(1)
        entry = deployment.start_entry()
        hung = deployment.start_hung_call(entry)
        deployment.publish("2")
        wait_until(lambda: deployment.wait_reason() == "calls")
        deployment.request_json(deployment.fleet.kv_address, "/standin/faults", {"down": True})
        wait_until(lambda: deployment.wait_reason() == "key-value service")
        deployment.request_json(deployment.engines["engine-1"], "/v1/cancel", {"request_id": hung})
        with CallLoad(entry, programs=1) as load:
            wait_until(lambda: load.answers > 2)
            assert deployment.executed() == []
            deployment.request_json(deployment.fleet.kv_address, "/standin/faults", {"down": False})
            wait_until(lambda: deployment.version() == "2")
        assert deployment.executed() == ["set_version 2"]


def max_concurrent_loads(deployment: EngineDeployment, numbers: tuple[int, ...]) -> int:
    """Returns the maximum number of concurrent loads, according to the engines' logs."""
    steps = []
    for number in numbers:
        steps += [(line["at"], 1) for line in deployment.log_lines(number, "order")]
        steps += [(line["at"], -1) for line in deployment.log_lines(number, "loaded")]
    running = highest = 0
    for _, change in sorted(steps):
        running += change
        highest = max(highest, running)
    return highest
