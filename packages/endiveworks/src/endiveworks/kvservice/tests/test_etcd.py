import json
import socket
import threading
import time
from collections.abc import Iterator
from typing import NamedTuple

import pytest
import urllib3
from endiveworks.errors import Code
from endiveworks.kvservice.etcd import connect
from endiveworks.kvservice.kv import Change, KeyValue, Kv, Swap
from endiveworks_standins.kv import serve

SILENCE_S = 0.5


class Platform(NamedTuple):
    address: str
    kv: Kv

    def set_faults(self, **faults: object) -> None:
        urllib3.request("POST", f"http://{self.address}/standin/faults", json=faults)

    def counters(self) -> dict[str, object]:
        url = f"http://{self.address}/standin/counters"
        return json.loads(urllib3.request("GET", url).data)


@pytest.fixture
def platform() -> Iterator[Platform]:
    server = serve(0, threads=8)
    server.shutdown_timeout = 0
    threading.Thread(target=server.serve, daemon=True).start()
    address = f"127.0.0.1:{server.bind_addr[1]}"
    yield Platform(address, connect(address, timeout_s=2.0, watch_silence_s=SILENCE_S))
    server.stop()


class TestSwap:
    def test_only_the_expected_revision_is_replaced(self, platform: Platform) -> None:
        first = platform.kv.swap(Swap("key", b"one", 0)).unwrap()
        assert first.done
        refused = platform.kv.swap(Swap("key", b"two", 0)).unwrap()
        assert not refused.done
        assert refused.current == KeyValue("key", b"one", first.revision)
        assert platform.kv.swap(Swap("key", None, first.revision)).unwrap().done
        assert platform.kv.read("key").unwrap() is None

    def test_a_lost_response_is_a_failure_although_the_write_took_effect(
        self, platform: Platform
    ) -> None:
        platform.set_faults(lose_answers=1)
        assert platform.kv.swap(Swap("key", b"one", 0)).failure().code == Code.UNREACHABLE
        found = platform.kv.read("key").unwrap()
        assert found is not None
        assert found.value == b"one"


class TestDeadline:
    def test_a_slow_service_is_a_timeout_and_the_next_call_works(self, platform: Platform) -> None:
        kv = connect(platform.address, timeout_s=0.2)
        platform.set_faults(delay_ms=1000)
        assert kv.read("key").failure().code == Code.TIMEOUT
        platform.set_faults()
        assert kv.read("key").unwrap() is None

    def test_a_service_that_is_down_is_unreachable(self, platform: Platform) -> None:
        platform.set_faults(down=True)
        assert platform.kv.read("key").failure().code == Code.UNREACHABLE


class TestLease:
    def test_keys_are_deleted_with_an_expired_lease(self, platform: Platform) -> None:
        lease = platform.kv.grant_lease(1).unwrap()
        platform.kv.swap(Swap("hosts/a", b"x", 0, lease)).unwrap()
        assert platform.kv.keep_alive(lease).unwrap() == 1
        snapshot = platform.kv.read_prefix("hosts/").unwrap()
        assert [entry.lease for entry in snapshot.entries] == [lease]
        seen: list[Change] = []
        platform.kv.watch("hosts/", snapshot.revision, lambda got: seen.extend(got) or not seen)
        while not seen:
            platform.kv.watch("hosts/", snapshot.revision, lambda got: seen.extend(got) or not seen)
        assert seen[0].value is None
        assert platform.kv.keep_alive(lease).unwrap() == 0


class TestWatch:
    def test_starts_after_the_given_revision(self, platform: Platform) -> None:
        first = platform.kv.swap(Swap("a/1", b"one", 0)).unwrap()
        second = platform.kv.swap(Swap("a/2", b"two", 0)).unwrap()
        platform.kv.swap(Swap("b/1", b"other", 0)).unwrap()
        seen: list[Change] = []
        platform.kv.watch("a/", first.revision, lambda got: seen.extend(got) or not seen).unwrap()
        assert seen == [Change("a/2", b"two", second.revision)]

    def test_silence_ends_it_and_a_new_one_sees_what_was_missed(self, platform: Platform) -> None:
        started = platform.kv.swap(Swap("a/1", b"one", 0)).unwrap().revision
        seen: list[Change] = []
        ended = []
        watching = threading.Thread(
            target=lambda: ended.append(
                platform.kv.watch("a/", started, lambda got: seen.extend(got) or not seen)
            )
        )
        watching.start()
        while platform.counters()["watches_waiting"] != 1:
            time.sleep(0.01)
        platform.set_faults(silent_watches=True)
        platform.kv.swap(Swap("a/2", b"two", 0)).unwrap()
        platform.set_faults()
        watching.join()
        assert not seen
        assert ended[0].failure().code == Code.TIMEOUT
        platform.kv.watch("a/", started, lambda got: seen.extend(got) or not seen).unwrap()
        assert [change.key for change in seen] == ["a/2"]

    def test_a_compacted_revision_is_a_conflict(self, platform: Platform) -> None:
        started = platform.kv.swap(Swap("a/1", b"one", 0)).unwrap().revision
        platform.kv.swap(Swap("a/2", b"two", 0)).unwrap()
        urllib3.request("POST", f"http://{platform.address}/standin/compact")
        assert platform.kv.watch("a/", started, lambda _: False).failure().code == Code.CONFLICT

    def test_a_revision_of_the_future_is_a_conflict(self, platform: Platform) -> None:
        assert platform.kv.watch("a/", 1000, lambda _: True).failure().code == Code.CONFLICT


class TestRefusedConnection:
    def test_is_distinguished_from_silence(self) -> None:
        # A timed-out watch is restarted without a delay, but refused connections cause a backoff.
        with socket.create_server(("127.0.0.1", 0)) as closed:
            address = f"127.0.0.1:{closed.getsockname()[1]}"
        kv = connect(address, 1.0)
        assert kv.watch("a", 0, lambda changes: True).failure().code is Code.UNREACHABLE
        assert kv.read("a").failure().code is Code.UNREACHABLE
