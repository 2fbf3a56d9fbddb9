"""Servers that fail most of their requests, requests that fail anywhere, and trials."""

import random

import pytest
from endiveworks.gateway.outcomes import (
    DOUBTFUL_ERROR_SHARE,
    MAX_FAILED_TRIAL_SHARE,
    MAX_TRIAL_PAUSE_S,
    MIN_TRIAL_PAUSE_S,
    Outcomes,
    Sighting,
    Source,
    Trial,
    TrialBudget,
    avoided,
    due_trial,
)


def source(number: int, program: str = "") -> Source:
    return Source(program or f"p{number}", f"d{number}")


def failing() -> Outcomes:
    """Returns the outcomes of a server that has failed many different requests."""
    outcomes = Outcomes()
    for number in range(10):
        outcomes.record_failure(source(number), 0.0)
    return outcomes


class TestFailing:
    def test_a_few_different_failures_in_a_row(self) -> None:
        outcomes = Outcomes()
        changes = [outcomes.record_failure(source(number), 0.0) for number in range(5)]
        assert changes == [False, False, True, False, False]

    @pytest.mark.parametrize("count", [10, 100_000])
    def test_repetitions_of_one_request_never(self, count: int) -> None:
        outcomes = Outcomes()
        for _ in range(count):
            outcomes.record_failure(Source("", "harmful"), 0.0)
        assert not outcomes.is_failing

    def test_a_request_repeated_by_different_programs_never(self) -> None:
        outcomes = Outcomes()
        for number in range(1_000):
            outcomes.record_failure(Source(f"p{number}", "harmful"), 0.0)
        assert not outcomes.is_failing

    def test_requests_of_one_program_take_more_failures(self) -> None:
        outcomes = Outcomes()
        count = 0
        while not outcomes.is_failing:
            outcomes.record_failure(source(count, "p"), 0.0)
            count += 1
        assert 6 <= count <= 12

    def test_rejections_take_more_than_errors(self) -> None:
        outcomes = Outcomes()
        for number in range(5):
            outcomes.record_failure(source(number), 0.0, DOUBTFUL_ERROR_SHARE)
        assert not outcomes.is_failing
        for number in range(5, 10):
            outcomes.record_failure(source(number), 0.0, DOUBTFUL_ERROR_SHARE)
        assert outcomes.is_failing

    def test_one_failure_in_a_hundred_does_not(self) -> None:
        outcomes, rng = Outcomes(), random.Random(1)
        for number in range(10_000):
            if rng.random() < 0.01:
                outcomes.record_failure(source(number), 0.0)
            else:
                outcomes.record_success(0.0)
            assert not outcomes.is_failing

    def test_it_ends_with_a_few_successes(self) -> None:
        outcomes = failing()
        changes = [outcomes.record_success(0.0) for _ in range(4)]
        assert changes.index(True) in (1, 2)
        assert not outcomes.is_failing

    def test_requests_that_were_sent_before_do_not_end_it(self) -> None:
        outcomes = failing()
        for _ in range(10):
            assert not outcomes.record_success(1.0, sent_s=-0.5)
        assert outcomes.is_failing
        assert [outcomes.record_success(2.0, sent_s=1.5) for _ in range(4)].count(True) == 1


class TestAvoided:
    def test_failing_servers_among_others(self) -> None:
        servers = {"a": failing(), "b": Outcomes(), "c": failing()}
        assert avoided(servers, ()) == {"a", "c"}

    def test_none_if_all_fail(self) -> None:
        assert avoided({"a": failing(), "b": failing()}, ()) == frozenset()

    def test_none_if_the_others_are_excluded(self) -> None:
        assert avoided({"a": failing(), "b": Outcomes()}, {"b"}) == frozenset()

    def test_none_if_the_others_fail_about_as_often(self) -> None:
        other = Outcomes()
        other.failure_share = 0.45
        worse = failing()
        worse.failure_share = 0.6
        assert avoided({"a": worse, "b": other}, ()) == frozenset()


class TestTrials:
    def test_one_is_due_after_a_pause_that_grows_with_failed_trials(self) -> None:
        outcomes = failing()
        now_s, pauses_s = MIN_TRIAL_PAUSE_S, []
        for number in range(6):
            assert due_trial({"a": outcomes}, Trial.DUE, now_s) == "a"
            outcomes.start_trial(now_s, 0.5)
            outcomes.record_failure(source(100 + number), now_s)
            started_s = now_s
            while not due_trial({"a": outcomes}, Trial.DUE, now_s):
                now_s += 0.01
            pauses_s.append(round(now_s - started_s, 1))
        assert pauses_s == sorted(pauses_s)
        assert pauses_s[-1] == MAX_TRIAL_PAUSE_S

    def test_a_success_is_followed_soon(self) -> None:
        outcomes = failing()
        for number in range(6):
            outcomes.start_trial(10.0, 0.5)
            outcomes.record_failure(source(100 + number), 10.0)
        outcomes.record_success(11.0)
        assert outcomes.is_failing
        assert due_trial({"a": outcomes}, Trial.DUE, 11.0 + MIN_TRIAL_PAUSE_S) == "a"

    def test_a_request_that_may_not_be_repeated_waits_for_longer(self) -> None:
        servers = {"a": failing()}
        assert not due_trial(servers, Trial.LATE, MIN_TRIAL_PAUSE_S)
        assert due_trial(servers, Trial.LATE, 2 * MIN_TRIAL_PAUSE_S) == "a"
        assert not due_trial(servers, Trial.NEVER, 60.0)

    def test_trials_that_fail_are_a_small_share_of_the_requests(self) -> None:
        budget, trials = TrialBudget(), 0
        for number in range(1_000):
            budget.record_request(number * 0.001)
            trials += budget.take()
        assert trials <= 1_000 * MAX_FAILED_TRIAL_SHARE + 1

    def test_a_trial_that_is_served_costs_nothing(self) -> None:
        budget = TrialBudget()
        budget.record_request(0.0)
        assert budget.take() and not budget.take()
        budget.give_back()
        assert budget.take()


class TestSightings:
    def test_one_failure_suffices_where_others_find_the_server_failing(self) -> None:
        told = failing().sighting(0.5)
        assert told == Sighting(is_failing=True, age_s=0.5)
        outcomes = Outcomes()
        outcomes.adopt(told, 0.6, 0.5)
        assert not outcomes.is_failing
        assert outcomes.record_failure(source(1), 0.7)

    def test_a_server_that_serves_this_process_stays_sound(self) -> None:
        outcomes = Outcomes()
        for number in range(50):
            outcomes.adopt(Sighting(is_failing=True, age_s=0.0), float(number), 0.5)
            outcomes.record_success(float(number))
        assert not avoided({"a": outcomes, "b": Outcomes()}, ())

    def test_a_trial_is_due_soon_where_others_find_the_server_sound(self) -> None:
        outcomes = failing()
        for number in range(6):
            outcomes.start_trial(10.0, 0.5)
            outcomes.record_failure(source(100 + number), 10.0)
        outcomes.adopt(Sighting(is_failing=False, age_s=0.0), 10.5, 0.2)
        assert due_trial({"a": outcomes}, Trial.DUE, 10.7) == "a"

    def test_old_and_earlier_sightings_have_no_effect(self) -> None:
        outcomes = failing()
        assert outcomes.sighting(60.0) is None
        outcomes.start_trial(0.0, 0.5)
        outcomes.adopt(Sighting(is_failing=False, age_s=5.0), 0.1, 0.0)
        assert not due_trial({"a": outcomes}, Trial.DUE, 0.2)
