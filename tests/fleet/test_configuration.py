import json
import subprocess
import sys
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from endiveworks.config.publish import BUNDLE_KEY, read_bundle
from endiveworks.errors import Code
from endiveworks.kvservice.kv import Swap
from endiveworks_ctl.exits import Exit
from endiveworks_standins.demo import SERVICES
from endiveworks_standins.fleet import HostLocation
from returns.result import Success

EAST = HostLocation("east", "east-1")
WEST = HostLocation("west", "west-1")
LONG_LEASE = "--lease_s=300"
NAMES = ("entry-1", "entry-2", "up-1")
Until = Callable[..., None]


@pytest.fixture
def running(cluster: Any, until: Until) -> Any:
    """Two entries in two regions and one upstream process, all at version 1."""
    cluster.publish_slots(4, expected=0).unwrap()
    # No lease lapses during a test, so that nothing here is mended by the removal of a host.
    cluster.add_upstream("up-1", LONG_LEASE)
    cluster.add_entry("entry-1", EAST, LONG_LEASE)
    cluster.add_entry("entry-2", WEST, LONG_LEASE)
    until(lambda: cluster.versions(*NAMES) == [1, 1, 1])
    return cluster


class TestPublishing:
    def test_of_two_racing_operators_one_wins_everywhere(self, running: Any, until: Until) -> None:
        outcomes: dict[str, Any] = {}

        def race(publisher: str, slots: int) -> None:
            outcomes[publisher] = running.publish_slots(slots, 1, publisher)

        racers = [threading.Thread(target=race, args=args) for args in (("ann", 5), ("bob", 6))]
        for racer in racers:
            racer.start()
        for racer in racers:
            racer.join()
        lost = [outcome.failure() for outcome in outcomes.values() if not _won(outcome)]
        winner = read_bundle(running.kv).unwrap().publisher
        assert len(lost) == 1
        assert lost[0].failure.code == Code.CONFLICT
        assert lost[0].in_force.publisher == winner
        assert [change.key for change in lost[0].differences] == ["slots"]
        until(lambda: running.versions(*NAMES) == [2, 2, 2])

    def test_a_lost_answer_is_not_published_twice(self, running: Any, until: Until) -> None:
        running.set_faults(lose_answers=2)
        assert running.publish_slots(5, expected=1).unwrap().changed
        until(lambda: running.versions(*NAMES) == [2, 2, 2])

    def test_a_slow_and_flapping_service_delays_but_decides_once(
        self, running: Any, until: Until
    ) -> None:
        running.set_faults(down=True)
        timer = threading.Timer(1.0, lambda: running.set_faults(delay_ms=300, lose_answers=1))
        timer.start()
        assert running.publish_slots(5, expected=1).unwrap().changed
        until(lambda: running.versions(*NAMES) == [2, 2, 2])


class TestAdoption:
    def test_silent_watches_delay_it_but_do_not_stop_it(self, running: Any, until: Until) -> None:
        running.set_faults(silent_watches=True)
        running.set_faults()
        running.publish_slots(5, expected=1).unwrap()
        until(lambda: running.versions(*NAMES) == [2, 2, 2])

    def test_an_outage_keeps_the_old_version_and_a_new_process_takes_it_from_a_peer(
        self, running: Any, until: Until
    ) -> None:
        seed = running.procs["entry-1"].wait_event("listening")["thrift"]
        running.set_faults(down=True)
        running.add_entry("entry-3", WEST, f"--seeds={seed}")
        assert running.versions("entry-3", *NAMES) == [1, 1, 1, 1]
        running.set_faults()
        running.publish_slots(5, expected=1).unwrap()
        until(lambda: running.versions("entry-3", *NAMES) == [2, 2, 2, 2])

    def test_an_unreadable_bundle_is_refused_with_an_alarm(
        self, running: Any, until: Until
    ) -> None:
        entry = running.kv.read(BUNDLE_KEY).unwrap()
        damaged = entry.value.replace(b'"version":1', b'"version":2').replace(b"slots", b"slotz")
        running.kv.swap(Swap(BUNDLE_KEY, damaged, entry.mod_revision)).unwrap()
        until(lambda: running.events("entry-2", "config_refused"))
        assert running.versions(*NAMES) == [1, 1, 1]

    def test_a_frozen_watcher_does_not_hold_its_region_back(
        self, running: Any, until: Until
    ) -> None:
        for name in ("entry-1", "up-1"):
            running.procs[name].freeze()
            other = "up-1" if name == "entry-1" else "entry-1"
            version = running.versions("entry-2")[0]
            running.publish_slots(10 + version, expected=version).unwrap()
            until(lambda other=other, next=version + 1: running.versions(other) == [next])
            running.procs[name].thaw()
            until(lambda next=version + 1: running.versions(*NAMES) == [next] * 3)


def _won(outcome: Any) -> bool:
    return isinstance(outcome, Success)


class TestWaiting:
    def test_publish_names_the_processes_that_are_behind(self, running: Any, until: Until) -> None:
        running.procs["entry-2"].freeze()
        first = publish(running, running.folder, slots=5)
        assert first.returncode == Exit.PARTIAL
        assert json.loads(first.stdout)["behind"] == ["entry-2"]
        running.procs["entry-2"].thaw()
        until(lambda: running.versions("entry-2") == [2])
        second = publish(running, running.folder, slots=6)
        assert second.returncode == Exit.OK
        assert json.loads(second.stdout)["behind"] == []
        assert running.versions(*NAMES) == [3, 3, 3]


def publish(running: Any, folder: Path, slots: int) -> "subprocess.CompletedProcess[str]":
    text = (SERVICES / "shop.toml").read_text()
    path = folder / "shop.toml"
    path.write_text(text.replace("slots = 8", f"slots = {slots}"))
    command = [sys.executable, "-m", "endiveworks_ctl.main", "publish", str(path)]
    flags = [f"--kv={running.kv_address}", "--wait_s=3", "--timeout_s=1", "--format=json"]
    return subprocess.run([*command, *flags], capture_output=True, text=True, check=False)
