"""A request reaches no more replicas than its route allows, whatever becomes of them."""

import hypothesis.strategies as st
from endiveworks.gateway.attempts import NextAttempt, Tried, next_attempt
from hypothesis import given

REPLICAS = st.sampled_from("abcde")
SETS = st.frozensets(REPLICAS)


class TestNextAttempt:
    def test_a_new_request_may_go_anywhere(self) -> None:
        assert next_attempt(Tried((), (), 1), "", ()) == NextAttempt("", True)

    def test_the_preferred_replica_goes_before_another_choice(self) -> None:
        assert next_attempt(Tried("ab", (), 3), "b", "ab") == NextAttempt("b", False)

    def test_a_preferred_replica_that_leaves_is_not_used(self) -> None:
        assert next_attempt(Tried("a", (), 2), "a", ()) == NextAttempt("", True)
        assert next_attempt(Tried("a", (), 1), "a", ()) == NextAttempt("", False)

    def test_a_preferred_replica_that_never_had_the_request_is_no_way_around_the_bound(
        self,
    ) -> None:
        assert next_attempt(Tried("a", (), 1), "b", "ab") == NextAttempt("a", False)

    @given(
        st.integers(1, 3),
        st.lists(st.tuples(SETS, SETS, REPLICAS, REPLICAS, SETS, SETS), max_size=12),
    )
    def test_no_more_replicas_than_attempts(
        self,
        max_attempts: int,
        steps: list[
            tuple[frozenset[str], frozenset[str], str, str, frozenset[str], frozenset[str]]
        ],
    ) -> None:
        # Guards against a lookup that ran at a third replica, as the first one was excluded.
        sent_to: set[str] = set()
        for listed, excluded, preferred, chosen, leaving, ended in steps:
            sent_to -= ended
            repeatable = listed - leaving
            found = next_attempt(Tried(sent_to, excluded, max_attempts), preferred, repeatable)
            assert not (found.replica and found.may_choose)
            assert not found.replica or found.replica in (sent_to & repeatable) - excluded
            if found.may_choose:
                sent_to.add(chosen)
            assert len(sent_to) <= max_attempts
