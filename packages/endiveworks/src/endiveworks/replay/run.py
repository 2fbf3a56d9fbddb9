"""Replays a trace under a policy, as a discrete-event simulation of programs and upstreams."""

import random
import zlib
from functools import partial

from ..admission.queue import QueuedCall
from ..cache import pauses
from ..routing import upstream_choice
from .clock import Clock
from .engine import Boundary, Sequence
from .job import Job
from .measures import CompletedCall, FinishedProgram, Measures, compute_measures
from .policy import Policy
from .replica import Replica
from .router import Router
from .trace import Call, Trace, group_by_program, tenant_weight

LOCAL_DELAY_S = 0.0005
BYTES_PER_TOKEN = 4
STREAM_BYTES_PER_TOKEN = 100
MAX_REFUSALS = 5
INITIAL_OUTPUT_TOKENS = 100.0
OUTPUT_EWMA_WEIGHT = 0.02
MAX_SIMULATED_S = 50_000.0


class _ProgramState:
    """State of a program; `calls` are all its calls and `next_call` indexes the one to send."""

    def __init__(self, calls: list[Call]) -> None:
        self.calls = calls
        self.next_call = 0
        self.arrived_s = 0.0
        self.history_tokens = 0
        self.attained_tokens = 0
        self.cached_prefix: upstream_choice.CachedPrefix | None = None
        self.host = ""
        self.refusals = 0
        self.running_children = 0
        self.pause_over = False


