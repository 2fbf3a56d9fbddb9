"""The decision where a resumed stream began, from what the holders reply."""

from endiveworks.gateway.stream_origins import (
    MAX_NAME_BYTES,
    RETENTION_S,
    HolderReply,
    StreamOrigin,
    StreamStart,
    Verdict,
    attempt_name,
    bounded,
    decide,
    resumable_s,
)
from endiveworks.turns.view import Disk, View

V1 = StreamOrigin("llm", "v1", "entry-1", "g")
V2 = StreamOrigin("llm", "v2", "entry-2", "a")
WINDOW_S = 9.0
DISKS = tuple(Disk(name, name, "", name, "east") for name in "abcd")
VIEW = View(1, 1, DISKS[:3])


def holds(*starts: StreamStart, held_s: float = RETENTION_S) -> HolderReply:
    """Returns the reply of a holder."""
    return HolderReply(starts, held_s)


def start(origin: StreamOrigin | None, attempt: str = "r1", number: int = 1) -> StreamStart:
    """Returns a start that was told a second ago."""
    return StreamStart(attempt, number, origin, 1.0)


def verdict(attempt: str = "", view: View = VIEW, **replies: HolderReply) -> Verdict:
    """Returns the verdict from the replies of disks."""
    return decide(view, replies, [], attempt, WINDOW_S)


class TestDecide:
    def test_a_read_quorum_decides(self) -> None:
        assert verdict(a=holds(start(V1))) == Verdict(None, False)
        assert verdict(a=holds(start(V1)), b=holds()) == Verdict(V1, True)

    def test_a_holder_that_began_as_a_start_may_have_been_told_does_not_count(self) -> None:
        restarted = holds(start(V1), held_s=WINDOW_S)
        assert verdict(a=restarted, b=holds()) == Verdict(None, False)

    def test_nothing_is_decided_where_nothing_is_known(self) -> None:
        assert verdict(a=holds(), b=holds()) == Verdict(None, False)

    def test_two_versions_are_never_chosen_from(self) -> None:
        replies = {"a": holds(start(V1)), "b": holds(start(V2, "r2"))}
        assert verdict(**replies) == Verdict(None, True)
        assert decide(VIEW, {"a": holds(start(V1))}, [start(V2, "r2")], "", 9.0).is_final

    def test_the_same_version_from_two_entries_is_known(self) -> None:
        again = start(V1._replace(host="entry-2"), "r2")
        found = verdict(a=holds(start(V1)), b=holds(again)).origin
        assert found is not None and found.is_same_software(V1)

    def test_a_named_attempt_is_told_from_others(self) -> None:
        starts = start(V1), start(V2, "r2")
        assert verdict("r2", a=holds(*starts), b=holds(*starts)).origin == V2

    def test_what_was_told_last_of_an_attempt_holds(self) -> None:
        assert verdict(a=holds(start(V1)), b=holds(start(V2, number=2))).origin == V2

    def test_an_attempt_without_an_event_is_left_out(self) -> None:
        replies = {"a": holds(start(V1), start(V2, "r2")), "b": holds(start(None, "r2", 2))}
        assert verdict(**replies).origin == V1

    def test_an_unknown_version_is_never_chosen(self) -> None:
        unknown = start(V1._replace(version=""), "r2")
        assert verdict(a=holds(start(V1)), b=holds(unknown)) == Verdict(None, True)

    def test_starts_that_no_caller_resumes_any_more_are_left_out(self) -> None:
        old = start(V2, "r2")._replace(age_s=WINDOW_S + 1)
        assert verdict(a=holds(start(V1), old), b=holds()).origin == V1

    def test_a_holder_with_a_short_memory_does_not_count(self) -> None:
        short = holds(held_s=WINDOW_S - 1)
        assert verdict(a=holds(start(V1)), b=short) == Verdict(None, False)
        assert verdict(a=holds(start(V1)), b=short, c=holds()).origin == V1

    def test_one_copy_of_a_named_attempt_with_events_decides(self) -> None:
        has_events = holds(start(V1)._replace(has_events=True), start(V2, "r2"), held_s=0.0)
        assert verdict("r1", a=has_events) == Verdict(V1, True)
        assert verdict(a=has_events) == Verdict(None, True)
        partial = has_events._replace(is_partial=True)
        assert verdict("r1", a=partial) == Verdict(V1, True)

    def test_a_holder_that_left_out_some_makes_all_unknown(self) -> None:
        partial = holds()._replace(is_partial=True)
        assert verdict(a=holds(start(V1)), b=partial, c=holds()) == Verdict(None, True)

    def test_a_change_of_the_disks_needs_quorums_of_both_sets(self) -> None:
        view = View(2, 1, DISKS[:3], (DISKS[0], DISKS[2], DISKS[3]))
        assert verdict(view=view, a=holds(start(V1)), b=holds()).origin is None
        assert verdict(view=view, a=holds(start(V1)), c=holds()).origin == V1


class TestNames:
    def test_origins_with_long_names_are_not_known(self) -> None:
        assert bounded(V1) == V1
        assert bounded(V1._replace(version="v" * (MAX_NAME_BYTES + 1))).version == ""

    def test_names_of_attempts_have_one_length(self) -> None:
        assert len(attempt_name("r" * 9_000)) == len(attempt_name("r")) == 16
        assert attempt_name("") == ""

    def test_streams_are_resumed_for_some_timeouts(self) -> None:
        assert resumable_s(3.0) == 9.0
        assert resumable_s(300.0) == RETENTION_S
