from collections.abc import Iterator

import pytest
import urllib3
from endiveworks.telemetry.metrics import Metrics
from endiveworks.telemetry.status import (
    ProcessStatus,
    ProgramRow,
    StatusSources,
    decode_metrics,
    decode_programs,
    decode_status,
)
from endiveworks_daemon.admin import serve

_STATUS = ProcessStatus(
    host="entry-1",
    version="0.1.0",
    role="entry",
    service="",
    region="west",
    failure_domain="west-1",
    incarnation=7,
    draining=False,
    config_version=3,
    partitions=2,
    running=1,
    queued=0,
    threads=9,
    open_files=12,
    uptime_s=1.5,
)


class _State:
    def __init__(self) -> None:
        self.status = _STATUS
        self.metrics = Metrics("", "entry-1")


@pytest.fixture
def state() -> _State:
    return _State()


@pytest.fixture
def get(state: _State) -> Iterator[object]:
    row = ProgramRow(
        program="0001-a",
        tenant="a",
        parent="",
        state="paused",
        calls=1,
        used_tokens=2,
        left_tokens=3,
        owner="entry-1",
    )
    sources = StatusSources(lambda: state.status, lambda n: [row][:n], state.metrics.snapshot)
    server = serve("127.0.0.1:0", sources)
    with urllib3.PoolManager() as http:

        def request(path: str, method: str = "GET") -> urllib3.BaseHTTPResponse:
            return http.request(method, f"http://{server.address}{path}", retries=False)

        yield request
    server.stop()


class TestEndpoints:
    def test_status(self, get) -> None:
        assert decode_status(get("/status").data, "").unwrap() == _STATUS

    def test_metrics(self, get, state: _State) -> None:
        state.metrics.record("queue_wait_ms", 5, "a", "c")
        body = decode_metrics(get("/metrics.json").data, "").unwrap()
        groups = [(row["group"], row["label"], row["p50"]) for row in body["histograms"]]
        assert groups == [("", "", 5), ("class", "c", 5), ("tenant", "a", 5)]

    def test_programs(self, get) -> None:
        (row,) = decode_programs(get("/programs?limit=5").data, "").unwrap()
        assert row["program"] == "0001-a"

    def test_health_follows_draining(self, get, state: _State) -> None:
        assert (get("/healthz").status, get("/healthz").data) == (200, b"ready\n")
        state.status = ProcessStatus(**{**_STATUS, "draining": True})
        assert (get("/healthz").status, get("/healthz").data) == (503, b"draining\n")


class TestBadRequests:
    @pytest.mark.parametrize("limit", ["0", "-1", "1001", "x", "99999999999999999999"])
    def test_limit(self, get, limit: str) -> None:
        assert get(f"/programs?limit={limit}").status == 400

    def test_unknown_path(self, get) -> None:
        assert get("/nothing").status == 404

    def test_wrong_method(self, get) -> None:
        assert get("/status", "POST").status == 405

    def test_malformed_status_names_the_peer(self) -> None:
        assert decode_status(b"{}", "127.0.0.1:1").failure().peer == "127.0.0.1:1"
