"""Malformed and hostile requests to the HTTP interface of a running entry."""

import json
import socket
import struct
import time
from collections.abc import Iterator, Mapping
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, NamedTuple

import pytest
import urllib3
from endiveworks.client.caller import Program, connect, open_program
from endiveworks_standins.demo import EAST, SERVICES
from endiveworks_standins.fleet import Fleet, wait_until
from returns.result import Success

_TENANT = "signs"
_MAX_BODY_BYTES = 65536
_MAX_OPEN = 16
_MAX_CALLERS = 40
_FLAGS = (
    f"--max_body_bytes={_MAX_BODY_BYTES}",
    "--max_header_bytes=4096",
    f"--max_callers={_MAX_CALLERS}",
    f"--max_open={_MAX_OPEN}",
    "--request_s=1",
    "--patience_s=2",
)
_PARALLEL = 8
_MESSAGE = {"role": "user", "content": "hello"}


class Entry(NamedTuple):
    """A running entry with a plain service and an engine behind it."""

    address: str
    admin: str
    pid: int
    fleet: Fleet

    def connect(self) -> socket.socket:
        host, _, port = self.address.rpartition(":")
        conn = socket.create_connection((host, int(port)))
        conn.settimeout(30)
        return conn

    def status(self) -> dict[str, Any]:
        return urllib3.request("GET", f"http://{self.admin}/status").json()

    def resident_kb(self) -> int:
        lines = Path(f"/proc/{self.pid}/status").read_text().splitlines()
        return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS"))

    def open(self) -> Program:
        return open_program(connect([self.address], _TENANT), "assistant", "front").unwrap()


@pytest.fixture(scope="module")
def entry(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Entry]:
    with Fleet(tmp_path_factory.mktemp("fleet")) as fleet:
        fleet.start_kv()
        fleet.publish(SERVICES)
        fleet.start_upstream("up-engine", EAST, "assistant", fleet.start_engine("engine"))
        fleet.start_upstream("up-shop", EAST, "shop", fleet.start_plain("shop"))
        address = fleet.start_entry("entry", EAST, *_FLAGS)
        proc = fleet.procs["entry"]
        found = Entry(address, proc.wait_event("listening")["admin"], proc.popen.pid, fleet)
        deployment = connect([address], _TENANT)
        wait_until(lambda: isinstance(open_program(deployment, "assistant", "front"), Success))
        # Fills the pools of connections between processes, which then stay open.
        with ThreadPoolExecutor(_PARALLEL) as pool:
            list(pool.map(lambda program: program.chat("assistant", [_MESSAGE]), _open(found)))
        yield found


def _open(entry: Entry) -> list[Program]:
    return [entry.open() for _ in range(_PARALLEL)]


@pytest.fixture(autouse=True)
def unharmed(entry: Entry) -> Iterator[None]:
    """After each test the entry serves a program, with no thread or descriptor left over."""
    before = entry.status()
    yield
    program = entry.open()
    assert program.call("shop", "lookup", {"item": "board"}).unwrap().status == 200
    program.close().unwrap()

    def settled() -> bool:
        after = entry.status()
        threads = after["threads"] <= before["threads"] + 4
        return threads and after["open_files"] <= before["open_files"] + 4

    wait_until(settled)


def _send(
    entry: Entry,
    method: str,
    path: str,
    body: bytes = b"",
    headers: Mapping[str, str] | None = None,
) -> tuple[int, dict[str, Any]]:
    """Sends a request and returns the status and the problem details of the answer."""
    sent = {"Endive-Tenant": _TENANT, **(headers or {})}
    answer = urllib3.request(
        method, f"http://{entry.address}{path}", body=body, headers=sent, retries=False
    )
    assert answer.headers["Content-Type"] == "application/problem+json", answer.data
    return answer.status, answer.json()


def _chat(
    entry: Entry, program: str, body: bytes, call: str = "1", **headers: str
) -> tuple[int, dict[str, Any]]:
    sent = {"Endive-Program": program, "Endive-Call": call, **headers}
    return _send(entry, "POST", "/v1/chat/completions", body, sent)


def _raw(entry: Entry, data: bytes) -> tuple[int, dict[str, Any]]:
    with entry.connect() as conn:
        conn.sendall(data)
        return _answer(conn)


