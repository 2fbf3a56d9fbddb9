import threading
import time
from collections.abc import Sequence
from queue import SimpleQueue

from endiveworks.calls.poll_client import ClosedStream, PollResponse
from endiveworks.calls.poll_server import PollServer
from endiveworks.calls.stream import Chunk, FinalStatus, Stream
from endiveworks.errors import Code, Failure
from returns.result import Failure as Err
from returns.result import Result, Success

DONE = FinalStatus(200, "text/event-stream")
GONE = Failure(Code.CONFLICT, "test", "u", "gone")


def poll(
    found: Sequence[Result[Stream, Failure]], offsets: Sequence[int], wait_s: float
) -> PollResponse:
    """Sends one poll to a new server and waits for the reply."""
    replies: SimpleQueue[PollResponse] = SimpleQueue()
    PollServer().poll(found, offsets, wait_s, replies.put)
    return replies.get(timeout=30)


class TestPoll:
    def test_returns_only_streams_with_new_bytes(self) -> None:
        idle, busy = Stream(), Stream()
        busy.append(b"abc", 4)
        response = poll([Success(idle), Success(busy)], [0, 1], 0.0)
        assert response == PollResponse([1], [4], [b"bc"], [])

    def test_an_ending_comes_with_the_bytes_before_it(self) -> None:
        idle, ended = Stream(), Stream()
        ended.append(b"abc", 4)
        ended.finish(DONE)
        response = poll([Success(idle), Success(ended)], [0, 1], 0.0)
        assert response == PollResponse(
            [], [], [], [ClosedStream(1, Success(Chunk(1, b"bc", DONE, 4)))]
        )

    def test_waits_for_the_first_bytes(self) -> None:
        stream = Stream()
        timer = threading.Timer(0.05, stream.append, (b"x",))
        timer.start()
        assert poll([Success(stream)], [0], 30.0).data == [b"x"]

    def test_returns_empty_after_the_wait(self) -> None:
        assert poll([Success(Stream())], [0], 0.01) == PollResponse([], [], [], [])

    def test_an_unavailable_stream_is_reported_at_once(self) -> None:
        response = poll([Err(GONE), Success(Stream())], [0, 0], 30.0)
        assert response == PollResponse([], [], [], [ClosedStream(0, Err(GONE))])

    def test_a_short_wait_is_not_delayed_by_a_long_one(self) -> None:
        server = PollServer()
        replies: SimpleQueue[str] = SimpleQueue()
        server.poll([Success(Stream())], [0], 3600.0, lambda response: replies.put("long"))
        while server._wake_at < time.monotonic() + 1800.0:
            time.sleep(0.01)
        server.poll([Success(Stream())], [0], 0.01, lambda response: replies.put("short"))
        assert replies.get(timeout=30) == "short"

    def test_a_failed_reply_does_not_prevent_the_others(self) -> None:
        server = PollServer()
        stream = Stream()
        replies: SimpleQueue[PollResponse] = SimpleQueue()

        def fail(response: PollResponse) -> None:
            raise RuntimeError("fault")

        server.poll([Success(stream)], [0], 30.0, fail)
        server.poll([Success(stream)], [0], 30.0, replies.put)
        stream.append(b"x")
        assert replies.get(timeout=30).data == [b"x"]

    def test_every_one_of_many_polls_gets_a_reply(self) -> None:
        server = PollServer()
        streams = [Stream() for _ in range(20)]
        replies: SimpleQueue[PollResponse] = SimpleQueue()
        for stream in streams:
            server.poll([Success(stream)], [0], 30.0, replies.put)
        for stream in streams:
            stream.append(b"x")
        assert all(replies.get(timeout=30).data == [b"x"] for _ in streams)
