import random
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import pytest
from endiveworks.calls.messages import CallKey, Job
from endiveworks.calls.stream import FinalStatus
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


SERVED = FinalStatus(200, "application/json")
FAILURES = {
    "an engine that is gone": FinalStatus(
        502, "", failure=Failure(Code.UPSTREAM_FAILED, "engines.chat", "e", "", not_run=True)
    ),
    "a lost outcome": FinalStatus(
        502, "", failure=Failure(Code.OUTCOME_UNKNOWN, "engines.plain", "e", "")
    ),
    "an unreachable process": FinalStatus(
        503, "", failure=Failure(Code.UNREACHABLE, "upstream.submit", "up-1", "", not_run=True)
    ),
    "an error": FinalStatus(500, "application/json"),
    "a rejection": FinalStatus(404, "application/json"),
}


class TestUpstreamThatFailsAtOnce(TestReports):
    def run_calls(
        self,
        selector: UpstreamSelector,
        count: int,
        outcome: Callable[[str], FinalStatus],
        program: str = "",
    ) -> Counter[str]:
        """Runs calls one after another, and returns their number by host."""
        chosen: Counter[str] = Counter()
        for number in range(count):
            req = self.placement_request(program or f"p{number}")
            host = selector.choose(req, MEMBERS).unwrap().host
            chosen[host] += 1
            time.sleep(0.001 if outcome(host) == SERVED else 0.0)
            selector.record_end(host, req, outcome(host))
        return chosen

    @pytest.mark.parametrize("failure", FAILURES.values(), ids=FAILURES.keys())
    def test_it_does_not_draw_calls(self, failure: FinalStatus) -> None:
        chosen = self.run_calls(
            self.selector(), 100, lambda host: failure if host == "up-1" else SERVED
        )
        assert chosen["up-1"] <= 15

    def test_one_that_serves_again_gets_calls_soon(self) -> None:
        selector = self.selector()
        failure = FAILURES["an error"]
        self.run_calls(selector, 100, lambda host: failure if host == "up-1" else SERVED)
        end_s = time.monotonic() + 4.0
        while time.monotonic() < end_s:
            self.run_calls(selector, 10, lambda host: SERVED)
        assert self.run_calls(selector, 90, lambda host: SERVED)["up-1"] >= 20

    def test_calls_are_still_sent_if_all_fail(self) -> None:
        chosen = self.run_calls(self.selector(), 90, lambda host: FAILURES["an error"])
        assert sum(chosen.values()) == 90

    def test_failures_of_this_host_count_against_no_upstream(self) -> None:
        journal = Failure(Code.TIMEOUT, "journal.append", "d1", "")
        selector = self.selector()
        self.run_calls(
            selector, 50, lambda host: FinalStatus(503, "application/json", failure=journal)
        )
        assert self.run_calls(selector, 1, lambda host: SERVED)["up-1"] == 1

    def test_an_error_does_not_shorten_the_expected_duration_of_calls(self) -> None:
        selector = self.selector()
        self.run_calls(selector, 50, lambda host: FAILURES["an error"])
        assert not selector._cost_s

    def test_failing_upstreams_are_used_if_the_link_to_the_others_is_used_up(self) -> None:
        link = InterRegionLink(1e6, 0.02, LinkShare(1.0))
        selector = UpstreamSelector("east", link, 1_000.0, random.Random(1))
        far = MEMBERS["up-3"]._replace(region="west")
        members = {**MEMBERS, "up-3": far}
        for number in range(30):
            req = self.placement_request(f"p{number}")
            host = selector.choose(req, members).unwrap().host
            selector.record_end(host, req, FAILURES["an error"])
        assert host != "up-3"
