import socket

from endiveworks.telemetry import metrics as metrics_module
from endiveworks.telemetry.heavy_hitters import REST_LABEL, HeavyHitters
from endiveworks.telemetry.metrics import CounterRow, HistogramRow, Metrics


def _rows(metrics: Metrics, name: str) -> dict[tuple[str, str], HistogramRow]:
    rows = metrics.snapshot().histograms
    return {(row.group, row.label): row for row in rows if row.name == name}


class TestHistograms:
    def test_whole_process_tenant_and_class(self) -> None:
        metrics = Metrics("", "entry-1")
        for value in range(1, 101):
            metrics.record("queue_wait_ms", value, "sign-shop", "counter")
        rows = _rows(metrics, "queue_wait_ms")
        assert set(rows) == {("", ""), ("tenant", "sign-shop"), ("class", "counter")}
        row = rows["tenant", "sign-shop"]
        assert (row.recorded, row.p50, row.p95, row.highest) == (100, 50, 95, 100)

    def test_out_of_range_values_are_clamped(self) -> None:
        metrics = Metrics("", "entry-1")
        metrics.record("first_token_ms", -5)
        metrics.record("first_token_ms", 1e30)
        assert _rows(metrics, "first_token_ms")["", ""].recorded == 2

    def test_tenant_labels_are_bounded_and_no_value_is_lost(self) -> None:
        metrics = Metrics("", "entry-1")
        for number in range(2000):
            for _ in range(1 + 4 * (number % 500 == 499)):
                metrics.record("program_ms", 5, f"tenant-{number}")
        rows = _rows(metrics, "program_ms")
        tenants = [row for (group, _), row in rows.items() if group == "tenant"]
        assert len(tenants) == metrics_module.MAX_TENANTS + 1
        assert sum(row.recorded for row in tenants) == rows["", ""].recorded == 2016

    def test_snapshot_without_values(self) -> None:
        assert Metrics("", "entry-1").snapshot() == ("entry-1", (), (), ())


class TestCounters:
    def test_amounts_add_up(self) -> None:
        metrics = Metrics("", "entry-1")
        metrics.count("refused", tenant="a")
        metrics.count("refused", 2)
        metrics.gauge("open_streams", 3)
        snapshot = metrics.snapshot()
        assert snapshot.counters == (
            CounterRow("refused", "", "", 3),
            CounterRow("refused", "tenant", "a", 1),
        )
        assert snapshot.gauges == (("open_streams", 3),)


class TestHeavyHitters:
    def test_a_more_frequent_label_replaces_a_tracked_one(self) -> None:
        hitters = HeavyHitters(2, 4)
        assert hitters.record("a") == ("a", None)
        assert hitters.record("b") == ("b", None)
        assert hitters.record("c") == (REST_LABEL, None)
        assert hitters.record("c") == (REST_LABEL, None)
        assert hitters.record("c")[0] == "c"
        assert hitters.record("c") == ("c", None)

    def test_labels_seen_once_replace_no_tracked_one(self) -> None:
        hitters = HeavyHitters(2, 4)
        for label in ("a", "a", "b", "b"):
            hitters.record(label)
        reported = {hitters.record(f"once-{number}")[0] for number in range(1000)}
        assert reported == {REST_LABEL}
        assert hitters.record("a") == ("a", None)


class TestStatsd:
    def test_sends_counters_gauges_and_values(self) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
            server.bind(("127.0.0.1", 0))
            server.settimeout(10)
            metrics = Metrics(f"127.0.0.1:{server.getsockname()[1]}", "entry.1")
            metrics.count("refused")
            metrics.gauge("open_streams", 2)
            metrics.record("queue_wait_ms", 7)
            received = [server.recv(1000).decode() for _ in range(3)]
        assert received == [
            "endiveworks.entry_1.refused:1|c",
            "endiveworks.entry_1.open_streams:2|g",
            "endiveworks.entry_1.queue_wait_ms:7.000000|ms",
        ]

    def test_an_unreachable_server_causes_no_error(self) -> None:
        metrics = Metrics("127.0.0.1:9", "entry-1")
        for _ in range(1000):
            metrics.count("refused")
        assert metrics.snapshot().counters == (CounterRow("refused", "", "", 1000),)
