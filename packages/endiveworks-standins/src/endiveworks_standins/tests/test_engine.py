"""Runs the engine stand-in as a process."""

import json
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest
import urllib3

WAIT_S = 20.0
RATES = ["--step_s=0.002", "--step_per_sequence_s=0.0001", "--event_lag_s=0.01", "--load_lag_s=0.0"]
HELLO = [{"role": "user", "content": "price of a fascia board"}]

Json = dict[str, Any]


class RunningEngine:
    """A running stand-in."""

    def __init__(self, address: str, log_file: str) -> None:
        self.http = urllib3.PoolManager(retries=False, timeout=WAIT_S)
        self.url = f"http://{address}"
        self.log_file = log_file

    def post(self, path: str, body: Json) -> urllib3.BaseHTTPResponse:
        return self.http.request("POST", self.url + path, json=body)

    def get(self, path: str) -> Json:
        return self.http.request("GET", self.url + path).json()

    def chat(self, request: str, after: int = 0, **fields: Any) -> "Response":
        body = {"messages": HELLO, "stream": True, "cache_salt": "p1", **fields}
        headers = {"X-Request-Id": request}
        if after:
            headers["Last-Event-ID"] = str(after)
        resp = self.http.request(
            "POST",
            f"{self.url}/v1/chat/completions",
            json=body,
            headers=headers,
            preload_content=False,
        )
        return read_response(resp)

    def logged(self, event: str) -> list[Json]:
        with open(self.log_file, encoding="utf-8") as file:
            lines = [json.loads(line) for line in file]
        return [line for line in lines if line["event"] == event]


class Response:
    """A stream read to its end."""

    def __init__(self) -> None:
        self.text = ""
        self.last_id = 0
        self.usage: Json = {}
        self.done = False
        self.status = 200


def read_response(resp: urllib3.BaseHTTPResponse) -> Response:
    response = Response()
    response.status = resp.status
    data = b""
    try:
        for part in resp.stream(1024):
            data += part
    except urllib3.exceptions.HTTPError:
        pass
    for line in data.decode().splitlines():
        if line.startswith("id: "):
            response.last_id = int(line[4:])
        elif line == "data: [DONE]":
            response.done = True
        elif line.startswith("data: "):
            event = json.loads(line[6:])
            response.text += event["choices"][0]["delta"].get("content", "")
            response.usage = event.get("usage", response.usage)
    return response


def wait_for(check: Callable[[], bool]) -> None:
    end = time.monotonic() + WAIT_S
    while not check():
        assert time.monotonic() < end, "condition not met in time"
        time.sleep(0.01)


@pytest.fixture
def start(tmp_path: Any) -> Iterator[Callable[..., RunningEngine]]:
    procs: list[subprocess.Popen[bytes]] = []

    def run(*flags: str) -> RunningEngine:
        log_file = str(tmp_path / f"engine{len(procs)}.log")
        command = [sys.executable, "-m", "endiveworks_standins.engine", "--port=0"]
        command += [f"--log_file={log_file}", *RATES, *flags]
        proc = subprocess.Popen(command, stderr=subprocess.PIPE)
        procs.append(proc)
        assert proc.stderr is not None
        return RunningEngine(json.loads(proc.stderr.readline())["address"], log_file)

    yield run
    for proc in procs:
        proc.kill()
        proc.communicate()


class TestResponses:
    def test_response_has_usage_and_depends_only_on_the_prompt(self, start: Any) -> None:
        first = start().chat("r1", max_tokens=8)
        again = start().chat("other", max_tokens=8)
        assert first.done
        assert first.text == again.text
        assert first.usage["completion_tokens"] == 8
        assert first.usage["prompt_tokens_details"]["cached_tokens"] == 0

    def test_request_id_is_executed_once(self, start: Any) -> None:
        engine = start()
        assert engine.chat("r1").text == engine.chat("r1").text
        assert len(engine.logged("accepted")) == 1

    def test_next_turn_reuses_the_prefix(self, start: Any) -> None:
        engine = start()
        first = engine.chat("r1")
        turn = [*HELLO, {"role": "assistant", "content": first.text}]
        second = engine.chat("r2", messages=[*turn, {"role": "user", "content": "and in gold"}])
        total = first.usage["total_tokens"]
        assert second.usage["prompt_tokens_details"]["cached_tokens"] == total


