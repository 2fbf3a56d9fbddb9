from types import SimpleNamespace
from typing import Any

from endiveworks.members.member import Member
from endiveworks_daemon.prefix_lease_renewer import PrefixLeaseRenewer
from returns.result import Success

UPSTREAM = Member("up-1", "u:1", "upstream", "assistant", "r", "d", 1)
EPOCH = 3


class TestClosedPrograms:
    def setup_method(self) -> None:
        self.programs: dict[str, Any] = {}
        self.sent: list[str] = []
        owner: Any = SimpleNamespace(query_partitions=self.query_partitions)
        peers: Any = SimpleNamespace(call=self.call)
        self.renewal = PrefixLeaseRenewer(
            owner, peers, lambda: None, lambda: {UPSTREAM.host: UPSTREAM}  # type: ignore[arg-type, return-value]
        )

    def query_partitions(self, list_programs: Any) -> Any:
        return [(EPOCH, list_programs(SimpleNamespace(programs=self.programs)))]

    def call(self, address: str, step: str, timeout_s: float, method: Any) -> Any:
        self.sent.append(step)
        return Success(None)

    def add(self, name: str, is_closed: bool) -> None:
        self.programs[name] = SimpleNamespace(
            last_upstream=UPSTREAM.host, next_call=2, closed=object() if is_closed else None
        )

    def test_is_released_even_if_never_seen_open(self) -> None:
        self.add("p", is_closed=True)
        self.renewal.renew()
        assert self.sent == ["upstream.release"]

    def test_is_released_once(self) -> None:
        self.add("p", is_closed=False)
        self.renewal.renew()
        self.add("p", is_closed=True)
        self.renewal.renew()
        self.renewal.renew()
        assert self.sent == ["upstream.renew", "upstream.release"]
