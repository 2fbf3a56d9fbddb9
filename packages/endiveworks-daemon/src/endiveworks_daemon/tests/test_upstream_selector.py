import random
import time
from typing import Any

from endiveworks.calls.messages import CallKey, Job
from endiveworks.config.bundle import CostWeights, Service
from endiveworks.errors import Code, Failure
from endiveworks.links.link_share import LinkShare
from endiveworks.members.member import Member
from endiveworks.programs.plan import PlacementRequest
from endiveworks.wire.faults import to_fault
from endiveworks.wire.gen import ttypes
from endiveworks_daemon.identity import Identity
from endiveworks_daemon.upstream_links import upstream_links
from endiveworks_daemon.upstream_selector import InterRegionLink, LoadReport, UpstreamSelector
from returns.result import Success

SERVICE = Service(
    "s", "model", "m", {"front": 0}, "front", {}, frozenset(), False,
    CostWeights(1.0, 1.0), 60.0, 10, 4,
)  # fmt: skip
MEMBERS = {
    host: Member(host, f"{host}:1", "upstream", "s", "east", "east-1", 1)
    for host in ("up-1", "up-2", "up-3")
}
JOB = Job(CallKey("p", 1, 1), 1, 1, "t", "s", "chat", "front", False, 0, 60.0, 1, 1, b"")


class Peers:
    """Upstream processes that give every request the same reply."""

    def __init__(self, reply: ttypes.SubmitReply) -> None:
        self.reply = reply

    def call(self, *args: Any) -> Any:
        return Success(self.reply)


class TestReports:
    def selector(self) -> UpstreamSelector:
        return UpstreamSelector(
            "east", InterRegionLink(1e6, 0.02, LinkShare(1e6)), 1_000.0, random.Random(1)
        )

    def placement_request(self, program: str) -> PlacementRequest:
        return PlacementRequest(SERVICE, program, "t", "front", "", 0, 10, 10, 0, frozenset())

    def pick(self, selector: UpstreamSelector, program: str) -> str:
        placement_request = self.placement_request(program)
        return selector.choose(placement_request, MEMBERS).unwrap().host

    def test_submit_replies_carry_the_load_even_if_refused(self) -> None:
        fault = to_fault(Failure(Code.OVERLOADED, "s", "up-1", "", True, 1.0))
        received: list[tuple[str, LoadReport]] = []
        for refusal in (None, fault):
            reply = ttypes.SubmitReply(ttypes.CallKey(*JOB.key), 1, refusal, ttypes.Load(3, 5))
            identity = Identity("e", 1, "east", "east-1", lambda: 1)
            peers: Any = Peers(reply)
            links = upstream_links(
                identity, peers, lambda: MEMBERS, lambda: None, lambda: None,
                on_report=lambda host, report: received.append((host, report)),
            )  # fmt: skip
            links.submit(MEMBERS["up-1"], JOB)
        assert [(host, report.running, report.queued) for host, report in received] == [
            ("up-1", 3, 5)
        ] * 2

    def test_earlier_report_does_not_replace_a_later_one(self) -> None:
        selector = self.selector()
        now_s = time.monotonic()
        for host in MEMBERS:
            selector.record_report(host, LoadReport(now_s, 0, 0))
        selector.record_report("up-1", LoadReport(now_s, 0, 100))
        selector.record_report("up-1", LoadReport(now_s - 1.0, 0, 0))
        assert "up-1" not in {self.pick(selector, f"p{index}") for index in range(4)}

    def test_running_calls_count_once_they_are_reported(self) -> None:
        selector = self.selector()
        now_s = time.monotonic() + 1.0
        for host, running in (("up-1", 3), ("up-2", 3), ("up-3", 1)):
            selector.record_report(host, LoadReport(now_s, running, 0))
        assert self.pick(selector, "p") == "up-3"
