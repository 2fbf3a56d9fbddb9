import pytest
from endiveworks.replay.engine import Boundary, Engine, Rates, Sequence
from endiveworks.replay.measures import check
from endiveworks.replay.policy import BASELINES, FEATURES, FULL, Policy, without_feature
from endiveworks.replay.run import replay
from endiveworks.replay.trace import Trace, UpstreamLoss

from .test_trace import HEADER, call

PROGRAMS = tuple(
    call(
        f"p{at}",
        number,
        at_s=at * 0.05 if number == 0 else 0.0,
        pause_s=1.0,
        tool="lookup",
        output_tokens=150 if at % 3 else 30,
        class_name="back" if at % 3 else "front",
    )
    for at in range(60)
    for number in range(4)
)
TRACE = Trace(HEADER, PROGRAMS, ())


class TestEngine:
    def test_prefix_of_the_same_salt_is_computed_once(self) -> None:
        engine = Engine(Rates())
        engine.submit(Sequence("r1", "p", (), 100, 5, lambda n: f"end{n}"))
        while engine.busy:
            engine.step()
        again = Sequence("r2", "p", (Boundary("end5", 105),), 150, 5, str)
        other = Sequence("r3", "q", (Boundary("end5", 105),), 150, 5, str)
        engine.submit(again)
        engine.submit(other)
        while engine.busy:
            engine.step()
        assert (again.cached_tokens, other.cached_tokens) == (105, 0)

    def test_memory_capacity_is_never_exceeded(self) -> None:
        engine = Engine(Rates(memory_tokens=1_000))
        for at in range(20):
            engine.submit(Sequence(f"r{at}", f"p{at}", (), 200, 50, str))
        while engine.busy:
            engine.step(1.0)
            assert engine.running_tokens + engine.cached_tokens <= 1_000
        assert len(engine.cache) == 4

    def test_request_larger_than_memory_is_refused(self) -> None:
        engine = Engine(Rates(memory_tokens=1_000))
        with pytest.raises(ValueError, match="1001 tokens"):
            engine.submit(Sequence("r", "p", (), 1_000, 1, str))


class TestReplay:
    @pytest.mark.parametrize("policy", [FULL, *BASELINES, *map(without_feature, FEATURES)])
    def test_every_program_ends(self, policy: Policy) -> None:
        measures = replay(TRACE, policy)
        assert measures.programs == 60
        assert measures.done_share == 1.0

    def test_same_seed_gives_the_same_measures(self) -> None:
        assert replay(TRACE, FULL, seed=3) == replay(TRACE, FULL, seed=3)

    def test_all_programs_complete_when_an_upstream_is_lost(self) -> None:
        trace = TRACE._replace(losses=(UpstreamLoss("r0", 5.0),))
        for policy in (FULL, *BASELINES):
            assert replay(trace, policy).done_share == 1.0

    def test_queued_call_is_refused_after_its_deadline(self) -> None:
        header = HEADER._replace(
            replicas=HEADER.replicas[:1], rates=Rates(memory_tokens=300), deadline_s=1.0
        )
        calls = (call("a", 0, output_tokens=200), call("b", 0, output_tokens=200))
        trace = Trace(header, calls, ())
        assert replay(trace, FULL).refusals > 0
        assert replay(trace, FULL).done_share == 1.0
        assert replay(trace, without_feature("expire")).refusals == 0

    def test_parent_waits_for_its_sub_agents(self) -> None:
        calls = (
            call("p", 0),
            call("p", 1),
            call("p.0", 0, parent="p", parent_call=0, output_tokens=2_000),
        )
        alone = replay(Trace(HEADER, calls[:2], ()), FULL)
        both = replay(Trace(HEADER, calls, ()), FULL)
        assert both.mean_s > alone.mean_s + 10.0

    def test_front_class_is_faster_than_first_come_first_served(self) -> None:
        header = HEADER._replace(rates=Rates(memory_tokens=3_000))
        trace = TRACE._replace(header=header)
        full_p95_s = replay(trace, FULL).front_calls_p95_s
        assert full_p95_s < min(replay(trace, policy).front_calls_p95_s for policy in BASELINES)


class TestOutcomes:
    def test_breach_names_the_measure(self) -> None:
        measures = replay(TRACE, FULL)
        assert check(HEADER.outcomes, measures) == []
        breach = check({"goodput": (1e9, 2e9)}, measures)[0]
        assert breach.measure == "goodput"

    def test_unknown_measure_is_an_error(self) -> None:
        with pytest.raises(KeyError, match="colour"):
            check({"colour": (0.0, 1.0)}, replay(TRACE, FULL))
