"""Simulated routing: the choice of upstream by an owner of programs."""

import random
from collections import deque
from functools import partial
from typing import NamedTuple

from ..routing import upstream_choice
from .clock import Clock
from .policy import Policy
from .replica import LoadReport, Replica
from .trace import Header

LINK_SHARE = 0.5
LINK_BURST_S = 2.0


class SentCall(NamedTuple):
    """A call sent to an upstream, and the wait that it adds there."""

    at_s: float
    wait_s: float


class Router:
    """Routing state of one owner of programs."""

    def __init__(
        self,
        region: str,
        header: Header,
        replicas: list[Replica],
        policy: Policy,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.region = region
        self.header = header
        self.replicas = replicas
        self.policy = policy
        self.clock = clock
        self.rng = rng
        self.sent: dict[str, deque[SentCall]] = {replica.host: deque() for replica in replicas}
        self.reports = {replica.host: LoadReport({}, 0.0) for replica in replicas}
        self.report_ages_s: list[float] = []
        self.round_robin_index = 0
        self.link_bytes = self._burst_bytes
        self.link_refilled_at_s = 0.0

    @property
    def _burst_bytes(self) -> float:
        return self.header.link_bytes_per_s * LINK_SHARE * LINK_BURST_S

    def start(self) -> None:
        """Starts polling the upstreams, staggered over the polling interval."""
        for index, replica in enumerate(self.replicas):
            delay_s = self.policy.report_s * index / len(self.replicas)
            self.clock.call_later(delay_s, partial(self._poll, replica))

    def update_report(self, replica: Replica) -> None:
        """Updates the load report of an upstream, unless it has failed."""
        if replica.alive:
            self.reports[replica.host] = replica.report_load()

    def _poll(self, replica: Replica) -> None:
        if replica.alive:
            self.update_report(replica)
            self.clock.call_later(self.policy.report_s, partial(self._poll, replica))

    def choose_replica(self, call: upstream_choice.RoutingRequest, priority: int) -> Replica | None:
        """Returns the upstream for a call, or None if all have failed."""
        alive = [replica for replica in self.replicas if replica.alive]
        if not alive:
            return None
        if self.policy.routing == "cost":
            return self._choose_cheapest(call, priority, alive)
        if self.policy.routing == "sticky" and call.cached_prefix is not None:
            for replica in alive:
                if replica.host == call.cached_prefix.host:
                    return replica
        self.round_robin_index += 1
        return alive[self.round_robin_index % len(alive)]

    def _choose_cheapest(
        self, call: upstream_choice.RoutingRequest, priority: int, alive: list[Replica]
    ) -> Replica | None:
        costs = upstream_choice.CostModel(
            self.header.weights,
            self.header.rates.prefill_tokens_per_s,
            self.header.link_delay_s,
            self._available_link_bytes(),
            self.header.link_bytes_per_s,
        )
        states = [self._upstream_state(replica, priority) for replica in alive]
        choice = upstream_choice.choose_upstream(call, states, costs, self.clock.now_s, self.rng)
        for replica in alive:
            if replica.host == choice.host:
                self.report_ages_s.append(self.clock.now_s - self.reports[replica.host].at_s)
                self._record_send(replica, call)
                return replica
        return None

    def _upstream_state(self, replica: Replica, priority: int) -> upstream_choice.UpstreamState:
        report = self.reports[replica.host]
        unreported_s = 0.0
        if self.policy.own_sends:
            sent = self.sent[replica.host]
            while sent and sent[0].at_s < report.at_s:
                sent.popleft()
            unreported_s = sum(sent_call.wait_s for sent_call in sent)
        return upstream_choice.UpstreamState(
            replica.host,
            replica.region,
            report.waits_s.get(priority, 0.0),
            report.at_s,
            unreported_s,
            report.running,
        )

    def _record_send(self, replica: Replica, call: upstream_choice.RoutingRequest) -> None:
        wait_s = replica.cost_s / replica.expected_concurrency()
        self.sent[replica.host].append(SentCall(self.clock.now_s, wait_s))
        if replica.region != self.region:
            self.link_bytes -= call.link_bytes

    def _available_link_bytes(self) -> float:
        gained = (
            (self.clock.now_s - self.link_refilled_at_s) * self.header.link_bytes_per_s * LINK_SHARE
        )
        self.link_bytes = min(self._burst_bytes, self.link_bytes + gained)
        self.link_refilled_at_s = self.clock.now_s
        return self.link_bytes