class _Simulation:
    """State of one replay."""

    def __init__(self, trace: Trace, policy: Policy, seed: int) -> None:
        self.trace = trace
        self.policy = policy
        self.clock = Clock()
        self.rng = random.Random(seed)
        header = trace.header
        self.replicas = [
            Replica(
                location.host,
                location.region,
                header.rates,
                policy,
                self.clock,
                self.rng.random,
                tuple(sorted(set(header.classes.values()))) if policy.classes else (0,),
            )
            for location in header.replicas
        ]
        regions = sorted({call.region for call in trace.calls})
        self.routers = {
            region: [
                Router(region, header, self.replicas, policy, self.clock, self.rng)
                for _ in range(policy.owners)
            ]
            for region in regions
        }
        self.programs = {
            name: _ProgramState(calls) for name, calls in group_by_program(trace.calls).items()
        }
        self.children: dict[tuple[str, int], list[str]] = {}
        self.pauses: dict[str, pauses.PauseHistogram] = {}
        self.output_tokens = INITIAL_OUTPUT_TOKENS
        self.completed_calls: list[CompletedCall] = []
        self.finished_programs: list[FinishedProgram] = []

    def start(self) -> None:
        """Schedules program arrivals, upstream losses, queue expiry and load polling."""
        for name, program in self.programs.items():
            first = program.calls[0]
            if first.parent:
                self.children.setdefault((first.parent, first.parent_call), []).append(name)
            else:
                self.clock.call_later(first.at_s, partial(self.start_program, program))
        by_host = {replica.host: replica for replica in self.replicas}
        for loss in self.trace.losses:
            self.clock.call_later(loss.at_s, by_host[loss.lost].fail)
        for replica in self.replicas:
            replica.expire_periodically()
        for routers in self.routers.values():
            for router in routers:
                router.start()

    def start_program(self, program: _ProgramState) -> None:
        """Starts a program."""
        program.arrived_s = self.clock.now_s
        self.send_next_call(program)

    def send_next_call(self, program: _ProgramState) -> None:
        """Sends the program's next call to an upstream."""
        call = program.calls[program.next_call]
        self.send_call(program, call, self.clock.now_s)

    def send_call(self, program: _ProgramState, call: Call, issued_s: float) -> None:
        """Routes a call and submits it after the network delay."""
        prompt_tokens = program.history_tokens + call.new_tokens
        link_bytes = prompt_tokens * BYTES_PER_TOKEN + call.output_tokens * STREAM_BYTES_PER_TOKEN
        request = upstream_choice.RoutingRequest(
            call.region, prompt_tokens, link_bytes, program.cached_prefix
        )
        priority = self.trace.header.classes[call.class_name] if self.policy.classes else 0
        routers = self.routers[call.region]
        router = routers[zlib.crc32(call.program.encode()) % len(routers)]
        replica = router.choose_replica(request, priority)
        if replica is None:
            self.end_program(program, "no_upstream")
            return
        self.release_previous_prefix(program, call, replica)
        crosses = replica.region != call.region
        delay_s = self.trace.header.link_delay_s if crosses else LOCAL_DELAY_S
        job = self.make_job(program, call, replica, issued_s, link_bytes if crosses else 0)
        self.clock.call_later(delay_s, partial(replica.submit, job))
        if self.policy.replies:
            self.clock.call_later(2 * delay_s, partial(router.update_report, replica))

    def release_previous_prefix(self, program: _ProgramState, call: Call, chosen: Replica) -> None:
        """Releases the program's prefix at its previous upstream if it moves to another."""
        for replica in self.replicas:
            if replica.host == program.host and replica is not chosen:
                replica.finish_program(call.program)

    def make_job(
        self, program: _ProgramState, call: Call, replica: Replica, issued_s: float, link_bytes: int
    ) -> Job:
        """Builds the job that submits a call to an upstream."""
        header = self.trace.header
        history = program.history_tokens
        prompt_tokens = history + call.new_tokens
        seq = Sequence(
            f"{call.program}/{call.call}",
            call.program,
            (Boundary(f"{call.call}:{0}", history),) if history else (),
            prompt_tokens,
            call.output_tokens,
            lambda n: f"{call.call + 1}:0" if n >= call.output_tokens else f"{call.call}+{n}",
        )
        cached = program.cached_prefix
        cached_tokens = cached.tokens if cached is not None and cached.host == replica.host else 0
        computed_s = (prompt_tokens - cached_tokens) / header.rates.prefill_tokens_per_s
        queued_call = QueuedCall(
            seq.request,
            call.tenant if self.policy.shares else "",
            tenant_weight(header, call.tenant) if self.policy.shares else 1.0,
            header.classes[call.class_name] if self.policy.classes else 0,
            program.attained_tokens if self.policy.order else 0,
            replica.cost_s + computed_s,
            self.clock.now_s,
            prompt_tokens + round(self.output_tokens),
        )
        return Job(
            queued_call,
            seq,
            header.deadline_s,
            partial(self.on_call_done, program, call, replica, issued_s, link_bytes),
            partial(self.on_refused, program, call, issued_s),
            partial(self.on_lost, program, call, replica, issued_s),
            first_call=call.call == 0 and not call.parent,
        )

    def on_call_done(
        self,
        program: _ProgramState,
        call: Call,
        replica: Replica,
        issued_s: float,
        link_bytes: int,
        seq: Sequence,
    ) -> None:
        """Records a completed call, and ends the program or schedules its next call."""
        wasted = max(0, program.history_tokens - seq.cached_tokens)
        completed = CompletedCall(
            call, replica.host, issued_s, self.clock.now_s, wasted, link_bytes
        )
        self.completed_calls.append(completed)
        self.output_tokens += OUTPUT_EWMA_WEIGHT * (call.output_tokens - self.output_tokens)
        program.history_tokens += call.new_tokens + call.output_tokens
        program.attained_tokens += call.new_tokens + wasted + call.output_tokens
        program.cached_prefix = upstream_choice.CachedPrefix(replica.host, program.history_tokens)
        program.host = replica.host
        program.next_call += 1
        self.start_sub_agents(program, call)
        if program.next_call == len(program.calls):
            self.end_program(program, "done")
            return
        following = program.calls[program.next_call]
        pause_histogram = self.pauses.get(following.tool, pauses.PauseHistogram())
        replica.prefixes.pause(call.program, pause_histogram)
        program.pause_over = False
        self.clock.call_later(following.pause_s, partial(self.on_pause_over, program, following))

    def start_sub_agents(self, program: _ProgramState, call: Call) -> None:
        """Starts the sub-agents that wait for the end of a call."""
        for name in self.children.get((call.program, call.call), ()):
            child = self.programs[name]
            program.running_children += 1
            self.clock.call_later(child.calls[0].pause_s, partial(self.start_program, child))

    def on_pause_over(self, program: _ProgramState, call: Call) -> None:
        """Records the end of a pause; the next call also waits for running sub-agents."""
        self.pauses[call.tool] = pauses.add_pause(
            self.pauses.get(call.tool, pauses.PauseHistogram()), call.pause_s
        )
        program.pause_over = True
        self.send_if_ready(program)

    def send_if_ready(self, program: _ProgramState) -> None:
        """Sends the next call if the pause is over and no sub-agent is running."""
        if (
            program.pause_over
            and program.running_children == 0
            and program.next_call < len(program.calls)
        ):
            program.pause_over = False
            self.send_next_call(program)

    def on_refused(
        self, program: _ProgramState, call: Call, issued_s: float, retry_after_s: float
    ) -> None:
        """Retries a refused call after retry_after_s; ends the program after MAX_REFUSALS."""
        program.refusals += 1
        if program.refusals > MAX_REFUSALS:
            self.end_program(program, "refused")
            return
        self.clock.call_later(retry_after_s, partial(self.send_call, program, call, issued_s))

    def on_lost(
        self, program: _ProgramState, call: Call, replica: Replica, issued_s: float
    ) -> None:
        """Resends a call whose upstream has failed."""
        if program.cached_prefix is not None and program.cached_prefix.host == replica.host:
            program.cached_prefix = None
        self.clock.call_later(LOCAL_DELAY_S, partial(self.send_call, program, call, issued_s))

    def end_program(self, program: _ProgramState, status: str) -> None:
        """Ends a program, and sends its parent's next call if that is ready."""
        first = program.calls[0]
        self.finished_programs.append(
            FinishedProgram(first, program.arrived_s, self.clock.now_s, status, program.refusals)
        )
        for replica in self.replicas:
            if replica.host == program.host:
                replica.finish_program(first.program)
        if first.parent:
            parent = self.programs[first.parent]
            parent.running_children -= 1
            self.send_if_ready(parent)


def replay(trace: Trace, policy: Policy, seed: int = 0) -> Measures:
    """Replays a trace under a policy and returns the measures."""
    run = _Simulation(trace, policy, seed)
    run.start()
    last_s = max((call.at_s for call in trace.calls), default=0.0)
    run.clock.run(last_s + MAX_SIMULATED_S, lambda: len(run.finished_programs) == len(run.programs))
    preempted = sum(replica.preempted for replica in run.replicas)
    moved = sum(replica.prefixes.moved_tokens for replica in run.replicas)
    ages_s = [
        age
        for routers in run.routers.values()
        for router in routers
        for age in router.report_ages_s
    ]
    measures = compute_measures(
        trace, policy.name, run.completed_calls, run.finished_programs, preempted, moved
    )
    return measures._replace(report_age_s=sum(ages_s) / max(1, len(ages_s)))
