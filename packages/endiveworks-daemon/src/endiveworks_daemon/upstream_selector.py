"""Selects the upstream process for a call, from load reports and this host's own dispatches."""

import random
import threading
import time
from collections import OrderedDict, defaultdict
from collections.abc import Mapping
from typing import NamedTuple

from endiveworks.calls.stream import FinalStatus
from endiveworks.errors import Code, Failure
from endiveworks.links.link_share import LinkShare
from endiveworks.members.member import Member
from endiveworks.programs.plan import PlacementRequest
from endiveworks.reasons import Reasons
from endiveworks.routing.upstream_choice import (
    CachedPrefix,
    CostModel,
    RoutingRequest,
    UpstreamState,
    choose_upstream,
    estimate_wait_s,
)
from returns.result import Failure as Err
from returns.result import Result, Success

_RETRY_S = 1.0
_INITIAL_COST_S = 1.0
_EWMA_ALPHA = 0.1
_BYTES_PER_TOKEN = 4
_STREAM_BYTES_PER_TOKEN = 100
_MAX_PROGRAMS = 4_096
_MAX_DECISIONS = 8


class InterRegionLink(NamedTuple):
    """The link between regions.

    Attributes:
        bytes_per_s: Rate that this host may use.
        delay_s: One-way delay.
        share: This host's budget of that rate.
    """

    bytes_per_s: float
    delay_s: float
    share: LinkShare


class LoadReport(NamedTuple):
    """Load of an upstream process; at_s is the monotonic time of the request for it."""

    at_s: float
    running: int
    queued: int


class RoutingDecision(NamedTuple):
    """A past selection and its reasons; at_s is in seconds since the Unix epoch."""

    at_s: float
    host: str
    cost: float
    reasons: Reasons


_NO_REPORT = LoadReport(float("-inf"), 0, 0)


class UpstreamSelector:
    """Tracks the load of the upstream processes and selects one for each call.

    Keeps the latest selections of each program for `explain`.

    Args:
        region: Region of this host.
        link: The link between regions.
        prefill_tokens_per_s: Rate at which an engine prefills prompts.
        rng: Random number generator.
    """

    def __init__(
        self, region: str, link: InterRegionLink, prefill_tokens_per_s: float, rng: random.Random
    ) -> None:
        self._region = region
        self._link = link
        self._prefill_tokens_per_s = prefill_tokens_per_s
        self._rng = rng
        self._lock = threading.Lock()
        self._reports: dict[str, LoadReport] = {}
        self._dispatched_at_s: dict[str, dict[str, float]] = defaultdict(dict)
        self._cost_s: dict[str, float] = {}
        self._decisions: OrderedDict[str, tuple[RoutingDecision, ...]] = OrderedDict()

    def choose(
        self, req: PlacementRequest, members: Mapping[str, Member]
    ) -> Result[Member, Failure]:
        """Returns the upstream process with the lowest cost."""
        name = req.service.name
        candidates = [
            member
            for member in members.values()
            if member.service == name and member.host not in req.excluded_hosts
        ]
        now_s = time.monotonic()
        with self._lock:
            upstreams = [self._upstream_state(req, member, now_s) for member in candidates]
            call = self._routing_request(req)
            choice = choose_upstream(call, upstreams, self._cost_model(req), now_s, self._rng)
            if not choice.host:
                detail = f"no upstream of {name!r} accepts the call"
                return Err(Failure(Code.NO_UPSTREAM, "choice.choose", "", detail, True, _RETRY_S))
            selected = members[choice.host]
            self._dispatched_at_s[choice.host][req.program] = now_s
            if selected.region != self._region:
                self._link.share.record_control(call.link_bytes)
            self._append_decision(req.program, RoutingDecision(time.time(), *choice))
        return Success(selected)

    def record_end(self, host: str, req: PlacementRequest, final_status: FinalStatus) -> None:
        """Records that an attempt has ended."""
        with self._lock:
            dispatched_at_s = self._dispatched_at_s[host].pop(req.program, None)
            if dispatched_at_s is None or final_status.failure is not None:
                return
            name = req.service.name
            cost_s = self._cost_s.get(name, _INITIAL_COST_S)
            self._cost_s[name] = cost_s + _EWMA_ALPHA * (
                time.monotonic() - dispatched_at_s - cost_s
            )

    def record_report(self, host: str, report: LoadReport) -> None:
        """Records a load report unless a later one is already recorded."""
        with self._lock:
            if report.at_s >= self._reports.get(host, _NO_REPORT).at_s:
                self._reports[host] = report

    def explain(self, program: str) -> tuple[RoutingDecision, ...]:
        """Returns the latest selections for a program's calls, oldest first."""
        with self._lock:
            return self._decisions.get(program, ())

    def _upstream_state(self, req: PlacementRequest, member: Member, now_s: float) -> UpstreamState:
        report = self._reports.get(member.host, _NO_REPORT)
        slots = req.service.slots
        cost_s = self._cost_s.get(req.service.name, _INITIAL_COST_S)
        dispatch_times = self._dispatched_at_s[member.host].values()
        unreported = sum(dispatched_at_s > report.at_s for dispatched_at_s in dispatch_times)
        return UpstreamState(
            host=member.host,
            region=member.region,
            wait_s=estimate_wait_s(report.queued * cost_s, report.running, slots, cost_s),
            reported_at_s=report.at_s,
            unreported_wait_s=unreported * cost_s / slots,
            running=max(report.running, len(dispatch_times)),
            draining=member.draining,
        )

    def _routing_request(self, req: PlacementRequest) -> RoutingRequest:
        cached_prefix = None
        if req.last_upstream and req.history_tokens:
            cached_prefix = CachedPrefix(req.last_upstream, req.history_tokens)
        prompt_tokens = req.history_tokens + req.new_tokens
        response_bytes = req.max_tokens * _STREAM_BYTES_PER_TOKEN
        link_bytes = prompt_tokens * _BYTES_PER_TOKEN + response_bytes
        return RoutingRequest(self._region, prompt_tokens, link_bytes, cached_prefix)

    def _cost_model(self, req: PlacementRequest) -> CostModel:
        return CostModel(
            req.service.weights,
            self._prefill_tokens_per_s,
            self._link.delay_s,
            self._link.share.available_bytes(),
            self._link.bytes_per_s,
        )

    def _append_decision(self, program: str, chosen: RoutingDecision) -> None:
        earlier = self._decisions.pop(program, ())
        self._decisions[program] = (*earlier, chosen)[-_MAX_DECISIONS:]
        if len(self._decisions) > _MAX_PROGRAMS:
            self._decisions.popitem(last=False)
