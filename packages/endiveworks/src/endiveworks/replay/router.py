"""An owner's choice of upstream in a replay."""

import random
from collections import deque
from functools import partial
from typing import NamedTuple

from ..routing import upstream_choice
from .clock import Clock
from .policy import Policy
from .replica import Replica, Report
from .trace import Header

LINK_SHARE = 0.5
LINK_BURST_S = 2.0


class Sent(NamedTuple):
    """A call sent to an upstream and the wait it adds there."""

    at_s: float
    wait_s: float


class Router:
    """State of one owner."""

    def __init__(
        self,
        region: str,
        header: Header,
        replicas: list[Replica],
        policy: Policy,
        clock: Clock,
        source: random.Random,
    ) -> None:
        self.region = region
        self.header = header
        self.replicas = replicas
        self.policy = policy
        self.clock = clock
        self.source = source
        self.sent: dict[str, deque[Sent]] = {replica.host: deque() for replica in replicas}
        self.reports = {replica.host: Report({}, 0.0) for replica in replicas}
        self.ages_s: list[float] = []
        self.turn = 0
        self.link_bytes = self._burst_bytes
        self.link_at_s = 0.0

    @property
    def _burst_bytes(self) -> float:
        return self.header.link_bytes_per_s * LINK_SHARE * LINK_BURST_S

    def start(self) -> None:
        """Starts asking for the load, spread over the period."""
        for at, replica in enumerate(self.replicas):
            delay_s = self.policy.report_s * at / len(self.replicas)
            self.clock.after(delay_s, partial(self._ask, replica))

    def learn(self, replica: Replica) -> None:
        """Takes the load of an upstream."""
        if replica.alive:
            self.reports[replica.host] = replica.make_report()

    def _ask(self, replica: Replica) -> None:
        if replica.alive:
            self.learn(replica)
            self.clock.after(self.policy.report_s, partial(self._ask, replica))

    def pick(self, call: upstream_choice.RoutingRequest, priority: int) -> Replica | None:
        """Returns the upstream for a call; None when every one has vanished."""
        alive = [replica for replica in self.replicas if replica.alive]
        if not alive:
            return None
        if self.policy.routing == "cost":
            return self._cheapest(call, priority, alive)
        if self.policy.routing == "sticky" and call.cached_prefix is not None:
            for replica in alive:
                if replica.host == call.cached_prefix.host:
                    return replica
        self.turn += 1
        return alive[self.turn % len(alive)]

    def _cheapest(
        self, call: upstream_choice.RoutingRequest, priority: int, alive: list[Replica]
    ) -> Replica | None:
        costs = upstream_choice.CostModel(
            self.header.weights,
            self.header.rates.prefill_tokens_per_s,
            self.header.link_delay_s,
            self._link_bytes_left(),
            self.header.link_bytes_per_s,
        )
        views = [self._view(replica, priority) for replica in alive]
        choice = upstream_choice.choose_upstream(call, views, costs, self.clock.now_s, self.source)
        for replica in alive:
            if replica.host == choice.host:
                self.ages_s.append(self.clock.now_s - self.reports[replica.host].at_s)
                self._count(replica, call)
                return replica
        return None

    def _view(self, replica: Replica, priority: int) -> upstream_choice.UpstreamState:
        report = self.reports[replica.host]
        unreported_s = 0.0
        if self.policy.own_sends:
            sent = self.sent[replica.host]
            while sent and sent[0].at_s < report.at_s:
                sent.popleft()
            unreported_s = sum(send.wait_s for send in sent)
        return upstream_choice.UpstreamState(
            replica.host,
            replica.region,
            report.waits_s.get(priority, 0.0),
            report.at_s,
            unreported_s,
            report.running,
        )

    def _count(self, replica: Replica, call: upstream_choice.RoutingRequest) -> None:
        wait_s = replica.cost_s / replica.usual_calls()
        self.sent[replica.host].append(Sent(self.clock.now_s, wait_s))
        if replica.region != self.region:
            self.link_bytes -= call.link_bytes

    def _link_bytes_left(self) -> float:
        gained = (self.clock.now_s - self.link_at_s) * self.header.link_bytes_per_s * LINK_SHARE
        self.link_bytes = min(self._burst_bytes, self.link_bytes + gained)
        self.link_at_s = self.clock.now_s
        return self.link_bytes
