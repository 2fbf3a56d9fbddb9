"""Which software versions of a service were listed lately."""

from collections.abc import Iterable

from .messages import Replica

# Replicas that have crashed, or whose records expired with the store away, are back within this
# time.
RETURN_S = 2.0


class ServiceVersions:
    """Versions of each service that service discovery listed, and until when.

    Args:
        now_s: Current time; of what was listed before, nothing is known.
    """

    def __init__(self, now_s: float) -> None:
        self._started_s = now_s
        self._listed_until_s: dict[tuple[str, str], float] = {}
        self._listed: frozenset[tuple[str, str]] = frozenset()
        self._serving: frozenset[tuple[str, str]] = frozenset()
        self._served_until_s: dict[tuple[str, str], float] = {}

    def update(self, replicas: Iterable[Replica], now_s: float) -> None:
        """Takes over a new list of replicas."""
        all_listed = list(replicas)
        listed = frozenset((each.service, each.version) for each in all_listed)
        serving = frozenset((e.service, e.version) for e in all_listed if not e.draining)
        for each in self._listed | listed:
            self._listed_until_s[each] = now_s
        for each in self._serving | serving | (listed - self._listed):
            self._served_until_s[each] = now_s
        self._listed, self._serving = listed, serving

    def may_differ(self, service: str, window_s: float, now_s: float) -> bool:
        """Returns whether streams that began within a time may have begun at two versions."""
        if now_s - self._started_s < window_s:
            return True
        count = sum(
            name == service and ((name, version) in self._listed or now_s - until_s <= window_s)
            for (name, version), until_s in self._listed_until_s.items()
        )
        return count > 1

    def may_serve(self, service: str, version: str, now_s: float) -> bool:
        """Returns whether a version has a replica that takes requests, or may soon have one."""
        key = (service, version)
        if key in self._serving:
            return True
        return now_s - self._served_until_s.get(key, self._started_s) < RETURN_S
