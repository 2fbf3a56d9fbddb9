import io
from collections.abc import Iterator

import pytest
from cheroot.server import ChunkedRFile
from endiveworks.gateway.memory_budget import ORDINARY_BYTES
from endiveworks_daemon.body_reader import BodyTooLongError, NoRoomError, read_body
from endiveworks_daemon.caller_memory import BODY_COPIES, CallerMemory, RequestMemory

_MAX_BYTES = 1_000
_NEXT = b"GET /next HTTP/1.1\r\n\r\n"


class _Pieces(io.RawIOBase):
    """Bytes that arrive in pieces, as from a socket."""

    def __init__(self, data: bytes, size: int) -> None:
        self._data = data
        self._size = size
        self.asked: list[int] = []

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: memoryview) -> int:  # type: ignore[override]
        self.asked.append(len(buffer))
        piece = self._data[: min(self._size, len(buffer))]
        self._data = self._data[len(piece) :]
        buffer[: len(piece)] = piece
        return len(piece)


@pytest.fixture
def memory() -> Iterator[RequestMemory]:
    found = CallerMemory(1_000_000)
    held = RequestMemory(found)
    yield held
    held.release()
    assert found.held() == 0


def _chunked(data: bytes, size: int) -> ChunkedRFile:
    return ChunkedRFile(io.BufferedReader(_Pieces(data, size), 4_096), _MAX_BYTES)


class TestChunks:
    @pytest.mark.parametrize("size", [1, 3, 5, 4_096])
    @pytest.mark.parametrize("trailer", [b"", b"A: b\r\n"])
    def test_a_body_is_whole_and_the_next_request_is_left(
        self, memory: RequestMemory, size: int, trailer: bytes
    ) -> None:
        body = b"10\r\n" + b"x" * 16 + b"\r\n"
        source = _chunked(body * 50 + b"0\r\n" + trailer + b"\r\n" + _NEXT, size)
        assert read_body(source, None, _MAX_BYTES, memory) == b"x" * 800
        assert source.closed
        assert source.rfile.read(len(_NEXT)) == _NEXT

    def test_only_the_data_counts(self, memory: RequestMemory) -> None:
        source = _chunked(b"1;name=value\r\nx\r\n" * _MAX_BYTES + b"0\r\n\r\n", 4_096)
        assert len(read_body(source, None, _MAX_BYTES, memory)) == _MAX_BYTES

    def test_a_body_may_be_too_long(self, memory: RequestMemory) -> None:
        source = _chunked(b"1\r\nx\r\n" * (_MAX_BYTES + 1) + b"0\r\n\r\n", 4_096)
        with pytest.raises(BodyTooLongError):
            read_body(source, None, _MAX_BYTES, memory)
        assert not source.closed

    @pytest.mark.parametrize(
        "data",
        [b"x\r\n", b"3\r\nabcd\r\n", b"3\r\nab", b"0\r\nA: b", b"0\r\n" + b"A: b\r\n" * 5_000],
    )
    def test_malformed_bodies(self, memory: RequestMemory, data: bytes) -> None:
        with pytest.raises(ValueError):
            read_body(_chunked(data, 4_096), None, _MAX_BYTES, memory)


class TestLength:
    def test_little_is_asked_for_at_once(self, memory: RequestMemory) -> None:
        pieces = _Pieces(b"x" * 200_000, 1_000)
        source = io.BufferedReader(pieces, 4_096)
        assert len(read_body(source, 200_000, 200_000, memory)) == 200_000
        assert max(pieces.asked) <= 16 * 1024

    def test_a_body_that_ends_early_is_short(self, memory: RequestMemory) -> None:
        source = io.BufferedReader(_Pieces(b"abc", 3), 4_096)
        assert read_body(source, 10, _MAX_BYTES, memory) == b"abc"


class TestMemory:
    def test_a_body_without_room_is_not_read(self) -> None:
        memory = CallerMemory(1_000)
        pieces = _Pieces(b"x" * 1_000, 1_000)
        with pytest.raises(NoRoomError):
            read_body(io.BufferedReader(pieces), 1_000, 1_000, RequestMemory(memory))
        assert (pieces.asked, memory.held()) == ([], 0)

    def test_long_bodies_leave_room_for_others(self) -> None:
        memory = CallerMemory(10 * ORDINARY_BYTES)
        size = ORDINARY_BYTES * 2 // BODY_COPIES
        admitted = [held for held in map(RequestMemory, [memory] * 5) if held.claim_body(size)]
        assert len(admitted) == 3
        assert RequestMemory(memory).claim_body(1_000)

    def test_responses_count_for_new_requests(self) -> None:
        memory = CallerMemory(100_000)
        answered = RequestMemory(memory)
        answered.hold_response(100_000)
        assert not RequestMemory(memory).claim_body(1)
        answered.release()
        assert RequestMemory(memory).claim_body(1)
