"""Decisions on requests: replica, order, refusal, prefixes and events."""

import pytest
from endiveworks.gateway.events import EventSplitter
from endiveworks.gateway.pace import FORGET_HALF_LIFE_S, Pace, note, note_events, slowness
from endiveworks.gateway.placement import Candidate, Place, choose, home
from endiveworks.gateway.prefixes import HeldParts, Part
from endiveworks.gateway.routes import Repeat, Route, Share, pick_service
from endiveworks.gateway.waiting import (
    PASSED_OVER_S,
    Waiter,
    WaitingLine,
    expected_wait_s,
    is_hopeless,
    retry_after_s,
)

HERE = Place("edin", "east")


def candidate(replica: str, **changes: object) -> Candidate:
    usual = Candidate(replica, "edin", "east", slots=16, sent=0)
    return usual._replace(**changes)


class TestPlacement:
    def chosen(self, *candidates: Candidate, excluded: tuple[str, ...] = ()) -> str:
        return choose(HERE, candidates, excluded, limit_x=1.0).replica

    def test_a_replica_that_holds_the_prompt(self) -> None:
        cold = candidate("a", missing_tokens=14_000)
        assert self.chosen(cold, candidate("b", missing_tokens=1_000)) == "b"

    def test_a_crowded_holder_gives_way(self) -> None:
        crowded = candidate("a", sent=15, missing_tokens=0)
        assert self.chosen(crowded, candidate("b", missing_tokens=2_000)) == "b"

    def test_the_own_region_goes_first(self) -> None:
        assert self.chosen(candidate("a", region="west"), candidate("b", sent=4)) == "b"

    def test_a_replica_that_failed_lately_goes_last(self) -> None:
        assert self.chosen(candidate("a", faults=1.0), candidate("b", sent=12)) == "b"

    def test_full_and_excluded_replicas_are_left_out(self) -> None:
        assert self.chosen(candidate("a", sent=16), candidate("b"), excluded=("b",)) == ""


class TestHome:
    def replicas(self, here: Place) -> list[Candidate]:
        near = [candidate(f"n{n}", failure_domain=here.failure_domain) for n in range(3)]
        far = candidate("far", failure_domain="y", region="west")
        return [*near, candidate("other", failure_domain="x"), far]

    def test_processes_of_a_failure_domain_agree(self) -> None:
        found = self.replicas(HERE)
        assert home("p", HERE, found) == home("p", HERE, found[::-1])

    def test_programs_are_spread_over_the_nearest_replicas(self) -> None:
        homes = {home(f"p{n}", HERE, self.replicas(HERE)) for n in range(50)}
        assert homes == {"n0", "n1", "n2"}

    def test_one_that_leaves_moves_only_its_own_programs(self) -> None:
        found = self.replicas(HERE)
        left = [c for c in found if c.replica != "n1"]
        for name in (f"p{n}" for n in range(50)):
            before = home(name, HERE, found)
            assert before == "n1" or home(name, HERE, left) == before

    def test_without_replicas(self) -> None:
        assert home("p", HERE, []) == ""


class TestPace:
    USUAL = Pace(0.03, 0.0)

    def test_a_replica_at_the_usual_pace(self) -> None:
        assert slowness(Pace(0.04, 0.0), [self.USUAL, self.USUAL, Pace(0.04, 0.0)], 0.0) == 1.0

    def test_a_slow_one_stands_out(self) -> None:
        slow = Pace(0.15, 0.0)
        assert slowness(slow, [self.USUAL, slow, self.USUAL], 0.0) == pytest.approx(5.0)
        assert slowness(slow, [self.USUAL, slow], 0.0) == pytest.approx(5.0)

    def test_it_is_tried_again_after_some_time(self) -> None:
        slow = Pace(0.15, 0.0)
        later = slowness(slow, [self.USUAL, slow, self.USUAL], FORGET_HALF_LIFE_S)
        assert later == pytest.approx(3.0)

    def test_it_recovers_with_its_answers(self) -> None:
        pace = Pace(0.15, 0.0)
        for _ in range(20):
            pace = note(pace, 0.03, 1.0)
        assert slowness(pace, [self.USUAL, pace, self.USUAL], 1.0) == 1.0

    def test_a_burst_goes_around_a_slow_replica(self) -> None:
        """Plays 60 requests: a replica five times slower gets fewer than an even share."""
        paces = dict.fromkeys("ab", self.USUAL)
        paces["slow"] = Pace(0.15, 0.0)
        sent = dict.fromkeys(paces, 0)
        for _ in range(60):
            found = [
                candidate(
                    name,
                    slots=32,
                    sent=sent[name],
                    slowness=slowness(pace, list(paces.values()), 0.0),
                    usual_ms=300.0,
                )
                for name, pace in paces.items()
            ]
            sent[choose(HERE, found, (), 1.0).replica] += 1
        assert sent["slow"] < 5

    @pytest.mark.parametrize("each_event", [False, True], ids=["whole answers", "each event"])
    def test_streams_sent_to_a_replica_that_has_become_slow(self, each_event: bool) -> None:
        """Plays 5 streams/s of 9 events at one process; one of 4 replicas is eight times slower.

        Callers of that replica wait 3 s for what takes 0.4 s elsewhere. Judged by whole answers,
        the process sends there until the first one has ended.
        """
        usual_s = 0.04
        paces = dict.fromkeys(("a", "b", "c", "slow"), Pace(usual_s, 0.0))
        streams: list[tuple[str, float]] = []
        for step in range(40):
            now_s = step * 0.2
            for name, began_s in streams:
                gap_s = usual_s * (8 if name == "slow" else 1)
                before, after = (min(9, int((t - began_s) / gap_s)) for t in (now_s - 0.2, now_s))
                came = max(0, after) - max(0, before)
                if came and each_event:
                    paces[name] = note_events(paces[name], gap_s * came, came, now_s)
                elif came and after == 9:
                    paces[name] = note(paces[name], gap_s, now_s)
            found = [
                candidate(
                    name,
                    slots=12,
                    sent=sum(n == name and now_s - b < 0.4 for n, b in streams),
                    slowness=slowness(pace, list(paces.values()), now_s),
                    usual_ms=400.0,
                )
                for name, pace in paces.items()
            ]
            # The programs of a process prefer their homes in turn.
            home_name = ("slow", "a", "b", "c")[step % 4]
            found = [
                c._replace(missing_tokens=0 if c.replica == home_name else 14_000) for c in found
            ]
            streams.append((choose(HERE, found, (), 1.0).replica, now_s))
        late = [name for name, _ in streams].count("slow")
        assert late <= 3 if each_event else late > 3

    def test_a_replica_whose_streams_stand_still_goes_last(self) -> None:
        quiet, stalled = candidate("a"), candidate("b", stalled_s=0.8)
        assert choose(HERE, [quiet._replace(sent=1), stalled], (), 1.0).replica == "a"
        soon = candidate("b", stalled_s=0.1)
        assert choose(HERE, [quiet._replace(sent=1), soon], (), 1.0).replica == "b"


