"""Admission of new programs while a service has too little room, and played loads of it."""

import heapq
import random
from typing import NamedTuple

import pytest
from endiveworks.gateway.program_admission import (
    MAX_KNOWN_PROGRAMS,
    MIN_ADMITTED_SHARE,
    TARGET_LOAD,
    ProgramAdmission,
)

PROGRAMS = [f"p{number}" for number in range(2_000)]


def at_load(load: float, lasts_s: float = 0.0) -> ProgramAdmission:
    """Returns an admission that knows a load, after it has lasted for some time."""
    admission = ProgramAdmission()
    admission.update(0.0, 0.0)
    for step in range(1, 200):
        admission.update(load, 2.0 + lasts_s * step / 200)
    return admission


def refused(admission: ProgramAdmission, is_urgent: bool = False) -> set[str]:
    """Returns the programs that are refused."""
    return {name for name in PROGRAMS if admission.would_refuse(name, is_urgent)}


class TestShareThatIsRefused:
    @pytest.mark.parametrize("load", [0.0, 0.5, TARGET_LOAD])
    def test_none_while_there_is_room(self, load: float) -> None:
        assert refused(at_load(load)) == set()

    def test_it_grows_with_the_load_and_never_to_all(self) -> None:
        shares = [at_load(load).refused_share(False) for load in (0.8, 0.9, 1.0, 1.5, 9.0)]
        assert shares == sorted(shares)
        assert 0.0 < shares[0] < shares[1] < shares[2] < 1.0
        assert shares[-1] == pytest.approx(1.0 - MIN_ADMITTED_SHARE)

    def test_it_grows_while_the_load_lasts_and_falls_afterwards(self) -> None:
        admission = at_load(0.9, lasts_s=3.0)
        lasting = admission.refused_share(False)
        assert lasting > at_load(0.9).refused_share(False)
        for step in range(80):
            admission.update(0.2, 5.0 + step / 10)
        assert admission.refused_share(False) == 0.0

    def test_a_higher_load_refuses_the_same_programs_and_more(self) -> None:
        assert refused(at_load(0.8)) < refused(at_load(0.85)) < refused(at_load(0.9))

    def test_the_urgent_are_refused_less_often(self) -> None:
        admission = at_load(1.0)
        assert refused(admission, is_urgent=True) < refused(admission)

    def test_all_entries_refuse_the_same_programs(self) -> None:
        assert refused(at_load(1.0)) == refused(at_load(1.0))

    def test_a_moment_counts_less_than_a_while(self) -> None:
        admission = at_load(0.3)
        admission.update(1.0, 2.02)
        assert admission.refused_share(False) == 0.0
        admission.update(1.0, 4.0)
        assert admission.refused_share(False) > 0.2


class TestProgramsUnderWay:
    def test_they_are_served_at_any_load(self) -> None:
        admission = at_load(2.0)
        name = next(iter(refused(admission)))
        admission.record(name)
        assert not admission.would_refuse(name, False)

    def test_the_oldest_are_forgotten(self) -> None:
        admission = at_load(2.0)
        first = sorted(refused(admission))[0]
        for name in [first, *(f"q{number}" for number in range(MAX_KNOWN_PROGRAMS))]:
            admission.record(name)
        assert admission.would_refuse(first, False)


SLOTS = 160
TURN_S = 0.2  # Time of a turn at a load of a quarter.
SATURATED = 0.85  # Load beyond which replicas do no more turns a second.
TURNS = 5
LENGTH_S = 30.0
MEASURED_S = (8.0, 22.0)  # Programs that begin then count.
NEWS_S = 0.2  # Age of what an entry knows of the load.


def turn_s(load: float) -> float:
    """Returns the time of a turn, which grows with the load as that of an engine's batch."""
    slowest_s = TURN_S * (0.8 + 0.75 * SATURATED)
    return max(TURN_S * (0.8 + 0.75 * min(load, SATURATED)), slowest_s * load / SATURATED)


class Outcome(NamedTuple):
    """Shares of the programs that began in the measured time."""

    in_time: float
    late: float
    refused: float


def play(times: float, admits_all: bool, seed: int = 1) -> Outcome:
    """Plays programs of some turns, which all find the same load at the replicas.

    Args:
        times: What is asked, as a multiple of what the replicas can do.
        admits_all: Whether no program is refused.
        seed: Seed of the arrivals.
    """
    rng = random.Random(seed)
    admission, known = ProgramAdmission(), [(0.0, 0)]
    running, ended = 0, dict[str, float]()
    began: dict[str, float] = {}
    turned_away: set[str] = set()
    events: list[tuple[float, str, int]] = []
    now_s = 0.0
    while now_s < LENGTH_S - 8:
        now_s += rng.expovariate(times * SLOTS * SATURATED / turn_s(SATURATED) / TURNS)
        began[f"{seed}/{len(began)}"] = now_s
        heapq.heappush(events, (now_s, f"{seed}/{len(began) - 1}", 0))
    while events:
        now_s, name, turn = heapq.heappop(events)
        running -= turn > 0
        seen = next(count for at_s, count in reversed(known) if at_s <= now_s - NEWS_S or not at_s)
        admission.update(seen / SLOTS, now_s)
        if turn == 0 and not admits_all and admission.would_refuse(name, False):
            turned_away.add(name)
        elif turn == TURNS:
            ended[name] = now_s
        else:
            running += 1
            heapq.heappush(events, (now_s + turn_s(running / SLOTS), name, turn + 1))
        known.append((now_s, running))
        known = known[-4_000:]
    measured = [name for name, at_s in began.items() if MEASURED_S[0] <= at_s < MEASURED_S[1]]
    aim_s = 1.6 * TURNS * TURN_S
    in_time = sum(name in ended and ended[name] - began[name] <= aim_s for name in measured)
    lost = sum(name in turned_away for name in measured)
    count = len(measured)
    return Outcome(in_time / count, (count - in_time - lost) / count, lost / count)


class TestPlayedLoad:
    """Guards against all programs ending late together because some of them find no room."""

    @pytest.mark.parametrize("times", [1.2, 1.5, 2.0])
    def test_only_what_is_missing_is_lost(self, times: float) -> None:
        outcome = play(times, admits_all=False)
        assert outcome.late < 0.05
        assert outcome.in_time >= 0.9 / times

    @pytest.mark.parametrize("times", [1.5, 2.0])
    def test_without_refusals_most_end_late(self, times: float) -> None:
        assert play(times, admits_all=True).in_time < 0.1

    @pytest.mark.parametrize("times", [0.3, 0.5])
    def test_nobody_is_refused_while_there_is_room(self, times: float) -> None:
        assert play(times, admits_all=False) == Outcome(1.0, 0.0, 0.0)
