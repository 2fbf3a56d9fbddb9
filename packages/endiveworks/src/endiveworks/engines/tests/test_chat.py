import threading
from collections.abc import Callable, Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest
import urllib3
from endiveworks.calls.stream import FinalStatus
from endiveworks.engines.chat import ChatJob, run_chat

FIRST_EVENT = b'id: 1\ndata: {"choices":[{"delta":{"content":"hi "}}]}\n\n'
ODD = 299  # Stands for a stream with an event that can't be read.
Run = Callable[[list[int]], tuple[FinalStatus, bytes]]


@pytest.fixture
def run() -> Iterator[Run]:
    """Runs a completion on an engine that returns each status in turn; 200 closes early."""
    statuses: list[int] = []

    class Engine(BaseHTTPRequestHandler):
        def do_POST(self) -> None:  # noqa: N802 (name set by the library)
            self.rfile.read(int(self.headers["Content-Length"]))
            status = statuses.pop(0) if len(statuses) > 1 else statuses[0]
            self.send_response(200 if status == ODD else status)
            self.end_headers()
            odd = {ODD: b"data: " + b"[" * 100_000 + b"\n\n", 200: FIRST_EVENT}
            self.wfile.write(odd.get(status, b'{"error":{}}'))

        def log_message(self, *args: object) -> None:
            """Suppresses the request log."""

    with ThreadingHTTPServer(("127.0.0.1", 0), Engine) as httpd:
        threading.Thread(target=httpd.serve_forever, daemon=True).start()

        def run_with(responses: list[int]) -> tuple[FinalStatus, bytes]:
            statuses[:] = responses
            events: list[bytes] = []
            url = f"http://127.0.0.1:{httpd.server_port}"
            job = ChatJob(url, "r", b"{}", 5.0, lambda event: events.append(event) or True)
            return run_chat(urllib3.PoolManager(), job), b"".join(events)

        yield run_with
        httpd.shutdown()


class TestRefusedResume:
    @pytest.mark.parametrize("status", [404, 503])
    def test_keeps_the_emitted_events_and_may_have_run(self, run: Run, status: int) -> None:
        final_status, data = run([200, status])
        assert data == FIRST_EVENT
        assert final_status.failure is not None and not final_status.failure.not_run

    def test_of_a_first_request_is_relayed_or_not_run(self, run: Run) -> None:
        assert run([404])[0].status == 404
        failure = run([503])[0].failure
        assert failure is not None and failure.not_run


class TestOddEvents:
    def test_an_event_that_can_not_be_read_counts_as_a_broken_stream(self, run: Run) -> None:
        final_status, data = run([200, ODD])
        assert data == FIRST_EVENT
        assert final_status.failure is not None and not final_status.failure.not_run
        assert "can't be read" in final_status.failure.detail