def _answer(conn: socket.socket) -> tuple[int, dict[str, Any]]:
    data = b"".join(iter(lambda: conn.recv(65536), b""))
    head, _, body = data.partition(b"\r\n\r\n")
    return int(head.split()[1]), json.loads(body)


def _body(**fields: Any) -> bytes:
    return json.dumps({"model": "assistant", "messages": [_MESSAGE], **fields}).encode()


class TestChatBody:
    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"{",
            b"[]",
            b"null",
            b'{"model":"assistant"}',
            _body(messages=[]),
            _body(messages="hello"),
            _body(messages=[{}]),
            _body(messages=[1]),
            _body(model=1),
            _body(max_tokens=-1),
            _body(max_tokens=0),
            _body(max_tokens=1.5),
            _body(max_tokens="many"),
            _body(max_tokens=10**30),
            _body(stream="yes"),
            b'{"model":"assistant","messages":[{"role":"user","content":"\xff\xfe"}]}',
            b'{"model":"assistant","messages":[{"role":"user","content":"\\ud800"}]}',
            b'{"model":"assistant","messages":[{"role":"user","content":"a"}],"x":NaN}',
            b'{"model":"assistant","messages":' + b"[" * 30_000 + b"]" * 30_000 + b"}",
        ],
        ids=lambda body: repr(body[:60]),
    )
    def test_malformed(self, entry: Entry, body: bytes) -> None:
        program = entry.open()
        status, problem = _chat(entry, program.id, body)
        assert (status, problem["code"], problem["not_run"]) == (400, "bad_request", True)
        assert program.status().unwrap()["next_call"] == 1

    def test_too_large(self, entry: Entry) -> None:
        status, problem = _chat(entry, entry.open().id, b" " * (_MAX_BODY_BYTES + 1))
        assert (status, problem["code"], problem["not_run"]) == (413, "body_too_large", True)

    def test_too_large_in_chunks(self, entry: Entry) -> None:
        head = (
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nEndive-Tenant: {_TENANT}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        ).encode()
        data = head + (b"1000\r\n" + b"x" * 4096 + b"\r\n") * 40 + b"0\r\n\r\n"
        status, problem = _raw(entry, data)
        assert (status, problem["code"]) == (413, "body_too_large")

    def test_more_tokens_than_the_budget(self, entry: Entry) -> None:
        deployment = connect([entry.address], _TENANT)
        program = open_program(deployment, "assistant", "front", 10).unwrap()
        status, problem = _chat(entry, program.id, _body())
        assert (status, problem["code"], problem["not_run"]) == (402, "budget_exceeded", True)


class TestPrograms:
    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"[]",
            b'{"service":1}',
            b'{"service":"assistant","budget_tokens":-1}',
            b'{"service":"assistant","budget_tokens":1e400}',
            b'{"service":"assistant","budget_tokens":9223372036854775808}',
            b'{"service":"assistant","class":"no such class"}',
            b'{"service":"assistant","unknown":1}',
            b'{"service":"\xff"}',
        ],
    )
    def test_malformed_opening(self, entry: Entry, body: bytes) -> None:
        status, problem = _send(entry, "POST", "/v1/programs", body)
        assert (status, problem["code"], problem["not_run"]) == (400, "bad_request", True)

    def test_unknown_service(self, entry: Entry) -> None:
        status, problem = _send(entry, "POST", "/v1/programs", b'{"service":"nothing"}')
        assert (status, problem["code"]) == (404, "unknown_service")

    @pytest.mark.parametrize(
        "program", ["0000-" + "0" * 24, "ffff-1", "x", "-1", "%00", "0000-%0d%0a", "00 0-1"]
    )
    def test_unknown_program(self, entry: Entry, program: str) -> None:
        path = f"/v1/programs/{program}".replace(" ", "%20")
        status, problem = _send(entry, "GET", path)
        assert (status, problem["code"]) in ((404, "unknown_program"), (503, "not_owner"))

    def test_wrong_tenant(self, entry: Entry) -> None:
        program = entry.open()
        other = {"Endive-Tenant": "cotton"}
        for method, path in (("GET", ""), ("GET", "/history"), ("DELETE", "")):
            answer = _send(entry, method, f"/v1/programs/{program.id}{path}", headers=other)
            assert (answer[0], answer[1]["code"]) == (403, "wrong_tenant")
        status, problem = _chat(entry, program.id, _body(), **other)
        assert (status, problem["code"], problem["not_run"]) == (403, "wrong_tenant", True)

    def test_parent_of_another_tenant(self, entry: Entry) -> None:
        body = json.dumps({"service": "assistant", "parent": entry.open().id}).encode()
        other = {"Endive-Tenant": "cotton"}
        status, problem = _send(entry, "POST", "/v1/programs", body, other)
        assert (status, problem["code"]) == (403, "wrong_tenant")


