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
    """Sends the same bytes on every connection and keeps the requests it receives."""

    def __init__(self, response: bytes) -> None:
        self.requests: list[bytes] = []
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self.sock.getsockname()[1]}"
        threading.Thread(target=self._serve, args=(response,), daemon=True).start()

    def _serve(self, response: bytes) -> None:
        while True:
            try:
                conn, _ = self.sock.accept()
            except OSError:
                return
            with conn:
                data = read_request(conn)
                if data:
                    self.requests.append(data)
                    conn.sendall(response)


def read_request(conn: socket.socket) -> bytes:
    """Reads one request; a request with a body ends with its closing brace."""
    data = b""
    while True:
        part = conn.recv(65536)
        data += part
        bodiless = data.startswith(b"GET") and data.endswith(b"\r\n\r\n")
        if not part or bodiless or data.endswith(b"}"):
            return data


def http_response(status: str, body: bytes = b"{}") -> bytes:
    head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    return head.encode() + body


@pytest.fixture
def engine() -> Iterator[Callable[[bytes], Engine]]:
    started: list[Engine] = []

    def start(response: bytes) -> Engine:
        started.append(Engine(response))
        return started[-1]

    yield start
    for running in started:
        running.sock.close()


def send_failure(orders: EngineOrders) -> Failure:
    return orders.send(ORDER, 7, 10.0).failure()


class TestSend:
    def test_each_status_has_its_code(self, engine: Callable[[bytes], Engine]) -> None:
        for response, code in (
            (http_response("503 Busy"), Code.OVERLOADED),
            (http_response("429 Busy"), Code.OVERLOADED),
            (http_response("409 Old"), Code.STALE_EPOCH),
            (http_response("400 Bad"), Code.UPSTREAM_FAILED),
            (http_response("200 OK")[:-1], Code.TIMEOUT),
            (b"", Code.TIMEOUT),
        ):
            failure = send_failure(engine_orders(engine(response).url, lambda: 5.0))
            assert (failure.code, failure.not_run) == (code, False)

    def test_an_accepted_order_carries_its_fencing_number(
        self, engine: Callable[[bytes], Engine]
    ) -> None:
        server = engine(http_response("200 OK"))
        engine_orders(server.url, lambda: 5.0).send(ORDER, 7, 10.0).unwrap()
        assert b'{"kind":"set_version","value":"2","fencing":7}' in server.requests[0]

    def test_nothing_is_sent_once_the_authority_has_expired(
        self, engine: Callable[[bytes], Engine]
    ) -> None:
        server = engine(http_response("200 OK"))
        assert send_failure(engine_orders(server.url, lambda: 10.0)).not_run
        engine_orders(server.url).read()
        assert len(server.requests) == 1

    def test_a_refused_connection_is_not_run(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as sock:
            url = f"http://127.0.0.1:{sock.getsockname()[1]}"
        assert send_failure(engine_orders(url, lambda: 5.0)).not_run


class TestRead:
    def test_the_engine_state(self, engine: Callable[[bytes], Engine]) -> None:
        state = engine_orders(engine(http_response("200 OK", LISTED)).url).read().unwrap()
        assert state == EngineState("m", "1", "", ("a",), "", 4)

    def test_a_malformed_state_is_a_failure(self, engine: Callable[[bytes], Engine]) -> None:
        for response in (http_response("404 No"), http_response("200 OK", b"[]"), b""):
            engine_orders(engine(response).url).read().failure()
