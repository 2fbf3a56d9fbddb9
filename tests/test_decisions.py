"""The decisions in real processes: order, preemption, engine memory, explanations."""

import io
import json
import threading
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
import urllib3
from endiveworks.client.caller import Program, connect
from endiveworks.client.transport import Deployment
from endiveworks.replay.policy import FULL
from endiveworks.replay.run import replay
from endiveworks.replay.trace import read_trace
from endiveworks_ctl.main import main as endivectl
from endiveworks_standins.callers import open_when_ready
from endiveworks_standins.fleet import Fleet, HostLocation, wait_until
from returns.result import Success

EAST = HostLocation("east", "east-1")
# Far above the engine keeper's grace and the period of renewals.
FREED_WITHIN_S = 60.0
SERVICE = """
name = "assistant"
kind = "model"
model = "m"
default_class = "back"
checks_fencing = false
deadline_s = 60.0
max_tokens = 400
slots = SLOTS

[classes]
front = 0
back = 1

[weights]
latency = 1.0
wasted_cache = 1.0

[tenants."*"]
weight = 1.0
budget_tokens = 400_000
"""
SLOW = ("--step_s=0.05", "--answer_tokens=200")
FAST = ("--step_s=0.002", "--answer_tokens=10")


class Site:
    """One engine with its process, and one entry; further engines with theirs on request."""

    def __init__(self, fleet: Fleet, slots: int, *engine_flags: str, upstreams: int = 1) -> None:
        self.fleet = fleet
        self.trace = fleet.folder / "trace"
        services = fleet.folder / "services"
        services.mkdir()
        (services / "assistant.toml").write_text(SERVICE.replace("SLOTS", str(slots)))
        fleet.start_kv()
        fleet.publish(services)
        self.engine = fleet.start_engine("engine", *engine_flags)
        self.start_upstream("up-1")
        # Before the entry, which then knows all of them from its start.
        for number in range(2, upstreams + 1):
            engine = fleet.start_engine(f"engine-{number}", *engine_flags)
            fleet.start_upstream(f"up-{number}", EAST, "assistant", engine, "--lease_s=2")
        self.deployment: Deployment = connect(
            (fleet.start_entry("entry", EAST, "--lease_s=2", f"--trace_file={self.trace}"),),
            "signs",
        )

    def start_upstream(self, name: str) -> None:
        self.fleet.start_upstream(name, EAST, "assistant", self.engine, "--lease_s=2")

    def open(self, class_name: str = "") -> Program:
        return open_when_ready(self.deployment, "assistant", class_name, 100_000)

    def ask(self, path: str, body: dict[str, Any] | None = None) -> Any:
        method = "GET" if body is None else "POST"
        url = f"http://{self.engine}{path}"
        return urllib3.request(method, url, json=body, retries=False, timeout=10.0).json()

    def cached(self) -> dict[str, int]:
        return self.ask("/cache/list")["prefixes"]

    def exported(self) -> dict[str, int]:
        return self.ask("/cache/list")["exported"]

    def used(self, program: Program) -> int:
        return program.status().unwrap()["attained_tokens"]

    def finished(self, ending: str) -> list[str]:
        lines = self.fleet.executed("engine")
        return [
            line["salt"]
            for line in lines
            if line["event"] == "finished" and line["ending"] == ending
        ]

    def running(self) -> int:
        return int(self.ask("/load")["running"])


def say(program: Program, text: str = "a fascia board, please") -> Any:
    return program.chat("assistant", [{"role": "user", "content": text}])


def say_later(program: Program) -> tuple[threading.Thread, list[Any]]:
    answers: list[Any] = []
    thread = threading.Thread(target=lambda: answers.append(say(program)), daemon=True)
    thread.start()
    return thread, answers


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Callable[..., Site]]:
    with Fleet(tmp_path) as fleet:
        yield lambda slots, *flags, **more: Site(fleet, slots, "--load_lag_s=0", *flags, **more)


class TestPriority:
    def test_higher_class_interrupts_and_the_interrupted_answer_stays_whole(
        self, site: Callable[..., Site]
    ) -> None:
        place = site(1, *SLOW)
        back, front = place.open("back"), place.open("front")
        thread, answers = say_later(back)
        wait_until(lambda: place.running() == 1)
        assert isinstance(say(front), Success)
        thread.join(60.0)
        assert isinstance(answers[0], Success)
        assert place.finished("cancelled") == [back.id]
        assert place.finished("stop") == [front.id, back.id]
        alone = place.open("back")
        whole = say(alone).unwrap()
        assert answers[0].unwrap().text == whole.text


