"""Choice of the upstream process for a call, from load reports and this host's own sends."""

import random
import threading
import time
from collections import OrderedDict, defaultdict
from collections.abc import Mapping
from typing import NamedTuple

from endiveworks.calls.stream import Ending
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
_FIRST_COST_S = 1.0
_EWMA_SHARE = 0.1
_BYTES_PER_TOKEN = 4
_STREAM_BYTES_PER_TOKEN = 100
_KEPT_PROGRAMS = 4_096
_KEPT_CHOICES = 8


class Link(NamedTuple):
    """The link between regions.

    Attributes:
        bytes_per_s: Rate that this host may use.
        delay_s: One-way delay.
        share: What this host has left of that rate.
    """

    bytes_per_s: float
    delay_s: float
    share: LinkShare


class Report(NamedTuple):
    """Load of an upstream process at a time."""

    at_s: float
    running: int
    queued: int


class Chosen(NamedTuple):
    """A choice that was made, with its reasons; at_s is seconds since the epoch."""

    at_s: float
    host: str
    cost: float
    reasons: Reasons


_NO_REPORT = Report(float("-inf"), 0, 0)


class Choices:
    """What this host knows of the upstreams' load, and the choices it has made.

    Args:
        region: Region of this host.
        link: The link between regions.
        prefill_tokens_per_s: Prompt tokens that an engine computes in a second.
        source: Source of random numbers.
    """

    def __init__(
        self, region: str, link: Link, prefill_tokens_per_s: float, source: random.Random
    ) -> None:
        self._region = region
        self._link = link
        self._prefill_tokens_per_s = prefill_tokens_per_s
        self._source = source
        self._lock = threading.Lock()
        self._reports: dict[str, Report] = {}
        self._sent_s: dict[str, dict[str, float]] = defaultdict(dict)
        self._cost_s: dict[str, float] = {}
        self._chosen: OrderedDict[str, tuple[Chosen, ...]] = OrderedDict()

    def choose(
        self, wanted: PlacementRequest, members: Mapping[str, Member]
    ) -> Result[Member, Failure]:
        """Chooses the upstream process of least cost."""
        name = wanted.service.name
        candidates = [
            member
            for member in members.values()
            if member.service == name and member.host not in wanted.excluded_hosts
        ]
        now_s = time.monotonic()
        with self._lock:
            views = [self._view(wanted, member, now_s) for member in candidates]
            call = self._call(wanted)
            choice = choose_upstream(call, views, self._costs(wanted), now_s, self._source)
            if not choice.host:
                detail = f"no upstream of {name!r} takes the call"
                return Err(Failure(Code.NO_UPSTREAM, "choice.choose", "", detail, True, _RETRY_S))
            chosen = members[choice.host]
            self._sent_s[choice.host][wanted.program] = now_s
            if chosen.region != self._region:
                self._link.share.spend(call.link_bytes)
            self._keep(wanted.program, Chosen(time.time(), *choice))
        return Success(chosen)

    def done(self, host: str, wanted: PlacementRequest, ending: Ending) -> None:
        """Notes that an attempt has ended."""
        with self._lock:
            sent_s = self._sent_s[host].pop(wanted.program, None)
            if sent_s is None or ending.failure is not None:
                return
            name = wanted.service.name
            cost_s = self._cost_s.get(name, _FIRST_COST_S)
            self._cost_s[name] = cost_s + _EWMA_SHARE * (time.monotonic() - sent_s - cost_s)

    def reported(self, host: str, report: Report) -> None:
        """Takes a load report unless a later one is known."""
        with self._lock:
            if report.at_s >= self._reports.get(host, _NO_REPORT).at_s:
                self._reports[host] = report

    def explain(self, program: str) -> tuple[Chosen, ...]:
        """Returns the last choices for a program's calls, oldest first."""
        with self._lock:
            return self._chosen.get(program, ())

    def _view(self, wanted: PlacementRequest, member: Member, now_s: float) -> UpstreamState:
        report = self._reports.get(member.host, _NO_REPORT)
        slots = wanted.service.slots
        cost_s = self._cost_s.get(wanted.service.name, _FIRST_COST_S)
        sent = self._sent_s[member.host].values()
        unreported = sum(sent_s > report.at_s for sent_s in sent)
        return UpstreamState(
            host=member.host,
            region=member.region,
            wait_s=estimate_wait_s(report.queued * cost_s, report.running, slots, cost_s),
            reported_at_s=report.at_s,
            unreported_wait_s=unreported * cost_s / slots,
            running=max(report.running, len(sent)),
            draining=member.draining,
        )

    def _call(self, wanted: PlacementRequest) -> RoutingRequest:
        held = None
        if wanted.last_upstream and wanted.history_tokens:
            held = CachedPrefix(wanted.last_upstream, wanted.history_tokens)
        prompt_tokens = wanted.history_tokens + wanted.new_tokens
        answer_bytes = wanted.max_tokens * _STREAM_BYTES_PER_TOKEN
        across = prompt_tokens * _BYTES_PER_TOKEN + answer_bytes
        return RoutingRequest(self._region, prompt_tokens, across, held)

    def _costs(self, wanted: PlacementRequest) -> CostModel:
        return CostModel(
            wanted.service.weights,
            self._prefill_tokens_per_s,
            self._link.delay_s,
            self._link.share.left_bytes(),
            self._link.bytes_per_s,
        )

    def _keep(self, program: str, chosen: Chosen) -> None:
        earlier = self._chosen.pop(program, ())
        self._chosen[program] = (*earlier, chosen)[-_KEPT_CHOICES:]
        if len(self._chosen) > _KEPT_PROGRAMS:
            self._chosen.popitem(last=False)
