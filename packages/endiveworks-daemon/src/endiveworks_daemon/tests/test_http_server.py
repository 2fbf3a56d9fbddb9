import socket
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import msgspec
import pytest
from endiveworks_daemon.http_protocol import AFTER_SENT
from endiveworks_daemon.http_server import HttpServer, ServerLimits, serve

_LIMITS = ServerLimits(
    threads=2,
    connections=4,
    header_bytes=2000,
    body_bytes=1000,
    request_timeout_s=0.5,
    idle_timeout_s=30,
)
_HEAD = b"POST / HTTP/1.1\r\nHost: x\r\n"


class _App:
    """Responds with the length of the request body, and signals when the response has been sent."""

    def __init__(self) -> None:
        self.sent = threading.Event()
        self.entered = threading.Semaphore(0)
        self.started = threading.Semaphore(0)
        self.may_go_on = threading.Event()
        self.may_go_on.set()
        self.padding = b""
        self.fail: Exception | None = None

    def __call__(self, environ: dict[str, Any], start: Callable[..., Any]) -> Iterable[bytes]:
        environ[AFTER_SENT](self.sent.set)
        self.entered.release()
        body = environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH", 0)))
        assert self.may_go_on.wait(60)
        start("200 OK", [("Content-Type", "text/plain")])
        self.started.release()
        if self.padding:
            yield self.padding
        yield str(len(body)).encode()
        if self.fail is not None:
            raise self.fail


@pytest.fixture
def app() -> _App:
    return _App()


@pytest.fixture
def server(app: _App) -> Iterator[HttpServer]:
    server = serve("127.0.0.1:0", app, _LIMITS, "test")
    yield server
    server.stop()


def _connect(server: HttpServer) -> socket.socket:
    host, _, port = server.address.rpartition(":")
    conn = socket.create_connection((host, int(port)))
    conn.settimeout(20)
    return conn


def _read_all(conn: socket.socket) -> bytes:
    return b"".join(iter(lambda: conn.recv(65536), b""))


def _exchange(server: HttpServer, data: bytes) -> bytes:
    with _connect(server) as conn:
        conn.sendall(data)
        return _read_all(conn)


def _parse_problem(response: bytes) -> tuple[int, str]:
    head, _, body = response.partition(b"\r\n\r\n")
    assert b"application/problem+json" in head
    return int(head.split()[1]), msgspec.json.decode(body)["code"]


class TestRequests:
    def test_good_request(self, server: HttpServer, app: _App) -> None:
        data = _HEAD + b"Connection: close\r\nContent-Length: 3\r\n\r\nabc"
        response = _exchange(server, data)
        assert response.startswith(b"HTTP/1.1 200") and response.endswith(b"1\r\n3\r\n0\r\n\r\n")
        assert app.sent.wait(20)

    @pytest.mark.parametrize(
        "lines",
        [
            b"Endive-Tenant: a\r\nEndive-Tenant: b\r\n",
            b"Endive_Tenant: a\r\n",
            b"Endive-Tenant : a\r\n",
            b": a\r\n",
            b"no colon\r\n",
            b"Content-Length: -1\r\n",
            b"Content-Length: 1_0\r\n",
            b"Content-Length: 99999999999999999999\r\n",
            b"Content-Length: 1\r\nContent-Length: 1\r\n",
            b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
            b"A: b\r\n c\r\n",
            b"A: b\n",
        ],
    )
    def test_malformed_headers(self, server: HttpServer, lines: bytes) -> None:
        assert _parse_problem(_exchange(server, _HEAD + lines + b"\r\n")) == (400, "bad_request")

    @pytest.mark.parametrize(
        "line", [b"POST\r\n\r\n", b"post / HTTP/1.1\r\n\r\n", b"\x16\x03\x01\x02\r\n\r\n"]
    )
    def test_malformed_request_line(self, server: HttpServer, line: bytes) -> None:
        assert _parse_problem(_exchange(server, line)) == (400, "bad_request")

    def test_headers_too_large(self, server: HttpServer) -> None:
        response = _exchange(server, _HEAD + b"A: " + b"x" * 100_000)
        assert _parse_problem(response) == (431, "headers_too_large")

    def test_body_too_large(self, server: HttpServer) -> None:
        response = _exchange(server, _HEAD + b"Content-Length: 5000\r\n\r\n" + b"x" * 5000)
        assert _parse_problem(response) == (413, "body_too_large")


