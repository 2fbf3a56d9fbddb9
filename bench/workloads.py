"""Workloads of both deployments, generated from a seed, with what they assume."""

import math
import random
from collections.abc import Callable, Iterator
from typing import NamedTuple

from endiveworks.config.bundle import CostWeights
from endiveworks.replay.engine import Rates
from endiveworks.replay.trace import Call, Header, ReplicaLocation, Trace, UpstreamLoss

LOADS = (0.5, 0.8, 1.0, 1.3)
LOSS_LOAD = 0.8
HUNG_TOOL_S = 300.0
LOOP_CALLS = 60
LOOP_SHARE = 0.005
HUNG_SHARE = 0.003
SUB_AGENT_SHARE = 0.1
SYSTEM_PROMPT_TOKENS = 900
CONTEXT_TOKENS = 32_000
FLOOD_SHARE = 0.6

# An 8B model on one 24 GB accelerator of 300 GB/s and 121 TFLOP/s: 16 GB of weights read a step,
# 131,072 bytes of KV a token, 5.6 GB left for KV, prefill at 40% of peak.
RATES = Rates(
    step_s=0.053,
    step_per_sequence_s=0.0003,
    step_per_context_token_s=4.4e-7,
    prefill_tokens_per_s=3_000.0,
    prefill_chunk_tokens=512,
    memory_tokens=43_000,
    bytes_per_token=131_072,
    max_sequences=64,
)

ASSUMED = (
    "Poisson arrivals; numbers of calls normal for short programs and geometric for long ones; "
    "pauses of tools log-normal with the named medians and Pareto tails; 10% of long programs "
    "start 1 to 3 sub-agents; programs end at 32,000 tokens of context; "
    "0.3% of pauses hang for 300 s; 0.5% of programs loop for 60 calls; "
    "rates of an 8B model on a 24 GB accelerator; load is relative to the highest rate of "
    "arrivals at which the full policy refuses at most about 2% of the programs for good."
)


class Tool(NamedTuple):
    """A tool and the pause it causes, in seconds."""

    name: str
    median_s: float
    sigma: float


class Kind(NamedTuple):
    """A kind of program.

    Attributes:
        class_name: Class of its programs.
        share: Share of arrivals.
        calls: Mean number of calls.
        new_tokens: Median of new prompt tokens a call.
        output_tokens: Median of generated tokens a call.
        tools: Tools whose pauses separate the calls.
        sub_agents: Whether it starts sub-agents.
    """

    class_name: str
    share: float
    calls: float
    new_tokens: int
    output_tokens: int
    tools: tuple[Tool, ...]
    sub_agents: bool


class Deployment(NamedTuple):
    """A deployment and its programs.

    Attributes:
        name: Name of its traces.
        places: Upstreams with their regions.
        kinds: Kinds of programs.
        classes: Priority of each class.
        tenants: Weight of each tenant; arrivals are spread evenly.
        regions: Share of arrivals in each region.
        weights: Cost weights of the service.
        deadline_s: Longest wait that a call bears.
        capacity: Programs a second at a load of 1.
        flooding: Tenant that sends more than half of the programs; empty for none.
    """

    name: str
    places: tuple[ReplicaLocation, ...]
    kinds: tuple[Kind, ...]
    classes: dict[str, int]
    tenants: dict[str, float]
    regions: dict[str, float]
    weights: CostWeights
    deadline_s: float
    capacity: float
    flooding: str = ""


def _places(**regions: int) -> tuple[ReplicaLocation, ...]:
    names = [(region, at) for region, count in regions.items() for at in range(count)]
    return tuple(
        ReplicaLocation(f"{region.replace('_', '-')}-{at}", region) for region, at in names
    )


THISTLE = Deployment(
    name="thistle",
    places=_places(scot_east=5, scot_west=2),
    kinds=(
        Kind(
            "quote", 0.8, 5, 120, 70, (Tool("catalogue", 0.8, 0.8), Tool("price", 0.4, 0.5)), False
        ),
        Kind(
            "layout", 0.2, 12, 350, 220, (Tool("render_proof", 6.0, 1.2), Tool("", 25.0, 1.0)), True
        ),
    ),
    classes={"quote": 0, "layout": 1},
    tenants={"aberdeen": 1.0, "dundee": 1.0, "glasgow": 2.0, "perth": 1.0},
    regions={"scot_east": 0.7, "scot_west": 0.3},
    weights=CostWeights(1.0, 0.2),
    deadline_s=60.0,
    capacity=1.8,
)

