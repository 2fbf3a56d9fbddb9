"""What a disk process keeps of where streams began, and the time for which it counts."""

from endiveworks.gateway.origin_memory import (
    MAX_ATTEMPTS,
    MAX_REQUESTS,
    MAX_STARTS,
    OriginMemory,
)
from endiveworks.gateway.stream_origins import RETENTION_S, StreamOrigin, StreamStart
from endiveworks.turns.view import Disk, View

V1 = StreamOrigin("llm", "v1", "entry-1")
DISKS = tuple(Disk(name, name, "", name, "east") for name in "abcd")
FIRST = View(1, 1, DISKS[:3])
REPLACING = View(2, 1, DISKS[:3], DISKS[1:])
REPLACED = View(3, 1, DISKS[1:])


def start(attempt: str = "r1", number: int = 1) -> StreamStart:
    """Returns the start of an attempt's stream."""
    return StreamStart(attempt, number, V1)


def memory(folder: str, is_new: bool, *views: tuple[View, float]) -> OriginMemory:
    """Returns the memory of a process started at 100 s that has learned of views at some times."""
    kept = OriginMemory(folder, is_new, 100.0)
    for view, at_s in views:
        kept.adopt(view, at_s)
    return kept


class TestStarts:
    def test_a_start_is_kept_with_its_age(self) -> None:
        kept = memory("a", True)
        kept.keep(b"k", start(), 101.0)
        assert kept.reply(b"k", 103.0).starts == (start()._replace(age_s=2.0),)
        assert kept.reply(b"other", 103.0).starts == ()

    def test_it_is_forgotten_after_a_while(self) -> None:
        kept = memory("a", True)
        kept.keep(b"k", start(), 101.0)
        assert kept.reply(b"k", 102.0 + RETENTION_S).starts == ()
        kept.keep(b"other", start(), 102.0 + RETENTION_S)
        assert len(kept) == 1

    def test_what_was_told_before_does_not_replace_it(self) -> None:
        kept = memory("a", True)
        for number in (2, 1):
            kept.keep(b"k", start(number=number), 101.0)
        assert [each.number for each in kept.reply(b"k", 101.0).starts] == [2]

    def test_a_request_with_many_attempts_is_partly_known(self) -> None:
        kept = memory("a", True)
        for number in range(MAX_ATTEMPTS):
            kept.keep(b"k", start(f"r{number}"), 101.0)
        assert not kept.reply(b"k", 101.0).is_partial
        kept.keep(b"k", start("one-more"), 101.0)
        assert kept.reply(b"k", 101.0).is_partial

    def test_requests_with_many_attempts_take_no_more_memory(self) -> None:
        """They took 60 MB of a disk's process, three times as much as others."""
        kept = memory("a", True, (FIRST, 100.0))
        for number in range(MAX_REQUESTS):
            for attempt in range(MAX_ATTEMPTS):
                kept.keep(str(number).encode(), start(f"r{attempt}"), 101.0 + number / 1e4)
        assert len(kept) == MAX_STARTS // MAX_ATTEMPTS
        newest = kept.reply(str(MAX_REQUESTS - 1).encode(), 104.0)
        assert len(newest.starts) == MAX_ATTEMPTS
        assert newest.held_s < RETENTION_S  # What was dropped counts as missing.
        late_s = 200.0 + RETENTION_S
        kept.keep(b"late", start(), late_s)
        assert (len(kept), kept._starts) == (1, 1)

    def test_what_was_dropped_for_want_of_room_counts_as_missing(self) -> None:
        kept = memory("a", True, (FIRST, 100.0))
        for number in range(MAX_REQUESTS):
            kept.keep(str(number).encode(), start(), 101.0)
        assert kept.reply(b"k", 102.0).held_s == RETENTION_S
        kept.keep(b"one-more", start(), 102.0)
        assert len(kept) == MAX_REQUESTS
        assert kept.reply(b"k", 103.0).held_s == 2.0


class TestHeldTime:
    def held_s(self, kept: OriginMemory, now_s: float) -> float:
        """Returns the time for which a memory says that it is complete."""
        return kept.reply(b"k", now_s).held_s

    def test_the_first_disks_have_missed_nothing(self) -> None:
        assert self.held_s(memory("a", True, (FIRST, 101.0)), 102.0) == RETENTION_S

    def test_a_process_that_started_again_has_missed_what_was_before(self) -> None:
        assert self.held_s(memory("a", False, (FIRST, 101.0)), 110.0) == 10.0
        assert self.held_s(memory("a", False, (REPLACING, 101.0)), 110.0) == 10.0

    def test_a_process_without_a_view_counts_for_nothing(self) -> None:
        assert self.held_s(memory("a", True), 110.0) == 0.0

    def test_a_disk_outside_of_the_view_counts_for_nothing(self) -> None:
        assert self.held_s(memory("d", True, (FIRST, 101.0)), 110.0) == 0.0
        left = memory("a", True, (FIRST, 101.0), (REPLACED, 105.0))
        assert self.held_s(left, 110.0) == 0.0

    def test_a_joining_disk_counts_from_the_end_of_the_change(self) -> None:
        joining = memory("d", True, (FIRST, 101.0), (REPLACING, 102.0))
        assert self.held_s(joining, 110.0) == 0.0
        joining.adopt(REPLACED, 110.0)
        assert self.held_s(joining, 113.0) == 3.0

    def test_a_disk_that_stays_counts_as_before(self) -> None:
        views = (FIRST, 101.0), (REPLACING, 102.0), (REPLACED, 103.0)
        assert self.held_s(memory("b", True, *views), 104.0) == RETENTION_S

    def test_all_that_are_left_of_more_disks_have_missed_something(self) -> None:
        reducing, reduced = View(2, 1, DISKS[:3], DISKS[:1]), View(3, 1, DISKS[:1])
        kept = memory("a", True, (FIRST, 101.0), (reducing, 102.0), (reduced, 103.0))
        assert self.held_s(kept, 104.0) == 1.0

    def test_an_older_view_changes_nothing(self) -> None:
        kept = memory("b", True, (REPLACED, 101.0), (FIRST, 102.0))
        assert kept.epoch == REPLACED.epoch
