"""Client of long polls that read many responses with one message, not one per token."""

import itertools
import threading
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Code, Failure
from ..telemetry.logs import logger
from .messages import CallKey
from .stream import Chunk

POLL_WAIT_S = 0.25
_TICK_S = 1.0


class ReadRequest(NamedTuple):
    """A request for the bytes of a response from an offset on."""

    key: CallKey
    offset: int


class ClosedStream(NamedTuple):
    """The last chunk of a requested response, or why the response is not available.

    Attributes:
        position: Index among the requests of the poll.
        result: The last chunk, or the failure.
    """

    position: int
    result: Result[Chunk, Failure]


class PollResponse(NamedTuple):
    """Response to a poll of several streams.

    The first three lists have one item per stream that has new bytes and has not ended.

    Attributes:
        positions: Indexes among the requests of the poll.
        generations: Generations of the responses.
        data: Bytes from the requested offsets on.
        closed: Streams that have ended or are not available.
    """

    positions: list[int]
    generations: list[int]
    data: list[bytes]
    closed: list[ClosedStream]


# Polls an address for the requested bytes, waiting the given seconds for the first of them.
SendPoll = Callable[[str, Sequence[ReadRequest], float], Result[PollResponse, Failure]]


class Subscriber(NamedTuple):
    """Callbacks of a subscription.

    Attributes:
        on_chunk: Called with each chunk; the last one has a final status.
        on_error: Called with the failure after which no more chunks follow.
    """

    on_chunk: Callable[[Chunk], None]
    on_error: Callable[[Failure], None]


class _Subscription:
    """A subscription to one response stream."""

    def __init__(self, request: ReadRequest, subscriber: Subscriber) -> None:
        self.request = request
        self.subscriber = subscriber


class PollClient:
    """Subscribes to response streams of other processes, with one thread per address.

    Args:
        send: Polls an address.
    """

    def __init__(self, send: SendPoll) -> None:
        self._send = send
        self._lock = threading.Lock()
        self._subscriptions: dict[str, dict[int, _Subscription]] = {}
        self._ids = itertools.count()

    def subscribe(
        self, address: str, request: ReadRequest, subscriber: Subscriber
    ) -> Callable[[], None]:
        """Subscribes to a response stream and returns the function that unsubscribes.

        The callbacks run on the thread of the address and must not block.
        """
        subscription_id = next(self._ids)
        with self._lock:
            active = self._subscriptions.get(address)
            if active is None:
                active = self._subscriptions[address] = {}
                args = (address, active)
                name = f"pull-{address}"
                threading.Thread(target=self._run, args=args, name=name, daemon=True).start()
            active[subscription_id] = _Subscription(request, subscriber)

        def unsubscribe() -> None:
            with self._lock:
                active.pop(subscription_id, None)

        return unsubscribe

    def _run(self, address: str, active: dict[int, _Subscription]) -> None:
        while True:
            with self._lock:
                subscriptions = dict(active)
                if not subscriptions:
                    del self._subscriptions[address]
                    return
            requests = [subscription.request for subscription in subscriptions.values()]
            result = self._poll(address, requests)
            if isinstance(result, Success):
                self._dispatch(active, subscriptions, result.unwrap())
            else:
                self._fail(active, subscriptions, result.failure())

    def _poll(self, address: str, requests: Sequence[ReadRequest]) -> Result[PollResponse, Failure]:
        try:
            return self._send(address, requests, POLL_WAIT_S)
        except Exception as exc:  # Without the thread, the address's subscriptions would hang.
            logger("calls").error("pull_failed", peer=address, exc_info=exc)
            return Err(Failure(Code.INTERNAL, "calls.pull", address, "polling failed"))

    def _dispatch(
        self,
        active: dict[int, _Subscription],
        subscriptions: Mapping[int, _Subscription],
        response: PollResponse,
    ) -> None:
        requested = list(subscriptions.items())
        for position, generation, data in zip(*response[:3], strict=True):
            subscription_id, subscription = requested[position]
            key, offset = subscription.request
            subscription.request = ReadRequest(key, offset + len(data))
            self._notify(
                active, subscription_id, subscription, Chunk(offset, data, None, generation)
            )
        for position, result in response.closed:
            subscription_id, subscription = requested[position]
            if isinstance(result, Success):
                self._remove(active, subscription_id)
                self._notify(active, subscription_id, subscription, result.unwrap())
            else:
                self._fail(active, {subscription_id: subscription}, result.failure())

    def _notify(
        self,
        active: dict[int, _Subscription],
        subscription_id: int,
        subscription: _Subscription,
        chunk: Chunk,
    ) -> None:
        try:
            subscription.subscriber.on_chunk(chunk)
        except Exception as exc:  # The thread serves the address's other subscriptions too.
            key = subscription.request.key
            logger("calls").error(
                "listener_failed", program=key.program, call=key.call, exc_info=exc
            )
            failure = Failure(
                Code.INTERNAL, "calls.pull", "", "the subscriber failed to handle a chunk"
            )
            self._fail(active, {subscription_id: subscription}, failure)

    def _fail(
        self,
        active: dict[int, _Subscription],
        subscriptions: Mapping[int, _Subscription],
        failure: Failure,
    ) -> None:
        for subscription_id, subscription in subscriptions.items():
            self._remove(active, subscription_id)
            subscription.subscriber.on_error(failure)

    def _remove(self, active: dict[int, _Subscription], subscription_id: int) -> None:
        with self._lock:
            active.pop(subscription_id, None)


def read_to_end(
    client: PollClient,
    address: str,
    request: ReadRequest,
    on_chunk: Callable[[Chunk], None],
    each_second: Callable[[], None],
) -> Result[Chunk, Failure]:
    """Reads a response stream to its end and returns the last chunk.

    Args:
        client: Client to subscribe with.
        address: Address of the process that has the response.
        request: The response, and the offset to read from.
        on_chunk: Called with each chunk, on another thread.
        each_second: Called about once a second until the response ends.

    Returns:
        The chunk with the final status, or why the rest is not available.
    """
    ended = threading.Event()
    results: list[Result[Chunk, Failure]] = []

    def handle_chunk(chunk: Chunk) -> None:
        on_chunk(chunk)
        if chunk.final_status is not None:
            results.append(Success(chunk))
            ended.set()

    def handle_error(failure: Failure) -> None:
        results.append(Err(failure))
        ended.set()

    client.subscribe(address, request, Subscriber(handle_chunk, handle_error))
    while not ended.wait(_TICK_S):
        each_second()
    return results[0]
