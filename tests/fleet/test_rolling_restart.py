import socket
from collections.abc import Callable
from typing import Any

import pytest
from endiveworks_standins.fleet import HostLocation

EAST = HostLocation("east", "east-1")
WEST = HostLocation("west", "west-1")
Until = Callable[..., None]


class TestRollingRestart:
    @pytest.mark.parametrize("kind", ["upstreams", "entries"])
    def test_under_load_cuts_off_nothing(self, cluster: Any, until: Until, kind: str) -> None:
        cluster.publish_slots(4, expected=0).unwrap()
        cluster.add_upstream("up-1")
        cluster.add_upstream("up-2")
        places = {"entry-1": EAST, "entry-2": WEST}
        addresses = {name: free_address() for name in places}
        for name, place in places.items():
            cluster.add_entry(name, place, f"--http={addresses[name]}")
        with cluster.load(programs=4) as load:
            for name in ("entry-1", "entry-2") if kind == "entries" else ("up-1", "up-2"):
                served = len(load.receipts)
                until(lambda served=served: len(load.receipts) > served + 10)
                assert cluster.procs[name].terminate() == 0
                if kind == "entries":
                    cluster.add_entry(name, places[name], f"--http={addresses[name]}")
                else:
                    cluster.add_upstream(name)
            served = len(load.receipts)
            until(lambda: len(load.receipts) > served + 10 or load.failures)
        assert not load.failures
        assert len(load.receipts) == len(set(load.receipts))
        assert len(load.receipts) == len(cluster.executed("shop-1"))


def free_address() -> str:
    """Returns an address that a process can listen on now and again after a restart."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return f"127.0.0.1:{sock.getsockname()[1]}"
