import time
from collections.abc import Callable
from typing import Any

import pytest
from endiveworks_standins.fleet import HostLocation
from returns.result import Success

EAST = HostLocation("east", "east-1")
Until = Callable[..., None]


@pytest.fixture
def running(cluster: Any) -> Any:
    """One entry and two upstream processes, each in front of its own plain service."""
    cluster.publish_slots(4, expected=0).unwrap()
    cluster.shops = {"up-1": "shop-1", "up-2": "shop-2"}
    shop_2 = cluster.start_plain("shop-2")
    cluster.add_upstream("up-1", "--lease_s=2")
    cluster.add_upstream("up-2", "--lease_s=2", shop=shop_2)
    cluster.add_entry("entry-1")
    return cluster


def executions(cluster: Any, upstream: str) -> int:
    return len(cluster.executed(cluster.shops[upstream]))


def wait_idle(cluster: Any, until: Until, upstream: str) -> None:
    """Waits until an upstream gets no calls while the other one still does."""
    other = "up-2" if upstream == "up-1" else "up-1"

    def is_idle() -> bool:
        before = executions(cluster, upstream)
        other_before = executions(cluster, other)
        until(lambda: executions(cluster, other) >= other_before + 20)
        return executions(cluster, upstream) == before

    until(is_idle)


class TestLeaving:
    def test_a_stop_by_signal_aborts_no_call_and_ends_new_work(
        self, running: Any, until: Until
    ) -> None:
        with running.load(programs=4) as load:
            until(lambda: executions(running, "up-1") > 10 and executions(running, "up-2") > 10)
            assert running.procs["up-1"].terminate() == 0
            wait_idle(running, until, "up-1")
        assert not load.failures
        assert "up-1" not in running.members()

    def test_an_upstream_leaving_only_per_the_host_list_gets_no_new_work(
        self, running: Any, until: Until
    ) -> None:
        with running.load(programs=4) as load:
            until(lambda: executions(running, "up-1") > 10)
            running.set_hosts(**{"up-1": "leaving", "up-2": "live"})
            wait_idle(running, until, "up-1")
            running.set_hosts(**{"up-1": "live", "up-2": "live"})
            before = executions(running, "up-1")
            until(lambda: executions(running, "up-1") > before)
        assert not load.failures

    def test_a_killed_upstream_gets_no_more_calls_and_is_removed(
        self, running: Any, until: Until
    ) -> None:
        with running.load(programs=4):
            until(lambda: executions(running, "up-1") > 10)
            running.procs["up-1"].kill()
            wait_idle(running, until, "up-1")
            until(lambda: running.events("entry-1", "host_removed"))


class TestDirectSignals:
    def test_a_dead_upstream_gets_no_calls_long_before_its_lease_lapses(
        self, cluster: Any, until: Until
    ) -> None:
        cluster.publish_slots(4, expected=0).unwrap()
        cluster.shops = {"up-1": "shop-1", "up-2": "shop-2"}
        cluster.add_forwarded_upstream("up-1", "--lease_s=300")
        cluster.add_upstream("up-2", shop=cluster.start_plain("shop-2"))
        cluster.add_entry("entry-1")
        until(lambda: call_new_program(cluster) and executions(cluster, "up-1") > 3)
        cluster.procs["up-1"].kill()
        accepted = cluster.set_link_faults("up-1")
        calls = 100
        assert all(call_new_program(cluster) for _ in range(calls))
        attempts = cluster.set_link_faults("up-1") - accepted
        assert "up-1" in cluster.members()
        # Each call to the dead process opens several connections, until its outcome is known.
        assert attempts < calls


def call_new_program(cluster: Any) -> bool:
    """Makes one call for a new program, which no upstream has served before."""
    outcome = cluster.open_program().call("shop", "lookup", {"item": "fascia"})
    return isinstance(outcome, Success)


class TestLease:
    def test_a_frozen_process_is_removed_and_registers_again(
        self, running: Any, until: Until
    ) -> None:
        before = running.members()["up-1"]
        running.procs["up-1"].freeze()
        until(lambda: "up-1" not in running.members())
        until(lambda: running.events("entry-1", "host_removed"))
        running.procs["up-1"].thaw()
        until(lambda: running.members().get("up-1") == before)
        # The process logs this after it has written its record, which is visible before.
        until(lambda: running.events("up-1", "lease_lapsed"))

    def test_a_new_incarnation_at_the_old_address_gets_calls(
        self, running: Any, until: Until
    ) -> None:
        old = running.members()["up-1"]
        running.procs["up-1"].kill()
        running.add_upstream("up-1", "--lease_s=2", f"--listen={old.address}")
        assert running.members()["up-1"].incarnation != old.incarnation
        with running.load(programs=4) as load:
            until(lambda: executions(running, "up-1") > 10)
        assert not load.failures

    def test_a_frozen_process_does_not_take_its_name_back_from_its_successor(
        self, running: Any, until: Until
    ) -> None:
        frozen = running.procs["up-1"]
        frozen.freeze()
        running.add_upstream("up-1", "--lease_s=2")
        successor = running.members()["up-1"].incarnation
        # The lease of the frozen process lapses, so it has to register again once it is thawed.
        time.sleep(3.0)
        frozen.thaw()
        until(lambda: any(line.get("event") == "superseded" for line in frozen.events))
        assert running.members()["up-1"].incarnation == successor
        frozen.kill()


class TestOutage:
    def test_calls_continue_without_the_key_value_service(self, running: Any, until: Until) -> None:
        with running.load(programs=4) as load:
            until(lambda: executions(running, "up-1") > 10)
            running.set_faults(down=True)
            # Longer than every lease, so that all leases lapse.
            until(lambda: running.watches_waiting() == 0)
            time.sleep(4.0)
            for name in ("up-1", "up-2"):
                before = executions(running, name)
                until(lambda before=before, name=name: executions(running, name) > before + 10)
            running.set_faults()
            until(lambda: {"up-1", "up-2", "entry-1"} <= running.members().keys())
            before = executions(running, "up-1")
            until(lambda: executions(running, "up-1") > before + 10)
        assert not load.failures
        assert not running.events("entry-1", "host_removed")
