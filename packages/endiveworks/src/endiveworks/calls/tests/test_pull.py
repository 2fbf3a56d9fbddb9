import threading
from collections.abc import Sequence

from endiveworks.calls.messages import CallKey
from endiveworks.calls.pull import News, Pulled, Puller, Want, gather, pull_to_end
from endiveworks.calls.stream import Ending, Piece, Stream
from endiveworks.errors import Code, Failure
from returns.result import Failure as Err
from returns.result import Result, Success

DONE = Ending(200, "text/event-stream")
GONE = Failure(Code.CONFLICT, "test", "u", "gone")


def key(number: int) -> CallKey:
    return CallKey("0001-a", number, 1)


class TestGather:
    def test_gives_news_of_the_streams_that_have_any(self) -> None:
        quiet, busy = Stream(), Stream()
        busy.append(b"abc", 4)
        news = gather([Success(quiet), Success(busy)], [0, 1], 0.0)
        assert news == News([1], [4], [b"bc"], [])

    def test_an_end_comes_with_the_bytes_before_it(self) -> None:
        quiet, ended = Stream(), Stream()
        ended.append(b"abc", 4)
        ended.finish(DONE)
        news = gather([Success(quiet), Success(ended)], [0, 1], 0.0)
        assert news == News([], [], [], [Pulled(1, Success(Piece(1, b"bc", DONE, 4)))])

    def test_waits_for_the_first_news(self) -> None:
        stream = Stream()
        timer = threading.Timer(0.05, stream.append, (b"x",))
        timer.start()
        assert gather([Success(stream)], [0], 30.0).data == [b"x"]

    def test_waits_no_longer_than_asked_when_there_is_no_news(self) -> None:
        assert gather([Success(Stream())], [0], 0.01) == News([], [], [], [])

    def test_a_missing_stream_is_news(self) -> None:
        news = gather([Err(GONE), Success(Stream())], [0, 0], 30.0)
        assert news == News([], [], [], [Pulled(0, Err(GONE))])


class TestPuller:
    def test_follows_many_answers_to_their_ends(self) -> None:
        streams = {key(number): Stream() for number in range(20)}

        def send(address: str, wants: Sequence[Want], wait_s: float) -> Result[News, Failure]:
            found: list[Result[Stream, Failure]] = [Success(streams[want.key]) for want in wants]
            return Success(gather(found, [want.offset for want in wants], wait_s))

        puller = Puller(send)
        got: dict[CallKey, bytearray] = {name: bytearray() for name in streams}

        def follow(name: CallKey) -> None:
            take = lambda piece: got[name].extend(piece.data)  # noqa: E731
            pull_to_end(puller, "u", Want(name, 0), take, lambda: None).unwrap()

        threads = [threading.Thread(target=follow, args=(name,)) for name in streams]
        for thread in threads:
            thread.start()
        for part in (b"one ", b"two ", b"three"):
            for stream in streams.values():
                stream.append(part)
        for stream in streams.values():
            stream.finish(DONE)
        for thread in threads:
            thread.join(30)
        assert all(data == b"one two three" for data in got.values())

    def test_a_lost_peer_ends_every_follower(self) -> None:
        puller = Puller(lambda address, wants, wait_s: Err(GONE))
        outcome = pull_to_end(puller, "u", Want(key(1), 0), lambda piece: None, lambda: None)
        assert outcome.failure() == GONE