AUTHORITY = Deployment(
    name="authority",
    places=_places(addis=3, bahirdar=2),
    kinds=(
        Kind(
            "certification",
            0.2,
            9,
            250,
            160,
            (Tool("registry", 2.0, 1.0), Tool("lab", 8.0, 1.2)),
            True,
        ),
        Kind("lookup", 0.65, 4, 150, 60, (Tool("lineage", 1.0, 0.8),), False),
        Kind(
            "lookup", 0.15, 14, 400, 180, (Tool("lot_audit", 5.0, 1.4), Tool("", 20.0, 1.0)), True
        ),
    ),
    classes={"certification": 0, "lookup": 1},
    tenants={"exporters": 2.0, "ginneries": 2.0, "inspectors": 1.0},
    regions={"addis": 0.65, "bahirdar": 0.35},
    weights=CostWeights(1.0, 1.5),
    deadline_s=60.0,
    capacity=0.75,
)

DEPLOYMENTS = (THISTLE, AUTHORITY)


def generate(deployment: Deployment, load: float, seed: int, duration_s: float) -> Trace:
    """Makes a trace at a share of the deployment's capacity."""
    source = random.Random(f"{deployment.name}/{seed}")
    calls: list[Call] = []
    rate = deployment.capacity * load
    at_s = 0.0
    number = 0
    while (at_s := at_s + source.expovariate(rate)) < duration_s:
        calls += _program(deployment, source, f"p{number}", at_s)
        number += 1
    header = Header(
        deployment.name,
        ASSUMED,
        seed,
        load,
        deployment.places,
        RATES,
        deployment.tenants,
        deployment.classes,
        deployment.weights,
        deployment.deadline_s,
        link_bytes_per_s=15e6 / 8,
        link_delay_s=0.02,
        outcomes={},
    )
    return Trace(header, tuple(calls), ())


def with_loss(trace: Trace, duration_s: float) -> Trace:
    """Loses the first upstream half way."""
    return trace._replace(losses=(UpstreamLoss(trace.header.replicas[0].host, duration_s / 2),))


def _program(
    deployment: Deployment, source: random.Random, name: str, at_s: float
) -> Iterator[Call]:
    kind = source.choices(deployment.kinds, [kind.share for kind in deployment.kinds])[0]
    tenant = source.choice(sorted(deployment.tenants))
    if deployment.flooding and source.random() < FLOOD_SHARE:
        tenant = deployment.flooding
    regions = sorted(deployment.regions)
    region = source.choices(regions, [deployment.regions[name] for name in regions])[0]
    count = _count(source, kind)
    make = _caller(source, kind, tenant, region)
    yield from _within_context(
        make(name, at, at_s if at == 0 else 0.0, "", 0) for at in range(count)
    )
    if kind.sub_agents and count > 2 and source.random() < SUB_AGENT_SHARE:
        after = source.randrange(count - 1)
        for child in range(source.randint(1, 3)):
            length = 1 + _count(source, kind) // 3
            title = f"{name}.{child}"
            yield from _within_context(make(title, at, 0.0, name, after) for at in range(length))


def _within_context(calls: Iterator[Call]) -> Iterator[Call]:
    tokens = 0
    for call in calls:
        tokens += call.new_tokens + call.output_tokens
        if tokens > CONTEXT_TOKENS:
            return
        yield call


def _count(source: random.Random, kind: Kind) -> int:
    if source.random() < LOOP_SHARE:
        return LOOP_CALLS
    if not kind.sub_agents:
        return max(2, round(source.gauss(kind.calls, kind.calls / 4)))
    return 2 + min(LOOP_CALLS, int(source.expovariate(1 / (kind.calls - 1.5))))


def _caller(
    source: random.Random, kind: Kind, tenant: str, region: str
) -> Callable[[str, int, float, str, int], Call]:
    def make(program: str, number: int, at_s: float, parent: str, parent_call: int) -> Call:
        tool = source.choice(kind.tools)
        first = number == 0
        return Call(
            program,
            number,
            round(at_s, 3),
            0.0 if first else round(_pause_s(source, tool), 3),
            "" if first else tool.name,
            _tokens(source, kind.new_tokens) + (SYSTEM_PROMPT_TOKENS if first else 0),
            _tokens(source, kind.output_tokens),
            tenant,
            kind.class_name,
            region,
            parent,
            parent_call,
        )

    return make


def _pause_s(source: random.Random, tool: Tool) -> float:
    if source.random() < HUNG_SHARE:
        return HUNG_TOOL_S
    if source.random() < 0.05:
        return min(HUNG_TOOL_S, tool.median_s * 3 * source.paretovariate(1.2))
    return source.lognormvariate(math.log(tool.median_s), tool.sigma)


def _tokens(source: random.Random, median: int) -> int:
    return max(8, min(8 * median, int(source.lognormvariate(math.log(median), 0.6))))
