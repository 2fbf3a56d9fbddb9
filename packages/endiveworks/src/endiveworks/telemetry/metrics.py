"""Counters, gauges and histograms of one process, also sent to statsd."""

import threading
from collections.abc import Callable
from typing import NamedTuple

from hdrh.histogram import HdrHistogram
from statsd import StatsClient

from .heavy_hitters import REST_LABEL, HeavyHitters

MAX_TENANTS = 256
MAX_TENANT_CANDIDATES = 512
MAX_CLASSES = 64
MAX_VALUE = 100_000_000
SIGNIFICANT_DIGITS = 2
BUCKET_COUNT_BYTES = 4

_BY_TENANT = "tenant"
_BY_CLASS = "class"
_STATSD_PREFIX = "endiveworks"


class CounterRow(NamedTuple):
    """A counter's value; group is "tenant" or "class", or empty for the whole process."""

    name: str
    group: str
    label: str
    value: int


class GaugeRow(NamedTuple):
    """A gauge's last value."""

    name: str
    value: float


class HistogramRow(NamedTuple):
    """Statistics of recorded values, in the unit that ends the name."""

    name: str
    group: str
    label: str
    recorded: int
    mean: float
    p50: int
    p95: int
    p99: int
    highest: int


class MetricsSnapshot(NamedTuple):
    """All metrics of a process at one time."""

    host: str
    counters: tuple[CounterRow, ...]
    gauges: tuple[GaugeRow, ...]
    histograms: tuple[HistogramRow, ...]


class _Series(NamedTuple):
    """Key of a counter or histogram."""

    name: str
    group: str
    label: str


class Metrics:
    """The metrics of one process. Methods may be called from any thread and never fail or block.

    The MAX_TENANTS most active tenants have separate counters and histograms. All others share the
    label "(rest)"; when a tenant is no longer among the most active, its values are added there.

    Args:
        statsd_address: Address of statsd as "ip:port"; empty to send nothing.
        host: Name of the process.
    """

    def __init__(self, statsd_address: str, host: str) -> None:
        self._host = host
        self._lock = threading.Lock()
        self._tenants = HeavyHitters(MAX_TENANTS, MAX_TENANT_CANDIDATES)
        self._classes = HeavyHitters(MAX_CLASSES, MAX_CLASSES)
        self._counters: dict[_Series, int] = {}
        self._gauges: dict[str, float] = {}
        self._histograms: dict[_Series, HdrHistogram] = {}
        # Reused: a histogram has a reference cycle, so only the garbage collector would free it.
        self._free_histograms: list[HdrHistogram] = []
        self._statsd = _open_statsd(statsd_address, host)

    def count(self, name: str, amount: int = 1, tenant: str = "", class_name: str = "") -> None:
        """Adds to a counter."""
        with self._lock:
            for series in self._series(name, tenant, class_name):
                self._counters[series] = self._counters.get(series, 0) + amount
        if self._statsd:
            self._statsd.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        with self._lock:
            self._gauges[name] = value
        if self._statsd:
            self._statsd.gauge(name, value)

    def record(self, name: str, value: float, tenant: str = "", class_name: str = "") -> None:
        """Records one value in a histogram; the name ends with the unit, as in "queue_wait_ms".

        Values are clamped to the range from 0 to MAX_VALUE.
        """
        clamped = int(min(max(value, 0), MAX_VALUE))
        with self._lock:
            for series in self._series(name, tenant, class_name):
                self._histogram(series).record_value(clamped)
        if self._statsd:
            self._statsd.timing(name, clamped)

    def snapshot(self) -> MetricsSnapshot:
        """Returns all metrics, sorted by name, group and label."""
        with self._lock:
            counters = [CounterRow(*series, value) for series, value in self._counters.items()]
            gauges = [GaugeRow(name, value) for name, value in self._gauges.items()]
            rows = [_row(series, histogram) for series, histogram in self._histograms.items()]
        return MetricsSnapshot(
            self._host, tuple(sorted(counters)), tuple(sorted(gauges)), tuple(sorted(rows))
        )

    def _series(self, name: str, tenant: str, class_name: str) -> tuple[_Series, ...]:
        all_series = [_Series(name, "", "")]
        if tenant:
            all_series.append(
                _Series(name, _BY_TENANT, self._label(self._tenants, _BY_TENANT, tenant))
            )
        if class_name:
            label = self._label(self._classes, _BY_CLASS, class_name)
            all_series.append(_Series(name, _BY_CLASS, label))
        return tuple(all_series)

    def _label(self, hitters: HeavyHitters, group: str, label: str) -> str:
        reported, evicted = hitters.record(label)
        if evicted is not None:
            self._merge_into_rest(group, evicted)
        return reported

    def _merge_into_rest(self, group: str, label: str) -> None:
        """Adds the values of a label that is no longer tracked to REST_LABEL."""
        for series in [key for key in self._counters if key[1:] == (group, label)]:
            rest = series._replace(label=REST_LABEL)
            self._counters[rest] = self._counters.get(rest, 0) + self._counters.pop(series)
        for series in [key for key in self._histograms if key[1:] == (group, label)]:
            merged = self._histograms.pop(series)
            self._histogram(series._replace(label=REST_LABEL)).add(merged)
            merged.reset()
            self._free_histograms.append(merged)

    def _histogram(self, series: _Series) -> HdrHistogram:
        histogram = self._histograms.get(series)
        if histogram is None:
            histogram = self._free_histograms.pop() if self._free_histograms else _new_histogram()
            self._histograms[series] = histogram
        return histogram


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_VALUE, SIGNIFICANT_DIGITS, word_size=BUCKET_COUNT_BYTES)


def _row(series: _Series, histogram: HdrHistogram) -> HistogramRow:
    percentile: Callable[[float], int] = histogram.get_value_at_percentile
    return HistogramRow(
        *series,
        histogram.get_total_count(),
        round(histogram.get_mean_value(), 1),
        percentile(50),
        percentile(95),
        percentile(99),
        histogram.get_max_value(),
    )


def _open_statsd(address: str, host: str) -> StatsClient | None:
    """Returns a client that drops what it can't send at once; None without an address."""
    if not address:
        return None
    ip, _, port = address.rpartition(":")
    ip = ip.strip("[]")
    prefix = f"{_STATSD_PREFIX}.{host.replace('.', '_')}"
    client = StatsClient(ip, int(port), prefix, ipv6=":" in ip)
    # The client ignores socket errors, including the one for a full send buffer.
    client._sock.setblocking(False)
    return client
