from endiveworks.errors import Code
from endiveworks.journal.copy_state import Append, CopyState, Drop, Seal, Trim, plan_frames

STATE = CopyState(epoch=4, generation=1, first_index=3, last_index=5)


def read_record(index: int) -> bytes:
    return b"record %d" % index


def refusal(state, req) -> Code:
    return plan_frames(state, req, read_record).failure().code


class TestAppend:
    def test_repeat_writes_nothing(self) -> None:
        assert (
            plan_frames(
                STATE, Append(1, 4, 4, [read_record(4), read_record(5)]), read_record
            ).unwrap()
            == ()
        )

    def test_repeat_with_more_writes_the_rest(self) -> None:
        frames = plan_frames(STATE, Append(1, 4, 5, [read_record(5), b"new"]), read_record).unwrap()
        assert [(frame.log_index, frame.body) for frame in frames] == [(6, b"new")]

    def test_other_content_is_refused(self) -> None:
        assert refusal(STATE, Append(1, 4, 5, [b"other"])) is Code.CONFLICT

    def test_gap_is_refused(self) -> None:
        assert refusal(STATE, Append(1, 4, 7, [b"x"])) is Code.CONFLICT

    def test_other_epochs_are_refused(self) -> None:
        assert refusal(STATE, Append(1, 3, 6, [b"x"])) is Code.STALE_EPOCH
        assert refusal(STATE, Append(1, 5, 6, [b"x"])) is Code.CONFLICT

    def test_absent_copy_is_refused(self) -> None:
        assert refusal(None, Append(1, 4, 1, [b"x"])) is Code.CONFLICT
        assert refusal(None, Seal(1, 4)) is Code.CONFLICT


class TestTrimAndDrop:
    def test_trim_is_limited_to_held_records(self) -> None:
        assert plan_frames(STATE, Trim(1, 4, 3), read_record).unwrap() == ()
        frames = plan_frames(STATE, Trim(1, 4, 9), read_record).unwrap()
        assert [frame.log_index for frame in frames] == [6]

    def test_drop_of_a_copy_sealed_later_is_refused(self) -> None:
        assert refusal(STATE, Drop(1, 3)) is Code.STALE_EPOCH
