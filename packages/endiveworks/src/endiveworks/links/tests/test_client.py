import socket
from collections.abc import Iterator
from typing import Any

import pytest
from endiveworks.errors import Code
from endiveworks.links.client import Peers
from endiveworks.wire.gen import Node
from thrift.transport.TTransport import TTransportException

TIMEOUT_S = 5.0


@pytest.fixture
def listener() -> Iterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0), backlog=512) as sock:
        yield sock


class Method:
    """A method whose first lost_count calls lose their connection after sending the request."""

    def __init__(self, lost_count: int = 0) -> None:
        self.lost_count = lost_count
        self.sent = 0

    def __call__(self, client: Any) -> str:
        self.sent += 1
        if self.sent <= self.lost_count:
            raise TTransportException(message="connection lost")
        return "answer"


def address(listener: socket.socket) -> str:
    return f"127.0.0.1:{listener.getsockname()[1]}"


def peers_with_idle_connection(listener: socket.socket) -> Peers:
    peers = Peers(Node.Client)
    peers.call(address(listener), "t", TIMEOUT_S, Method()).unwrap()
    return peers


class TestCall:
    def test_a_failure_on_an_idle_connection_is_retried_on_a_fresh_one(
        self, listener: socket.socket
    ) -> None:
        peers = peers_with_idle_connection(listener)
        method = Method(lost_count=1)
        assert peers.call(address(listener), "t", TIMEOUT_S, method).unwrap() == "answer"
        assert method.sent == 2

    def test_an_unreachable_peer_has_not_run_the_request(self, listener: socket.socket) -> None:
        peer = address(listener)
        listener.close()
        failure = Peers(Node.Client).call(peer, "t", TIMEOUT_S, Method()).failure()
        assert failure.code is Code.UNREACHABLE and failure.not_run

    def test_a_peer_unreachable_after_a_first_send_may_have_run_the_request(
        self, listener: socket.socket
    ) -> None:
        peers = peers_with_idle_connection(listener)
        peer = address(listener)
        listener.close()
        failure = peers.call(peer, "t", TIMEOUT_S, Method(lost_count=1)).failure()
        assert failure.code is Code.UNREACHABLE and not failure.not_run


class TestCallOnce:
    def test_is_sent_once_on_a_fresh_connection(self, listener: socket.socket) -> None:
        peers = peers_with_idle_connection(listener)
        method = Method(lost_count=1)
        failure = peers.call_once(address(listener), "t", TIMEOUT_S, method).failure()
        assert failure.code is Code.TIMEOUT and not failure.not_run
        assert method.sent == 1
        listener.accept()
        listener.accept()

    def test_retries_stay_within_the_retry_budget(self, listener: socket.socket) -> None:
        peers = peers_with_idle_connection(listener)
        calls = 200
        retries = 0
        for _ in range(calls):
            method = Method(lost_count=1)
            peers.call(address(listener), "t", TIMEOUT_S, method)
            retries += method.sent - 1
        assert 0 < retries <= 2 * 64 + 0.1 * (calls + 1)