class TestStreams:
    def test_cut_stream_resumes_after_the_last_event(self, start: Any) -> None:
        engine = start()
        whole = engine.chat("r0").text
        engine.post("/standin/faults", {"cut_after_events": 3, "cut_streams": 1})
        cut = engine.chat("r1")
        rest = engine.chat("r1", after=cut.last_id)
        assert not cut.done and cut.last_id == 3
        assert rest.done and cut.text + rest.text == whole

    def test_cancelled_response_continues_from_its_text(self, start: Any) -> None:
        engine = start()
        whole = engine.chat("r0", cache_salt="p0")
        engine.post("/standin/faults", {"cut_after_events": 3, "cut_streams": 1})
        cut = engine.chat("r1", cache_salt="p1")
        engine.post("/v1/cancel", {"request_id": "r1"})
        turn = [*HELLO, {"role": "assistant", "content": cut.text}]
        rest = engine.chat("r2", messages=turn, continue_final_message=True)
        assert cut.text + rest.text == whole.text
        assert rest.usage["prompt_tokens_details"]["cached_tokens"] > 0

    def test_hung_request_is_cancelled(self, start: Any) -> None:
        engine = start()
        engine.post("/standin/faults", {"hang_streams": 1})
        resp = engine.http.request(
            "POST",
            f"{engine.url}/v1/chat/completions",
            json={"messages": HELLO, "stream": True},
            headers={"X-Request-Id": "r1"},
            preload_content=False,
        )
        assert engine.post("/v1/cancel", {"request_id": "r1"}).json() == {"cancelled": True}
        assert read_response(resp).text == ""

    def test_restart_closes_streams_and_drops_requests_and_cache(self, start: Any) -> None:
        engine = start()
        engine.chat("r1")
        engine.post("/standin/faults", {"restart": True})
        assert engine.get("/cache/list") == {"prefixes": {}, "exported": {}}
        assert engine.chat("r1", after=1).status == 404

    def test_reported_tokens_can_exceed_the_limit(self, start: Any) -> None:
        engine = start()
        engine.post("/standin/faults", {"extra_tokens": 5})
        assert engine.chat("r1", max_tokens=4).usage["completion_tokens"] == 9


class TestMemory:
    def test_prefix_is_listed_exported_imported_and_released(self, start: Any) -> None:
        engine = start()
        tokens = engine.chat("r1").usage["total_tokens"]
        assert engine.get("/cache/list") == {"prefixes": {"p1": tokens}, "exported": {}}
        assert engine.post("/cache/export", {"cache_salt": "p1"}).json() == {"tokens": tokens}
        assert engine.get("/cache/list") == {"prefixes": {}, "exported": {"p1": tokens}}
        assert engine.post("/cache/import", {"cache_salt": "p1"}).json() == {"tokens": tokens}
        assert engine.post("/cache/release", {"cache_salt": "p1"}).json() == {"tokens": tokens}
        assert engine.get("/cache/list") == {"prefixes": {}, "exported": {}}

    def test_cache_events_are_delayed_and_can_be_lost(self, start: Any) -> None:
        engine = start()
        engine.chat("r1")
        wait_for(lambda: len(engine.get("/cache/events?after=0")["events"]) == 1)
        engine.post("/standin/faults", {"lose_events": True})
        engine.chat("r2", cache_salt="p2")
        engine.post("/standin/faults", {})
        engine.chat("r3", cache_salt="p3")
        wait_for(lambda: len(engine.get("/cache/events?after=1")["events"]) == 1)
        assert engine.get("/cache/events?after=1")["events"][0]["number"] == 3

    def test_load_report_freezes(self, start: Any) -> None:
        engine = start()
        engine.post("/standin/faults", {"freeze_load": True})
        before = engine.get("/load")
        engine.chat("r1")
        assert engine.get("/load") == before


class TestOrders:
    def test_stale_fencing_number_is_refused_only_if_checked(self, start: Any) -> None:
        order = {"kind": "set_role", "value": "prefill"}
        for flags, status in ((["--check_fencing"], 409), ([], 200)):
            engine = start(*flags)
            assert engine.post("/orders", {**order, "fencing": 2}).status == 200
            assert engine.post("/orders", {**order, "fencing": 1}).status == status
