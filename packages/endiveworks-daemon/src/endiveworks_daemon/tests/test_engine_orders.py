import socket

import msgspec
from endiveworks.calls.messages import CallKey, Job
from endiveworks.calls.stream import Ending, Stream
from endiveworks.programs.records import CHAT
from endiveworks_daemon.address_guard import AddressGuard
from endiveworks_daemon.upstream_run import with_model


class TestAddressGuard:
    def test_one_of_two_holds_the_address_until_it_releases_it(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as sock:
            address = f"127.0.0.1:{sock.getsockname()[1]}"
            assert not AddressGuard(address).hold()
        first, second = AddressGuard(address), AddressGuard(address)
        assert first.hold() and first.hold()
        assert not second.hold()
        first.release()
        assert second.hold()
        second.release()

    def test_without_an_address_nothing_is_bound(self) -> None:
        assert AddressGuard("").hold() and AddressGuard("").hold()


class TestModel:
    def test_requests_name_the_loaded_model(self) -> None:
        bodies: list[bytes] = []

        def run(job: Job, stream: Stream, cancelled: object) -> Ending:
            bodies.append(job.body)
            return Ending(200, "")

        body = b'{"model":"new","messages":[{"role":"user"}]}'
        job = Job(CallKey("0001-a", 1, 1), 1, 1, "t", "s", CHAT, "c", False, 0, 1.0, 0, 0, body)
        for loaded_model in ("old", "new", ""):
            with_model(run, lambda loaded_model=loaded_model: loaded_model)(job, Stream(), None)
        assert [msgspec.json.decode(each)["model"] for each in bodies] == ["old", "new", "new"]
        assert msgspec.json.decode(bodies[0])["messages"] == [{"role": "user"}]
