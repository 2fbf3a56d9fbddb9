"""Replay of a trace under a policy, as a discrete-event simulation of programs and upstreams."""

import random
import zlib
from functools import partial

from ..admission.queue import QueuedCall
from ..cache import pauses
from ..routing import upstream_choice
from .clock import Clock
from .engine import Boundary, Sequence
from .job import Job
from .measures import CallSeen, Measures, ProgramSeen, measure
from .policy import Policy
from .replica import Replica
from .router import Router
from .trace import Call, Trace, programs, weight_of

LOCAL_DELAY_S = 0.0005
BYTES_PER_TOKEN = 4
STREAM_BYTES_PER_TOKEN = 100
MAX_REFUSALS = 5
FIRST_OUTPUT_TOKENS = 100.0
OUTPUT_EWMA_SHARE = 0.02
MAX_SIMULATED_S = 50_000.0


class _Program:
    """A program under way."""

    def __init__(self, calls: list[Call]) -> None:
        self.calls = calls
        self.next = 0
        self.arrived_s = 0.0
        self.history_tokens = 0
        self.attained_tokens = 0
        self.held: upstream_choice.CachedPrefix | None = None
        self.host = ""
        self.refusals = 0
        self.children = 0
        self.ready = False


class _Run:
    """State of one replay."""

    def __init__(self, trace: Trace, policy: Policy, seed: int) -> None:
        self.trace = trace
        self.policy = policy
        self.clock = Clock()
        self.source = random.Random(seed)
        header = trace.header
        self.replicas = [
            Replica(
                place.host,
                place.region,
                header.rates,
                policy,
                self.clock,
                self.source.random,
                tuple(sorted(set(header.classes.values()))) if policy.classes else (0,),
            )
            for place in header.replicas
        ]
        regions = sorted({call.region for call in trace.calls})
        self.routers = {
            region: [
                Router(region, header, self.replicas, policy, self.clock, self.source)
                for _ in range(policy.owners)
            ]
            for region in regions
        }
        self.programs = {name: _Program(calls) for name, calls in programs(trace.calls).items()}
        self.children: dict[tuple[str, int], list[str]] = {}
        self.pauses: dict[str, pauses.PauseHistogram] = {}
        self.output_tokens = FIRST_OUTPUT_TOKENS
        self.calls_seen: list[CallSeen] = []
        self.programs_seen: list[ProgramSeen] = []

    def start(self) -> None:
        """Schedules the arrivals, the losses and the load reports."""
        for name, program in self.programs.items():
            first = program.calls[0]
            if first.parent:
                self.children.setdefault((first.parent, first.parent_call), []).append(name)
            else:
                self.clock.after(first.at_s, partial(self.arrive, program))
        by_host = {replica.host: replica for replica in self.replicas}
        for loss in self.trace.losses:
            self.clock.after(loss.at_s, by_host[loss.lost].vanish)
        for replica in self.replicas:
            replica.each_second()
        for routers in self.routers.values():
            for router in routers:
                router.start()

    def arrive(self, program: _Program) -> None:
        """Begins a program."""
        program.arrived_s = self.clock.now_s
        self.call(program)

    def call(self, program: _Program) -> None:
        """Sends the program's next call to an upstream."""
        call = program.calls[program.next]
        self.send(program, call, self.clock.now_s)

    def send(self, program: _Program, call: Call, issued_s: float) -> None:
        """Routes a call and hands it over after the delay of the way."""
        prompt_tokens = program.history_tokens + call.new_tokens
        across = prompt_tokens * BYTES_PER_TOKEN + call.output_tokens * STREAM_BYTES_PER_TOKEN
        seen = upstream_choice.RoutingRequest(call.region, prompt_tokens, across, program.held)
        priority = self.trace.header.classes[call.class_name] if self.policy.classes else 0
        routers = self.routers[call.region]
        router = routers[zlib.crc32(call.program.encode()) % len(routers)]
        replica = router.pick(seen, priority)
        if replica is None:
            self.end(program, "no_upstream")
            return
        self.leave(program, call, replica)
        crosses = replica.region != call.region
        delay_s = self.trace.header.link_delay_s if crosses else LOCAL_DELAY_S
        job = self.job(program, call, replica, issued_s, across if crosses else 0)
        self.clock.after(delay_s, partial(replica.submit, job))
        if self.policy.replies:
            self.clock.after(2 * delay_s, partial(router.learn, replica))

    def leave(self, program: _Program, call: Call, chosen: Replica) -> None:
        """Releases the prefix that a program leaves behind at another upstream."""
        for replica in self.replicas:
            if replica.host == program.host and replica is not chosen:
                replica.finish_program(call.program)

    def job(
        self, program: _Program, call: Call, replica: Replica, issued_s: float, across: int
    ) -> Job:
        """Describes a call to an upstream."""
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
        held = program.held
        held_here = held.tokens if held is not None and held.host == replica.host else 0
        computed_s = (prompt_tokens - held_here) / header.rates.prefill_tokens_per_s
        waiting = QueuedCall(
            seq.request,
            call.tenant if self.policy.shares else "",
            weight_of(header, call.tenant) if self.policy.shares else 1.0,
            header.classes[call.class_name] if self.policy.classes else 0,
            program.attained_tokens if self.policy.order else 0,
            replica.cost_s + computed_s,
            self.clock.now_s,
            prompt_tokens + round(self.output_tokens),
        )
        return Job(
            waiting,
            seq,
            header.deadline_s,
            partial(self.done, program, call, replica, issued_s, across),
            partial(self.refused, program, call, issued_s),
            partial(self.lost, program, call, replica, issued_s),
            first=call.call == 0 and not call.parent,
        )

    def done(
        self,
        program: _Program,
        call: Call,
        replica: Replica,
        issued_s: float,
        across: int,
        seq: Sequence,
    ) -> None:
        """Takes the end of a call and prepares the next."""
        wasted = max(0, program.history_tokens - seq.cached_tokens)
        seen = CallSeen(call, replica.host, issued_s, self.clock.now_s, wasted, across)
        self.calls_seen.append(seen)
        self.output_tokens += OUTPUT_EWMA_SHARE * (call.output_tokens - self.output_tokens)
        program.history_tokens += call.new_tokens + call.output_tokens
        program.attained_tokens += call.new_tokens + wasted + call.output_tokens
        program.held = upstream_choice.CachedPrefix(replica.host, program.history_tokens)
        program.host = replica.host
        program.next += 1
        self.spawn(program, call)
        if program.next == len(program.calls):
            self.end(program, "done")
            return
        following = program.calls[program.next]
        seen_pauses = self.pauses.get(following.tool, pauses.PauseHistogram())
        replica.prefixes.pause(call.program, seen_pauses)
        program.ready = False
        self.clock.after(following.pause_s, partial(self.returned, program, following))

    def spawn(self, program: _Program, call: Call) -> None:
        """Starts the sub-agents that wait for the end of a call."""
        for name in self.children.get((call.program, call.call), ()):
            child = self.programs[name]
            program.children += 1
            self.clock.after(child.calls[0].pause_s, partial(self.arrive, child))

    def returned(self, program: _Program, call: Call) -> None:
        """Ends a pause; the next call also waits for the sub-agents."""
        self.pauses[call.tool] = pauses.add_pause(
            self.pauses.get(call.tool, pauses.PauseHistogram()), call.pause_s
        )
        program.ready = True
        self.proceed(program)

    def proceed(self, program: _Program) -> None:
        """Sends the next call once the pause and the sub-agents are over."""
        if program.ready and program.children == 0 and program.next < len(program.calls):
            program.ready = False
            self.call(program)

    def refused(self, program: _Program, call: Call, issued_s: float, retry_after_s: float) -> None:
        """Asks again after the time that the refusal named, a few times."""
        program.refusals += 1
        if program.refusals > MAX_REFUSALS:
            self.end(program, "refused")
            return
        self.clock.after(retry_after_s, partial(self.send, program, call, issued_s))

    def lost(self, program: _Program, call: Call, replica: Replica, issued_s: float) -> None:
        """Sends a call again whose upstream has vanished."""
        if program.held is not None and program.held.host == replica.host:
            program.held = None
        self.clock.after(LOCAL_DELAY_S, partial(self.send, program, call, issued_s))

    def end(self, program: _Program, ending: str) -> None:
        """Ends a program and lets its parent go on."""
        first = program.calls[0]
        self.programs_seen.append(
            ProgramSeen(first, program.arrived_s, self.clock.now_s, ending, program.refusals)
        )
        for replica in self.replicas:
            if replica.host == program.host:
                replica.finish_program(first.program)
        if first.parent:
            parent = self.programs[first.parent]
            parent.children -= 1
            self.proceed(parent)


def replay(trace: Trace, policy: Policy, seed: int = 0) -> Measures:
    """Replays a trace under a policy and returns the measures."""
    run = _Run(trace, policy, seed)
    run.start()
    last_s = max((call.at_s for call in trace.calls), default=0.0)
    run.clock.run(last_s + MAX_SIMULATED_S, lambda: len(run.programs_seen) == len(run.programs))
    preempted = sum(replica.preempted for replica in run.replicas)
    moved = sum(replica.prefixes.moved_tokens for replica in run.replicas)
    ages_s = [age for found in run.routers.values() for one in found for age in one.ages_s]
    measures = measure(trace, policy.name, run.calls_seen, run.programs_seen, preempted, moved)
    return measures._replace(report_age_s=sum(ages_s) / max(1, len(ages_s)))
