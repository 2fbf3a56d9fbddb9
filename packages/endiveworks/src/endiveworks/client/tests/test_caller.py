import threading
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import NamedTuple

import msgspec
import pytest
from endiveworks.client.caller import Program, connect, open_program
from endiveworks.client.transport import Deployment
from endiveworks.errors import Code

_EVENTS = b"text/event-stream"
_PROBLEM = b"application/problem+json"
_STATUS = msgspec.json.encode(
    {
        "id": "0001-a",
        "tenant": "a",
        "parent": "",
        "next_call": 4,
        "running": False,
        "budget_tokens": 9,
        "attained_tokens": 1,
        "closed": "",
    }
)


class _Scripted(NamedTuple):
    """One scripted response; if `cut` is set, it ends before its Content-Length."""

    status: int
    content_type: bytes
    body: bytes
    cut: bool = False


class _Entry:
    """An entry that sends scripted responses and records the requests."""

    def __init__(self) -> None:
        self.responses: list[_Scripted] = []
        self.seen: list[tuple[str, str, str, bytes]] = []
        entry = self

        class Handler(BaseHTTPRequestHandler):
            def do_POST(self) -> None:
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                call = self.headers.get("Endive-Call", "")
                entry.seen.append((self.command, call, self.headers["Idempotency-Key"], body))
                response = entry.responses.pop(0)
                self.send_response(response.status)
                self.send_header("Content-Type", response.content_type.decode())
                self.send_header("Content-Length", str(len(response.body) + response.cut))
                self.end_headers()
                self.wfile.write(response.body)
                self.close_connection = response.cut

            def do_GET(self) -> None:
                self.do_POST()

            def log_message(self, *_args: object) -> None:
                pass

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    @property
    def deployment(self) -> Deployment:
        return connect([f"127.0.0.1:{self.server.server_port}"], "a", timeout_s=30)


@pytest.fixture
def entry() -> Iterator[_Entry]:
    entry = _Entry()
    yield entry
    entry.server.shutdown()
    entry.server.server_close()


def _events(*texts: str, done: bool = True) -> bytes:
    chunks = [{"choices": [{"delta": {"content": text}}]} for text in texts]
    lines = [b"data: " + msgspec.json.encode(chunk) + b"\n\n" for chunk in chunks]
    return b"".join(lines) + (b"data: [DONE]\n\n" if done else b"")


def _refused(code: Code, **fields: object) -> _Scripted:
    return _Scripted(503, _PROBLEM, msgspec.json.encode({"code": code, **fields}))


class TestChat:
    def test_text_arrives_as_it_grows(self, entry: _Entry) -> None:
        entry.responses = [_Scripted(200, _EVENTS, _events("one ", "two"))]
        program = Program(entry.deployment, "0001-a", 1)
        grown: list[tuple[int, str]] = []
        message = {"role": "user", "content": "hello"}
        response = program.chat("m", [message], on_text=lambda *part: grown.append(part)).unwrap()
        assert response.text == "one two"
        assert grown == [(0, "one "), (4, "two")]
        assert program.next_call == 2

    @pytest.mark.parametrize(
        "broken",
        [
            _Scripted(200, _EVENTS, _events("one ", done=False)),
            _Scripted(200, _EVENTS, _events("one "), cut=True),
            _refused(Code.OVERLOADED, retry_after_s=0.0, not_run=True),
        ],
    )
    def test_a_broken_response_is_retried(self, entry: _Entry, broken: _Scripted) -> None:
        if broken.cut:
            broken = broken._replace(body=_events("one ", done=False))
        entry.responses = [broken, _Scripted(200, _EVENTS, _events("one ", "two"))]
        program = Program(entry.deployment, "0001-a", 3)
        assert program.chat("m", [{"role": "user", "content": "x"}]).unwrap().text == "one two"
        first, second = entry.seen
        assert first == second
        assert first[1] == "3"

    def test_a_final_refusal_is_not_repeated(self, entry: _Entry) -> None:
        entry.responses = [_refused(Code.BUDGET_EXCEEDED, not_run=True, step="programs.start")]
        program = Program(entry.deployment, "0001-a", 3)
        failure = program.chat("m", [{"role": "user", "content": "x"}]).failure()
        assert (failure.code, failure.step) == (Code.BUDGET_EXCEEDED, "programs.start")
        assert program.next_call == 3

    def test_number_is_looked_up_after_an_unknown_outcome(self, entry: _Entry) -> None:
        status = _Scripted(200, b"application/json", _STATUS)
        entry.responses = [_refused(Code.OUTCOME_UNKNOWN), status]
        program = Program(entry.deployment, "0001-a", 3)
        assert program.call("shop", "order", {}).failure().code is Code.OUTCOME_UNKNOWN
        assert program.next_call == 4


class TestPlainCall:
    def test_status_and_body_are_the_services_own(self, entry: _Entry) -> None:
        entry.responses = [_Scripted(422, b"application/json", b'{"a":1}')]
        reply = Program(entry.deployment, "0001-a", 1).call("shop", "order", {"b": 2}, "key")
        assert reply.unwrap() == (422, "application/json", b'{"a":1}')
        assert entry.seen == [("POST", "1", "key", b'{"b":2}')]


class TestOpen:
    def test_program_starts_at_its_next_call(self, entry: _Entry) -> None:
        entry.responses = [_Scripted(201, b"application/json", _STATUS)] * 2
        program = open_program(entry.deployment, "m", "c", 9).unwrap()
        assert (program.id, program.next_call) == ("0001-a", 4)
        assert program.open_sub_agent("m").unwrap().id == "0001-a"
        assert b'"parent":"0001-a"' in entry.seen[1][3]

    def test_malformed_response(self, entry: _Entry) -> None:
        entry.responses = [_Scripted(200, b"application/json", b"[]")]
        assert open_program(entry.deployment, "m").failure().code is Code.CORRUPT

    def test_no_server_is_listening(self) -> None:
        deployment = connect(["127.0.0.1:9"], "a", timeout_s=0.05)
        assert open_program(deployment, "m").failure().code is Code.UNREACHABLE
