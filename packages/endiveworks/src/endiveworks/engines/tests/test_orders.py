import socket
import threading
from collections.abc import Callable, Iterator

import pytest
from endiveworks.engines.orders import EngineOrders, engine_orders
from endiveworks.errors import Code, Failure
from endiveworks.orders.state import EngineState, Order, OrderKind

ORDER = Order(OrderKind.VERSION, "2")
LISTED = b'{"model":"m","version":"1","role":"","adapters":["a"],"loading":"","fencing":4}'


class Engine:
    """Answers every connection with the same bytes and keeps what it was sent."""

    def __init__(self, answer: bytes) -> None:
        self.requests: list[bytes] = []
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self.sock.getsockname()[1]}"
        threading.Thread(target=self._serve, args=(answer,), daemon=True).start()

    def _serve(self, answer: bytes) -> None:
        while True:
            try:
                conn, _ = self.sock.accept()
            except OSError:
                return
            with conn:
                data = read_request(conn)
                if data:
                    self.requests.append(data)
                    conn.sendall(answer)


def read_request(conn: socket.socket) -> bytes:
    """Returns a request; one with a body ends with the brace that closes it."""
    data = b""
    while True:
        part = conn.recv(65536)
        data += part
        bodiless = data.startswith(b"GET") and data.endswith(b"\r\n\r\n")
        if not part or bodiless or data.endswith(b"}"):
            return data


def whole(status: str, body: bytes = b"{}") -> bytes:
    head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    return head.encode() + body


@pytest.fixture
def engine() -> Iterator[Callable[[bytes], Engine]]:
    started: list[Engine] = []

    def start(answer: bytes) -> Engine:
        started.append(Engine(answer))
        return started[-1]

    yield start
    for each in started:
        each.sock.close()


def sent(orders: EngineOrders) -> Failure:
    return orders.send(ORDER, 7, 10.0).failure()


class TestSend:
    def test_answers_are_told_apart(self, engine: Callable[[bytes], Engine]) -> None:
        for answer, code in (
            (whole("503 Busy"), Code.OVERLOADED),
            (whole("429 Busy"), Code.OVERLOADED),
            (whole("409 Old"), Code.STALE_EPOCH),
            (whole("400 Bad"), Code.UPSTREAM_FAILED),
            (whole("200 OK")[:-1], Code.TIMEOUT),
            (b"", Code.TIMEOUT),
        ):
            failure = sent(engine_orders(engine(answer).url, lambda: 5.0))
            assert (failure.code, failure.not_run) == (code, False)

    def test_an_accepted_order_carries_its_number(self, engine: Callable[[bytes], Engine]) -> None:
        peer = engine(whole("200 OK"))
        engine_orders(peer.url, lambda: 5.0).send(ORDER, 7, 10.0).unwrap()
        assert b'{"kind":"set_version","value":"2","fencing":7}' in peer.requests[0]

    def test_nothing_is_sent_once_the_proof_is_over(
        self, engine: Callable[[bytes], Engine]
    ) -> None:
        peer = engine(whole("200 OK"))
        assert sent(engine_orders(peer.url, lambda: 10.0)).not_run
        engine_orders(peer.url).read()
        assert len(peer.requests) == 1

    def test_a_refused_connection_is_not_run(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as sock:
            url = f"http://127.0.0.1:{sock.getsockname()[1]}"
        assert sent(engine_orders(url, lambda: 5.0)).not_run


class TestRead:
    def test_the_list(self, engine: Callable[[bytes], Engine]) -> None:
        state = engine_orders(engine(whole("200 OK", LISTED)).url).read().unwrap()
        assert state == EngineState("m", "1", "", ("a",), "", 4)

    def test_what_is_no_list_is_a_failure(self, engine: Callable[[bytes], Engine]) -> None:
        for answer in (whole("404 No"), whole("200 OK", b"[]"), b""):
            engine_orders(engine(answer).url).read().failure()