class TestMemory:
    def test_prefix_is_reused_and_released_once_the_program_is_closed(
        self, site: Callable[..., Site]
    ) -> None:
        place = site(4, *FAST)
        program = place.open()
        say(program).unwrap()
        say(program).unwrap()
        log = [line for line in place.fleet.executed("engine") if line["event"] == "finished"]
        assert log[-1]["cached_tokens"] > 0
        assert program.id in place.cached()
        program.close().unwrap()
        wait_until(lambda: place.cached() == {}, FREED_WITHIN_S)

    def test_memory_is_freed_when_owner_and_upstream_process_died_in_a_pause(
        self, site: Callable[..., Site]
    ) -> None:
        place = site(4, *FAST)
        program = place.open()
        say(program).unwrap()
        assert program.id in place.cached()
        place.fleet.procs["entry"].kill()
        place.fleet.procs["up-1"].kill()
        place.start_upstream("up-1")
        wait_until(lambda: place.cached() == {}, FREED_WITHIN_S)

    def test_cache_lost_unannounced_and_events_lost_cost_only_the_recomputation(
        self, site: Callable[..., Site]
    ) -> None:
        place = site(4, *FAST)
        program = place.open()
        say(program).unwrap()
        place.ask("/standin/faults", {"restart": True, "lose_events": True, "freeze_load": True})
        assert isinstance(say(program), Success)
        log = [line for line in place.fleet.executed("engine") if line["event"] == "finished"]
        assert log[-1]["cached_tokens"] == 0
        assert log[-1]["prompt_tokens"] > log[0]["prompt_tokens"]

    def test_late_cancel_stops_the_engine(self, site: Callable[..., Site]) -> None:
        place = site(1, *SLOW)
        program = place.open()
        thread, answers = say_later(program)
        wait_until(lambda: place.running() == 1)
        program.close().unwrap()
        wait_until(lambda: place.finished("cancelled") == [program.id])
        thread.join(60.0)
        assert not isinstance(answers[0], Success)


class TestExplain:
    def test_names_the_upstream_and_the_reasons(self, site: Callable[..., Site]) -> None:
        place = site(4, *FAST)
        program = place.open()
        say(program).unwrap()
        argv = ["programs", "explain", program.id, f"--kv={place.fleet.kv_address}"]
        out = io.StringIO()
        assert endivectl([*argv, "--format=json"], {}, out, out) == 0
        rows = json.loads(out.getvalue())
        routed = {row["rule"] for row in rows if row["decision"] == "route"}
        admitted = {row["rule"] for row in rows if row["decision"] == "admit"}
        assert {row["chosen"] for row in rows} == {"up-1", ""}
        assert {"wait_s", "recomputed_tokens"} <= routed
        assert {"predicted_wait_s", "class_priority", "waited_s"} <= admitted


class TestRecording:
    def test_recorded_trace_replays(self, site: Callable[..., Site]) -> None:
        place = site(4, *FAST)
        program = place.open("front")
        for _ in range(3):
            say(program).unwrap()
        path = place.trace.with_name("trace.assistant")
        wait_until(lambda: path.exists() and len(path.read_bytes().splitlines()) == 4)
        trace = read_trace(path)
        assert [call.call for call in trace.calls] == [0, 1, 2]
        assert {call.class_name for call in trace.calls} == {"front"}
        assert b"fascia" not in path.read_bytes()
        assert replay(trace, FULL).done_share == 1.0


class TestFrozenReport:
    def test_upstream_whose_load_report_is_frozen_at_idle_does_not_get_every_call(
        self, site: Callable[..., Site]
    ) -> None:
        place = site(4, "--step_s=0.02", "--answer_tokens=40", upstreams=3)
        place.ask("/standin/faults", {"freeze_load": True})
        programs = [place.open() for _ in range(9)]
        calls = [say_later(program) for program in programs]
        for thread, _ in calls:
            thread.join(60.0)
        assert all(isinstance(answers[0], Success) for _, answers in calls)
        assert place.running() == 0  # The report, which is frozen.
        ran = len(place.finished("stop"))
        assert 0 < ran < len(programs)


class TestExport:
    def test_prefix_of_a_paused_program_makes_room_and_comes_back(
        self, site: Callable[..., Site]
    ) -> None:
        # Room for the prefix of one program beside a running call, not for two.
        place = site(4, *FAST, "--memory_tokens=1200")
        first, second = place.open(), place.open()
        say(first, "a " * 1_000).unwrap()
        say(second, "b " * 1_000).unwrap()
        assert place.exported() == {first.id: place.used(first)}
        say(first, "and in gold?").unwrap()
        again = [line for line in place.fleet.executed("engine") if line["event"] == "finished"]
        assert again[-1]["salt"] == first.id
        assert again[-1]["cached_tokens"] >= 500
