from endiveworks.errors import Code
from endiveworks.journal.copy_state import Append, Drop, Head, Seal, Trim, decide

HEAD = Head(epoch=4, generation=1, first_index=3, last_index=5)


def held(index: int) -> bytes:
    return b"record %d" % index


def refusal(head, req) -> Code:
    return decide(head, req, held).failure().code


class TestAppend:
    def test_repeat_writes_nothing(self) -> None:
        assert decide(HEAD, Append(1, 4, 4, [held(4), held(5)]), held).unwrap() == ()

    def test_repeat_with_more_writes_the_rest(self) -> None:
        frames = decide(HEAD, Append(1, 4, 5, [held(5), b"new"]), held).unwrap()
        assert [(frame.position, frame.body) for frame in frames] == [(6, b"new")]

    def test_other_content_is_refused(self) -> None:
        assert refusal(HEAD, Append(1, 4, 5, [b"other"])) is Code.CONFLICT

    def test_gap_is_refused(self) -> None:
        assert refusal(HEAD, Append(1, 4, 7, [b"x"])) is Code.CONFLICT

    def test_other_epochs_are_refused(self) -> None:
        assert refusal(HEAD, Append(1, 3, 6, [b"x"])) is Code.STALE_EPOCH
        assert refusal(HEAD, Append(1, 5, 6, [b"x"])) is Code.CONFLICT

    def test_absent_copy_is_refused(self) -> None:
        assert refusal(None, Append(1, 4, 1, [b"x"])) is Code.CONFLICT
        assert refusal(None, Seal(1, 4)) is Code.CONFLICT


class TestTrimAndDrop:
    def test_trim_keeps_within_what_is_held(self) -> None:
        assert decide(HEAD, Trim(1, 4, 3), held).unwrap() == ()
        assert [frame.position for frame in decide(HEAD, Trim(1, 4, 9), held).unwrap()] == [6]

    def test_drop_of_a_copy_sealed_later_is_refused(self) -> None:
        assert refusal(HEAD, Drop(1, 3)) is Code.STALE_EPOCH