class TestWaiting:
    def waiter(self, key: str, priority: int, due_s: float, arrived_s: float = 0.0) -> Waiter:
        return Waiter(key, priority, due_s, arrived_s, due_s)

    def order(self, line: WaitingLine, now_s: float) -> list[str]:
        return [found.key for found in iter(lambda: line.take(now_s), None)]

    def test_urgent_classes_then_programs_with_least_time(self) -> None:
        line = WaitingLine()
        line.add(self.waiter("lookup", 2, 1.0))
        line.add(self.waiter("late", 0, 9.0))
        line.add(self.waiter("soon", 0, 3.0))
        assert self.order(line, 0.1) == ["soon", "late", "lookup"]

    def test_the_longest_waiting_is_not_passed_over_for_ever(self) -> None:
        line = WaitingLine()
        line.add(self.waiter("lookup", 2, 9.0, arrived_s=0.0))
        line.add(self.waiter("turn", 0, 3.0, arrived_s=0.9))
        assert self.order(line, PASSED_OVER_S) == ["lookup", "turn"]

    def test_one_that_left_is_not_taken(self) -> None:
        line = WaitingLine()
        line.add(self.waiter("a", 0, 1.0))
        line.remove("a")
        assert line.take(0.0) is None
        assert len(line) == 0

    def test_the_expected_wait(self) -> None:
        assert expected_wait_s(ahead=31, places=16, service_s=0.5) == 1.0
        assert expected_wait_s(ahead=0, places=0, service_s=0.5) == float("inf")

    def test_a_wait_that_leaves_no_time_for_the_work(self) -> None:
        assert is_hopeless(wait_s=0.7, left_s=1.0)
        assert not is_hopeless(wait_s=0.5, left_s=1.0)

    def test_callers_come_back_spread_around_the_wait(self) -> None:
        assert [retry_after_s(1.0, draw) for draw in (0.0, 0.5, 1.0)] == [0.5, 1.0, 1.5]


class TestPrefixes:
    PARTS = (Part("shared", 12_600), Part("own", 1_000))

    def test_leading_parts_count(self) -> None:
        held = HeldParts(100_000)
        held.add(self.PARTS)
        assert held.held_tokens((*self.PARTS, Part("new", 500))) == 13_600
        assert held.held_tokens((Part("other", 100), *self.PARTS)) == 0

    def test_a_part_that_has_grown_is_held_up_to_its_old_length(self) -> None:
        held = HeldParts(100_000)
        held.add(self.PARTS)
        assert held.held_tokens((Part("shared", 12_600), Part("own", 2_500))) == 13_600

    def test_the_least_recently_used_part_yields(self) -> None:
        held = HeldParts(14_000)
        held.add(self.PARTS)
        held.add((Part("shared", 12_600), Part("next", 1_000)))
        assert held.held_tokens(self.PARTS) == 12_600


class TestEvents:
    def test_events_are_given_once_they_are_whole(self) -> None:
        splitter = EventSplitter()
        assert splitter.feed(b"id: 1\nda") == []
        (event,) = splitter.feed(b"ta: one\n\nid: 2")
        assert (event.id, event.data, event.raw) == (1, b"one", b"id: 1\ndata: one\n\n")
        assert splitter.rest() == b"id: 2"

    @pytest.mark.parametrize("newline", ["\n", "\r\n"])
    def test_several_at_once(self, newline: str) -> None:
        data = f"id: 1{newline}data: a{newline}{newline}data: b{newline}data: c{newline}{newline}"
        found = EventSplitter().feed(data.encode())
        assert [(e.id, e.data) for e in found] == [(1, b"a"), (None, b"b\nc")]

    def test_other_lines_are_no_data(self) -> None:
        (event,) = EventSplitter().feed(b"weight-versions: 3\nid: 4\ndata: x\n\n")
        assert (event.id, event.data) == (4, b"x")


class TestShares:
    def test_weights_are_kept(self) -> None:
        shares = (Share("a", 90), Share("b", 10))
        route = Route("r", "h", "/", Repeat.ANY, shares, 1.0, 0.1, 0, 2)
        picked = [pick_service(route, n / 100) for n in range(100)]
        assert picked.count("a") == 90