class TestCallNumbers:
    @pytest.mark.parametrize("number", ["2", "7", "999999"])
    def test_out_of_order(self, entry: Entry, number: str) -> None:
        status, problem = _chat(entry, entry.open().id, _body(), number)
        assert (status, problem["code"], problem["not_run"]) == (409, "call_out_of_order", True)

    @pytest.mark.parametrize(
        "number",
        ["", "0", "-1", "1.0", "one", "1e3", "99999999999999999999", "+1", "1,2", "\u00b2"],
    )
    def test_malformed(self, entry: Entry, number: str) -> None:
        status, problem = _chat(entry, entry.open().id, _body(), number)
        assert (status, problem["code"], problem["not_run"]) == (400, "bad_request", True)

    def test_same_number_with_another_request(self, entry: Entry) -> None:
        program = entry.open()
        program.call("shop", "lookup", {"item": "board"}).unwrap()
        status, problem = _chat(entry, program.id, _body())
        assert (status, problem["code"], problem["not_run"]) == (422, "call_mismatch", True)

    def test_closed_program(self, entry: Entry) -> None:
        program = entry.open()
        program.close().unwrap()
        status, problem = _chat(entry, program.id, _body())
        assert (status, problem["code"], problem["not_run"]) == (410, "program_closed", True)


class TestHeaders:
    @pytest.mark.parametrize("tenant", ["", "a,b", "\u00e9", "x" * 300])
    def test_malformed_tenant(self, entry: Entry, tenant: str) -> None:
        headers = {"Endive-Tenant": tenant}
        status, problem = _send(entry, "GET", "/v1/programs/0000-1", headers=headers)
        assert (status, problem["code"]) == (400, "bad_request")

    @pytest.mark.parametrize(
        "lines",
        [
            "Endive-Tenant: signs\r\nEndive-Tenant: cotton",
            "Endive-Tenant: signs\r\nEndive_Tenant: cotton",
            "Endive-Tenant: signs\r\nIdempotency-Key: a\r\nIdempotency-Key: b",
            "Endive-Tenant: signs\r\nContent-Length: 5\r\nContent-Length: 6",
            "Endive-Tenant: signs\r\nContent-Length: -5",
            "Endive-Tenant: signs\r\nContent-Length: 5\r\nTransfer-Encoding: chunked",
        ],
    )
    def test_ambiguous(self, entry: Entry, lines: str) -> None:
        data = f"POST /v1/programs HTTP/1.1\r\nHost: x\r\n{lines}\r\n\r\n".encode()
        status, problem = _raw(entry, data)
        assert (status, problem["code"]) == (400, "bad_request")

    def test_too_large(self, entry: Entry) -> None:
        status, problem = _send(entry, "GET", "/v1/programs/0000-1", headers={"A": "x" * 9000})
        assert (status, problem["code"]) == (431, "headers_too_large")

    @pytest.mark.parametrize(
        ("method", "path", "status"),
        [
            ("PUT", "/v1/programs", 405),
            ("GET", "/v1/chat/completions", 405),
            ("PATCH", "/v1/programs/0000-1", 405),
            ("GET", "/", 404),
            ("GET", "/v1/programs/../../etc/passwd", 404),
            ("GET", "/v1/" + "x" * 2000, 404),
        ],
    )
    def test_wrong_method_or_path(self, entry: Entry, method: str, path: str, status: int) -> None:
        found, problem = _send(entry, method, path)
        assert (found, problem["code"]) == (status, "bad_request")

    def test_not_http(self, entry: Entry) -> None:
        status, problem = _raw(entry, b"\x16\x03\x01\x02\x00\x01\x00\x01\r\n\r\n")
        assert (status, problem["code"]) == (400, "bad_request")


