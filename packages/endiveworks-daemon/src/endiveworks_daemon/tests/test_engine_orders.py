import socket

import msgspec
from endiveworks.calls.messages import CallKey, Job
from endiveworks.calls.stream import FinalStatus, Stream
from endiveworks.programs.records import CHAT
from endiveworks_daemon.address_lock import AddressLock
from endiveworks_daemon.upstream_run import with_model


class TestAddressLock:
    def test_one_of_two_holds_the_address_until_it_releases_it(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as sock:
            address = f"127.0.0.1:{sock.getsockname()[1]}"
            assert not AddressLock(address).acquire()
        first, second = AddressLock(address), AddressLock(address)
        assert first.acquire() and first.acquire()
        assert not second.acquire()
        first.release()
        assert second.acquire()
        second.release()

    def test_without_an_address_nothing_is_bound(self) -> None:
        assert AddressLock("").acquire() and AddressLock("").acquire()


class TestModel:
    def test_requests_name_the_loaded_model(self) -> None:
        bodies: list[bytes] = []

        def run(job: Job, stream: Stream, cancelled: object) -> FinalStatus:
            bodies.append(job.body)
            return FinalStatus(200, "")

        body = b'{"model":"new","messages":[{"role":"user"}]}'
        job = Job(CallKey("0001-a", 1, 1), 1, 1, "t", "s", CHAT, "c", False, 0, 1.0, 0, 0, body)
        for loaded_model in ("old", "new", ""):
            with_model(run, lambda loaded_model=loaded_model: loaded_model)(job, Stream(), None)
        assert [msgspec.json.decode(each)["model"] for each in bodies] == ["old", "new", "new"]
        assert msgspec.json.decode(bodies[0])["messages"] == [{"role": "user"}]
