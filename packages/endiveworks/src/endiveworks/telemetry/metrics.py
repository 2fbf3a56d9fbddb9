"""Counters, gauges and histograms of one process, also sent to statsd."""

import threading
from collections.abc import Callable
from typing import NamedTuple

from hdrh.histogram import HdrHistogram
from statsd import StatsClient

from .busiest import REST, Busiest

MAX_TENANTS = 256
MAX_TENANT_CANDIDATES = 512
MAX_CLASSES = 64
MAX_VALUE = 100_000_000
SIGNIFICANT_DIGITS = 2
COUNTER_BYTES = 4

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
    """The spread of recorded values, in the unit that the name ends with."""

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
    """What one counter or histogram is kept under."""

    name: str
    group: str
    label: str


class Metrics:
    """The metrics of one process. Methods may be called from any thread and never fail or block.

    The busiest MAX_TENANTS tenants have counters and histograms of their own; all others share the
    label "(rest)", into which a tenant's figures are folded when it loses its place.

    Args:
        statsd_address: Address of statsd as "ip:port"; empty sends nothing.
        host: Name of the process.
    """

    def __init__(self, statsd_address: str, host: str) -> None:
        self._host = host
        self._lock = threading.Lock()
        self._tenants = Busiest(MAX_TENANTS, MAX_TENANT_CANDIDATES)
        self._classes = Busiest(MAX_CLASSES, MAX_CLASSES)
        self._counters: dict[_Series, int] = {}
        self._gauges: dict[str, float] = {}
        self._histograms: dict[_Series, HdrHistogram] = {}
        # A histogram refers to itself, so one that is dropped would stay until a collection.
        self._spare: list[HdrHistogram] = []
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

        Values outside 0 to MAX_VALUE count as the nearer of these.
        """
        whole = int(min(max(value, 0), MAX_VALUE))
        with self._lock:
            for series in self._series(name, tenant, class_name):
                self._histogram(series).record_value(whole)
        if self._statsd:
            self._statsd.timing(name, whole)

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
        found = [_Series(name, "", "")]
        if tenant:
            found.append(_Series(name, _BY_TENANT, self._label(self._tenants, _BY_TENANT, tenant)))
        if class_name:
            label = self._label(self._classes, _BY_CLASS, class_name)
            found.append(_Series(name, _BY_CLASS, label))
        return tuple(found)

    def _label(self, busiest: Busiest, group: str, label: str) -> str:
        place, displaced = busiest.use(label)
        if displaced is not None:
            self._fold(group, displaced)
        return place

    def _fold(self, group: str, label: str) -> None:
        """Adds the figures of a label that lost its place to those of the rest."""
        for series in [kept for kept in self._counters if kept[1:] == (group, label)]:
            rest = series._replace(label=REST)
            self._counters[rest] = self._counters.get(rest, 0) + self._counters.pop(series)
        for series in [kept for kept in self._histograms if kept[1:] == (group, label)]:
            folded = self._histograms.pop(series)
            self._histogram(series._replace(label=REST)).add(folded)
            folded.reset()
            self._spare.append(folded)

    def _histogram(self, series: _Series) -> HdrHistogram:
        histogram = self._histograms.get(series)
        if histogram is None:
            histogram = self._spare.pop() if self._spare else _new_histogram()
            self._histograms[series] = histogram
        return histogram


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_VALUE, SIGNIFICANT_DIGITS, word_size=COUNTER_BYTES)


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
    """Returns a client that drops what cannot be sent at once; None without an address."""
    if not address:
        return None
    number, _, port = address.rpartition(":")
    number = number.strip("[]")
    prefix = f"{_STATSD_PREFIX}.{host.replace('.', '_')}"
    client = StatsClient(number, int(port), prefix, ipv6=":" in number)
    # The client swallows socket errors, which includes the one for a full send buffer.
    client._sock.setblocking(False)
    return client