class TestSlowAndVanishingCallers:
    def test_body_that_does_not_arrive(self, entry: Entry) -> None:
        head = (
            f"POST /v1/programs HTTP/1.1\r\nHost: x\r\nEndive-Tenant: {_TENANT}\r\n"
            "Content-Length: 100\r\n\r\n{"
        )
        status, problem = _raw(entry, head.encode())
        assert (status, problem["code"], problem["not_run"]) == (408, "request_timeout", True)

    def test_headers_that_do_not_end(self, entry: Entry) -> None:
        status, problem = _raw(entry, b"GET / HTTP/1.1\r\nHost:")
        assert (status, problem["code"]) == (408, "request_timeout")

    def test_more_slow_callers_than_threads(self, entry: Entry) -> None:
        conns = [entry.connect() for _ in range(35)]
        for conn in conns:
            conn.sendall(b"GET / HTTP/1.1\r\nHost:")
        for conn in conns:
            assert _answer(conn)[0] == 408
            conn.close()

    def test_more_connections_than_allowed(self, entry: Entry) -> None:
        head = (
            f"GET /v1/programs/0000-none HTTP/1.1\r\nHost: x\r\nEndive-Tenant: {_TENANT}\r\n"
            "Connection: close\r\n\r\n"
        )
        conns = [entry.connect() for _ in range(_MAX_CALLERS + 20)]
        # Those that have been idle longest give way, one for each that is new.
        assert [conn.recv(1) for conn in conns[:20]] == [b""] * 20
        for conn in conns[20:]:
            conn.sendall(head.encode())
            assert _answer(conn)[0] == 404
        for conn in conns:
            conn.close()

    def test_more_open_requests_than_allowed(self, entry: Entry) -> None:
        head = (
            f"POST /v1/programs HTTP/1.1\r\nHost: x\r\nEndive-Tenant: {_TENANT}\r\n"
            "Content-Length: 100\r\n\r\n{"
        )
        answers: list[dict[str, Any]] = []

        def is_refused() -> bool:
            conns = [entry.connect() for _ in range(_MAX_OPEN)]
            for conn in conns:
                conn.sendall(head.encode())
            # On a busy machine the others may be read later than this one.
            for _ in range(_MAX_OPEN):
                answers.append(_send(entry, "POST", "/v1/programs")[1])
                if answers[-1]["code"] == "overloaded":
                    break
            for conn in conns:
                conn.close()
            return answers[-1]["code"] == "overloaded"

        wait_until(is_refused)
        assert answers[-1]["not_run"]
        assert answers[-1]["retry_after_s"] > 0

    def test_callers_that_vanish_in_an_answer(self, entry: Entry) -> None:
        programs = _open(entry)
        for program in programs:
            body = _body(stream=True, max_tokens=64)
            head = (
                f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nEndive-Tenant: {_TENANT}\r\n"
                f"Endive-Program: {program.id}\r\nEndive-Call: 1\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            )
            with entry.connect() as conn:
                conn.sendall(head.encode() + body)
                conn.recv(1)
                # Closes with a reset, as a host that lost its connection would answer.
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        for program in programs:
            wait_until(lambda program=program: program.status().unwrap()["next_call"] == 2)
            wait_until(lambda program=program: not program.status().unwrap()["running"])

    def test_memory_stays_bounded(self, entry: Entry) -> None:
        program = entry.open()
        body = b'{"model":"assistant","messages":' + b" " * (_MAX_BODY_BYTES - 100)
        for _ in range(50):
            _chat(entry, program.id, body)
        before_kb = entry.resident_kb()
        for _ in range(500):
            _chat(entry, program.id, body)
        assert entry.resident_kb() < before_kb + 500 * _MAX_BODY_BYTES // 1024 // 4


class TestLogs:
    def test_nothing_of_a_request_is_logged(self, entry: Entry) -> None:
        secret = "wording-of-a-caller"
        program = entry.open()
        _chat(entry, program.id, f'{{"messages":[{{"role":"{secret}'.encode())
        _raw(entry, f"GET /{secret} HTTP/1.1\r\nA: {secret}\r\nA: b\r\n\r\n".encode())
        program.chat("assistant", [{"role": "user", "content": secret}]).unwrap()
        time.sleep(0.2)
        for proc in entry.fleet.procs.values():
            assert secret not in json.dumps(proc.events)
            assert not [event for event in proc.events if event["event"] == "output"]
