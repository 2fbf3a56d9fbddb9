import threading
from collections.abc import Mapping, Sequence
from queue import SimpleQueue

from endiveworks.calls.messages import CallKey
from endiveworks.calls.poll_client import (
    PollClient,
    PollResponse,
    ReadRequest,
    SendPoll,
    Subscriber,
    read_to_end,
)
from endiveworks.calls.poll_server import PollServer
from endiveworks.calls.stream import Chunk, FinalStatus, Stream
from endiveworks.errors import Code, Failure
from returns.result import Failure as Err
from returns.result import Result, Success

DONE = FinalStatus(200, "text/event-stream")
GONE = Failure(Code.CONFLICT, "test", "u", "gone")


def key(call: int) -> CallKey:
    return CallKey("0001-a", call, 1)


def send_locally(streams: Mapping[CallKey, Stream]) -> SendPoll:
    """Returns a function that polls a server of streams in the same process."""
    server = PollServer()

    def send(
        address: str, requests: Sequence[ReadRequest], wait_s: float
    ) -> Result[PollResponse, Failure]:
        found: list[Result[Stream, Failure]] = [
            Success(streams[request.key]) for request in requests
        ]
        replies: SimpleQueue[PollResponse] = SimpleQueue()
        server.poll(found, [request.offset for request in requests], wait_s, replies.put)
        return Success(replies.get(timeout=30))

    return send


class TestPollClient:
    def test_reads_many_responses_to_the_end(self) -> None:
        streams = {key(call): Stream() for call in range(20)}

        client = PollClient(send_locally(streams))
        received: dict[CallKey, bytearray] = {call_key: bytearray() for call_key in streams}

        def read(call_key: CallKey) -> None:
            on_chunk = lambda chunk: received[call_key].extend(chunk.data)  # noqa: E731
            read_to_end(client, "u", ReadRequest(call_key, 0), on_chunk, lambda: None).unwrap()

        threads = [threading.Thread(target=read, args=(call_key,)) for call_key in streams]
        for thread in threads:
            thread.start()
        for part in (b"one ", b"two ", b"three"):
            for stream in streams.values():
                stream.append(part)
        for stream in streams.values():
            stream.finish(DONE)
        for thread in threads:
            thread.join(30)
        assert all(data == b"one two three" for data in received.values())

    def test_an_unreachable_peer_ends_every_subscription(self) -> None:
        client = PollClient(lambda address, requests, wait_s: Err(GONE))
        outcome = read_to_end(client, "u", ReadRequest(key(1), 0), lambda chunk: None, lambda: None)
        assert outcome.failure() == GONE

    def test_a_failed_subscriber_is_removed_and_the_others_continue(self) -> None:
        streams = {key(1): Stream(), key(2): Stream()}

        def fail(chunk: Chunk) -> None:
            raise ValueError("fault")

        client = PollClient(send_locally(streams))
        lost: SimpleQueue[Failure] = SimpleQueue()
        client.subscribe("u", ReadRequest(key(1), 0), Subscriber(fail, lost.put))
        streams[key(1)].append(b"x")
        assert lost.get(timeout=30).code is Code.INTERNAL
        streams[key(2)].finish(DONE)
        ended = read_to_end(client, "u", ReadRequest(key(2), 0), lambda chunk: None, lambda: None)
        assert ended.unwrap().final_status == DONE

    def test_an_exception_in_a_poll_ends_every_subscription(self) -> None:
        def send(
            address: str, requests: Sequence[ReadRequest], wait_s: float
        ) -> Result[PollResponse, Failure]:
            raise ValueError("fault")

        lost: SimpleQueue[Failure] = SimpleQueue()
        PollClient(send).subscribe(
            "u", ReadRequest(key(1), 0), Subscriber(lambda chunk: None, lost.put)
        )
        assert lost.get(timeout=30).code is Code.INTERNAL
