"""Selects the upstream process for a call, from load reports and this host's own dispatches."""

import random
import threading
import time
from collections import OrderedDict, defaultdict
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from endiveworks.calls.stream import FinalStatus
from endiveworks.errors import Code, Failure
from endiveworks.gateway.outcomes import (
    DOUBTFUL_ERROR_SHARE,
    ERROR_SHARE,
    Outcomes,
    Source,
    Trial,
    TrialBudget,
    avoided,
    due_trial,
)
from endiveworks.links.link_share import LinkShare
from endiveworks.members.member import Member
from endiveworks.programs.plan import PlacementRequest
from endiveworks.reasons import Reason, Reasons
from endiveworks.routing.upstream_choice import (
    CachedPrefix,
    Choice,
    CostModel,
    RoutingRequest,
    UpstreamState,
    choose_upstream,
    estimate_wait_s,
)
from endiveworks.telemetry.logs import logger
from returns.result import Failure as Err
from returns.result import Result, Success

_RETRY_S = 1.0
_INITIAL_COST_S = 1.0
_EWMA_ALPHA = 0.1
_BYTES_PER_TOKEN = 4
_STREAM_BYTES_PER_TOKEN = 100
_MAX_PROGRAMS = 4_096
_MAX_DECISIONS = 8
_FIRST_ERROR = 400
_FIRST_SERVER_ERROR = 500
# Failures that come from the upstream process or its engine, not from the call or its program.
_UPSTREAM_CODES = frozenset(
    {Code.UPSTREAM_FAILED, Code.UNREACHABLE, Code.TIMEOUT, Code.OUTCOME_UNKNOWN}
)

_UPSTREAM_STEPS = ("engines.", "upstream.", "calls.", "programs.settle")


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


class _KnownOutcomes(NamedTuple):
    """Outcomes of the calls at an incarnation of a process."""

    incarnation: int
    outcomes: Outcomes


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
        self._outcomes: dict[str, _KnownOutcomes] = {}
        self._trials: dict[str, TrialBudget] = {}
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
            self._forget_ended(members)
            call = self._routing_request(req)
            outcomes = {member.host: self._outcomes_of(member) for member in candidates}
            tried = self._choose_trial(req, candidates, outcomes, now_s)
            if tried:
                choice = Choice(tried, 0.0, (Reason("trial", 1.0, tried),))
            else:
                choice = self._choose_sound(req, call, candidates, outcomes, now_s)
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
            self._record_outcome(host, req, final_status, dispatched_at_s)
            is_served = final_status.failure is None and final_status.status < _FIRST_ERROR
            if dispatched_at_s is None or not is_served:
                return  # A call that failed at once says nothing of how long calls take.
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

    def _record_outcome(
        self,
        host: str,
        req: PlacementRequest,
        final_status: FinalStatus,
        dispatched_at_s: float | None,
    ) -> None:
        failure, status, now_s = final_status.failure, final_status.status, time.monotonic()
        known = self._outcomes.get(host)
        if known is None:
            return
        outcomes = known.outcomes
        if failure is None and status < _FIRST_ERROR:
            if outcomes.is_failing:
                self._budget(req).give_back()
            changed = outcomes.record_success(now_s, dispatched_at_s)
        elif failure is not None and not _is_of_upstream(failure):
            return
        else:
            is_error = failure is not None or status >= _FIRST_SERVER_ERROR
            severity = ERROR_SHARE if is_error else DOUBTFUL_ERROR_SHARE
            changed = outcomes.record_failure(Source(req.program), now_s, severity)
        if changed:
            logger("routing").info(
                "upstream_failing" if outcomes.is_failing else "upstream_sound",
                service=req.service.name,
                peer=host,
                failure_share=round(outcomes.failure_share, 2),
            )

    def _choose_sound(
        self,
        req: PlacementRequest,
        call: RoutingRequest,
        candidates: Sequence[Member],
        outcomes: Mapping[str, Outcomes],
        now_s: float,
    ) -> Choice:
        """Returns the cheapest process that serves calls; of all if none of those can be used."""
        failing = avoided(outcomes, [m.host for m in candidates if m.draining])
        upstreams = {m.host: self._upstream_state(req, m, now_s) for m in candidates}
        sound = [upstream for host, upstream in upstreams.items() if host not in failing]
        costs = self._cost_model(req)
        choice = choose_upstream(call, sound, costs, now_s, self._rng)
        if choice.host or not failing:
            return choice
        return choose_upstream(call, list(upstreams.values()), costs, now_s, self._rng)

    def _choose_trial(
        self,
        req: PlacementRequest,
        candidates: Sequence[Member],
        outcomes: Mapping[str, Outcomes],
        now_s: float,
    ) -> str:
        """Returns a failing process that gets the call to find out if it serves again."""
        budget = self._budget(req)
        budget.record_request(now_s)
        if req.excluded_hosts:
            return ""
        failing = {
            m.host: outcomes[m.host]
            for m in candidates
            if outcomes[m.host].is_failing and not m.draining and m.region == self._region
        }
        tried = due_trial(failing, Trial.DUE, now_s)
        if not tried or not budget.take():
            return ""
        failing[tried].start_trial(now_s, self._rng.random())
        return tried

    def _budget(self, req: PlacementRequest) -> TrialBudget:
        return self._trials.setdefault(req.service.name, TrialBudget())

    def _outcomes_of(self, member: Member) -> Outcomes:
        known = self._outcomes.get(member.host)
        if known is None or known.incarnation != member.incarnation:
            known = self._outcomes[member.host] = _KnownOutcomes(member.incarnation, Outcomes())
        return known.outcomes

    def _forget_ended(self, members: Mapping[str, Member]) -> None:
        """Drops the outcomes of processes that are gone."""
        if len(self._outcomes) > len(members):
            for host in self._outcomes.keys() - members.keys():
                del self._outcomes[host]

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


def _is_of_upstream(failure: Failure) -> bool:
    """Returns whether a failure comes from a process or its engine, not from this host."""
    return failure.code in _UPSTREAM_CODES and failure.step.startswith(_UPSTREAM_STEPS)
