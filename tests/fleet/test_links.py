import json
import threading
from collections.abc import Callable
from typing import Any

import pytest
from endiveworks_standins.fleet import HostLocation
from returns.result import Success

WEST = HostLocation("west", "west-1")
Until = Callable[..., None]


class TestSilentConnection:
    @pytest.mark.parametrize("direction", ["to_target", "to_caller"])
    def test_costs_time_but_no_answer_and_no_second_execution(
        self, cluster: Any, until: Until, direction: str
    ) -> None:
        cluster.publish_slots(4, expected=0).unwrap()
        cluster.add_forwarded_upstream("up-1")
        cluster.add_entry("entry-1")
        program = cluster.open_program()
        for _ in range(5):
            program.call("shop", "lookup", {"item": "fascia"}).unwrap()
        executed = len(cluster.executed("shop-1"))
        accepted = cluster.set_link_faults("up-1", **{direction: True})
        receipts: list[Any] = []
        calling = threading.Thread(target=lambda: receipts.append(_order(program)))
        calling.start()
        # New connections are silent too for as long as the fault is set.
        until(lambda: cluster.set_link_faults("up-1", **{direction: True}) > accepted)
        cluster.set_link_faults("up-1")
        calling.join()
        orders = [line for line in cluster.executed("shop-1") if line["operation"] == "order"]
        assert isinstance(receipts[0], Success)
        assert receipts[0].unwrap().status == 200
        assert [json.loads(receipts[0].unwrap().body)["receipt"]] == [line["n"] for line in orders]
        assert len(cluster.executed("shop-1")) == executed + 1


class TestRegionCutOff:
    def test_keeps_its_version_and_catches_up_when_joined(self, cluster: Any, until: Until) -> None:
        cluster.publish_slots(4, expected=0).unwrap()
        cluster.add_entry("entry-1")
        cluster.add_entry_behind_link("entry-2", WEST, "--lease_s=2")
        until(lambda: cluster.versions("entry-1", "entry-2") == [1, 1])
        before = cluster.members()["entry-2"]
        cluster.set_link_faults("entry-2", to_target=True, to_caller=True, refused=True)
        # Longer than the lease and the grace after it.
        until(lambda: cluster.events("entry-1", "host_removed"))
        cluster.publish_slots(5, expected=1).unwrap()
        until(lambda: cluster.versions("entry-1") == [2])
        assert cluster.versions("entry-2") == [1]
        cluster.set_link_faults("entry-2")
        until(lambda: cluster.versions("entry-2") == [2])
        until(lambda: cluster.members().get("entry-2") == before)


def _order(program: Any) -> Any:
    return program.call("shop", "order", {"item": "fascia"}, key="order-1")