class TestSlowCallers:
    def test_headers_byte_by_byte_time_out(self, server: HttpServer) -> None:
        with _connect(server) as conn:
            stop = threading.Event()

            def send_slowly() -> None:
                for byte in _HEAD * 100:
                    if stop.wait(0.02):
                        return
                    try:
                        conn.sendall(bytes([byte]))
                    except OSError:
                        return

            thread = threading.Thread(target=send_slowly)
            thread.start()
            response = _read_all(conn)
            stop.set()
            thread.join()
        assert _parse_problem(response) == (408, "request_timeout")

    def test_idle_connections_take_no_thread(self, server: HttpServer) -> None:
        idle = [_connect(server) for _ in range(_LIMITS.connections - 1)]
        data = _HEAD + b"Connection: close\r\n\r\n"
        assert _exchange(server, data).startswith(b"HTTP/1.1 200")
        for conn in idle:
            conn.close()

    def test_the_longest_idle_connection_gives_way(self, server: HttpServer) -> None:
        idle = [_connect(server) for _ in range(_LIMITS.connections)]
        data = _HEAD + b"Connection: close\r\n\r\n"
        assert _exchange(server, data).startswith(b"HTTP/1.1 200")
        assert _read_all(idle[0]) == b""
        for conn in idle[1:]:
            conn.sendall(data)
            assert _read_all(conn).startswith(b"HTTP/1.1 200")
        for conn in idle:
            conn.close()
        while server.connections():
            time.sleep(0.01)

    def test_connections_are_bounded_while_none_is_idle(self, app: _App) -> None:
        limits = _LIMITS._replace(connections=_LIMITS.threads)
        server = serve("127.0.0.1:0", app, limits, "full")
        try:
            app.may_go_on.clear()
            working = [_connect(server) for _ in range(limits.connections)]
            for conn in working:
                conn.sendall(_HEAD + b"Connection: close\r\n\r\n")
                assert app.entered.acquire(timeout=20)
            with _connect(server) as extra:
                assert _parse_problem(_read_all(extra)) == (503, "overloaded")
            app.may_go_on.set()
            for conn in working:
                assert _read_all(conn).startswith(b"HTTP/1.1 200")
                conn.close()
            while server.connections():
                time.sleep(0.01)
        finally:
            app.may_go_on.set()
            server.stop()


_PATIENT = _LIMITS._replace(connections=16, request_timeout_s=60.0, idle_timeout_s=60)


@pytest.fixture
def patient(app: _App) -> Iterator[HttpServer]:
    server = serve("127.0.0.1:0", app, _PATIENT, "patient")
    yield server
    server.stop()


class TestStuckCallers:
    """Guards against callers that hold all threads until a timeout passes."""

    def test_those_that_stop_sending_give_way(self, patient: HttpServer) -> None:
        parts = (_HEAD, _HEAD + b"Content-Length: 10\r\n\r\nabc")
        stuck = [_connect(patient) for _ in parts]
        for conn, part in zip(stuck, parts, strict=True):
            conn.sendall(part)
        data = _HEAD + b"Connection: close\r\n\r\n"
        assert _exchange(patient, data).startswith(b"HTTP/1.1 200")
        for conn in stuck:
            conn.close()

    def test_those_that_stop_reading_give_way(self, patient: HttpServer, app: _App) -> None:
        app.padding = b"x" * 32 * 1024 * 1024
        stuck = [_connect(patient) for _ in range(_PATIENT.threads)]
        for conn in stuck:
            conn.sendall(_HEAD + b"\r\n")
        for _ in stuck:
            assert app.started.acquire(timeout=20)
        app.padding = b""
        data = _HEAD + b"Connection: close\r\n\r\n"
        assert _exchange(patient, data).startswith(b"HTTP/1.1 200")
        for conn in stuck:
            conn.close()

    def test_nobody_is_cut_while_threads_are_idle(self, patient: HttpServer) -> None:
        with _connect(patient) as conn:
            conn.sendall(_HEAD + b"Connection: close\r\nContent-Length: 3\r\n\r\na")
            time.sleep(1.0)
            data = _HEAD + b"Connection: close\r\n\r\n"
            assert _exchange(patient, data).startswith(b"HTTP/1.1 200")
            conn.sendall(b"bc")
            assert _read_all(conn).startswith(b"HTTP/1.1 200")

    def test_those_that_stop_sending_give_way_to_refused_requests(self, app: _App) -> None:
        server = serve("127.0.0.1:0", app, _PATIENT, "lacking", lambda: 1)
        try:
            with _connect(server) as conn:
                conn.sendall(_HEAD + b"Content-Length: 3\r\n\r\na")
                assert b"200 OK" not in _read_all(conn)
        finally:
            server.stop()


class TestFailures:
    def test_application_error_truncates_the_response_and_the_server_continues(
        self, server: HttpServer, app: _App
    ) -> None:
        app.fail = ValueError("prompt text")
        response = _exchange(server, _HEAD + b"\r\n")
        assert not response.endswith(b"0\r\n\r\n")
        assert app.sent.wait(20)
        app.fail = None
        data = _HEAD + b"Connection: close\r\n\r\n"
        assert _exchange(server, data).endswith(b"0\r\n\r\n")

    def test_disconnected_caller(self, server: HttpServer, app: _App) -> None:
        with _connect(server) as conn:
            conn.sendall(_HEAD + b"Content-Length: 10\r\n\r\nabc")
        assert app.sent.wait(20)
        while server.connections():
            time.sleep(0.01)
