"""News on many answers in one message, so that a token costs no message of its own."""

import itertools
import threading
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Code, Failure
from ..telemetry.logs import logger
from .messages import CallKey
from .stream import Piece

PULL_WAIT_S = 0.25
_TICK_S = 1.0


class Want(NamedTuple):
    """A wish for bytes of an answer from an offset on."""

    key: CallKey
    offset: int


class Pulled(NamedTuple):
    """News on the want at a position, which has ended or can't be had."""

    position: int
    news: Result[Piece, Failure]


class News(NamedTuple):
    """News on some of several wants.

    The first three have one item for each answer that goes on.

    Attributes:
        positions: Positions among the wants.
        generations: Generations of the answers.
        data: Bytes that follow the offsets wanted.
        others: Answers that have ended, or can't be had.
    """

    positions: list[int]
    generations: list[int]
    data: list[bytes]
    others: list[Pulled]


# Sends wants to an address and returns the news; it waits some seconds for the first.
Send = Callable[[str, Sequence[Want], float], Result[News, Failure]]


class Listener(NamedTuple):
    """What a follower does with its news.

    Attributes:
        take: Takes a piece; the last one has an ending.
        lost: Is told why there will be no more pieces.
    """

    take: Callable[[Piece], None]
    lost: Callable[[Failure], None]


class _Follower:
    """One answer that is followed."""

    def __init__(self, want: Want, listener: Listener) -> None:
        self.want = want
        self.listener = listener


class Puller:
    """Follows answers at other processes, with one thread for each address.

    Args:
        send: Sends wants to an address.
    """

    def __init__(self, send: Send) -> None:
        self._send = send
        self._lock = threading.Lock()
        self._groups: dict[str, dict[int, _Follower]] = {}
        self._numbers = itertools.count()

    def follow(self, address: str, want: Want, listener: Listener) -> Callable[[], None]:
        """Follows an answer and returns the function that ends this early.

        The listener is called on the thread of the address and must not block.
        """
        number = next(self._numbers)
        with self._lock:
            group = self._groups.get(address)
            if group is None:
                group = self._groups[address] = {}
                args = (address, group)
                name = f"pull-{address}"
                threading.Thread(target=self._work, args=args, name=name, daemon=True).start()
            group[number] = _Follower(want, listener)

        def end() -> None:
            with self._lock:
                group.pop(number, None)

        return end

    def _work(self, address: str, group: dict[int, _Follower]) -> None:
        while True:
            with self._lock:
                followers = dict(group)
                if not followers:
                    del self._groups[address]
                    return
            wants = [follower.want for follower in followers.values()]
            outcome = self._ask(address, wants)
            if isinstance(outcome, Success):
                self._deliver(group, followers, outcome.unwrap())
            else:
                self._lose(group, followers, outcome.failure())

    def _ask(self, address: str, wants: Sequence[Want]) -> Result[News, Failure]:
        try:
            return self._send(address, wants, PULL_WAIT_S)
        except Exception as exc:  # Without its thread, the followers of the address would hang.
            logger("calls").error("pull_failed", peer=address, exc_info=exc)
            return Err(Failure(Code.INTERNAL, "calls.pull", address, "asking for news failed"))

    def _deliver(
        self, group: dict[int, _Follower], followers: Mapping[int, _Follower], news: News
    ) -> None:
        asked = list(followers.items())
        for position, generation, data in zip(*news[:3], strict=True):
            number, follower = asked[position]
            key, offset = follower.want
            follower.want = Want(key, offset + len(data))
            self._tell(group, number, follower, Piece(offset, data, None, generation))
        for position, outcome in news.others:
            number, follower = asked[position]
            if isinstance(outcome, Success):
                self._end(group, number)
                self._tell(group, number, follower, outcome.unwrap())
            else:
                self._lose(group, {number: follower}, outcome.failure())

    def _tell(
        self, group: dict[int, _Follower], number: int, follower: _Follower, piece: Piece
    ) -> None:
        try:
            follower.listener.take(piece)
        except Exception as exc:  # The thread of the address serves the other followers too.
            key = follower.want.key
            logger("calls").error(
                "listener_failed", program=key.program, call=key.call, exc_info=exc
            )
            failure = Failure(Code.INTERNAL, "calls.pull", "", "an answer could not be taken")
            self._lose(group, {number: follower}, failure)

    def _lose(
        self, group: dict[int, _Follower], followers: Mapping[int, _Follower], failure: Failure
    ) -> None:
        for number, follower in followers.items():
            self._end(group, number)
            follower.listener.lost(failure)

    def _end(self, group: dict[int, _Follower], number: int) -> None:
        with self._lock:
            group.pop(number, None)


def pull_to_end(
    puller: Puller,
    address: str,
    want: Want,
    take: Callable[[Piece], None],
    each_second: Callable[[], None],
) -> Result[Piece, Failure]:
    """Follows an answer until it ends, and returns its last piece.

    Args:
        puller: Does the following.
        address: Process that has the answer.
        want: The answer, and how much of it is known.
        take: Takes each piece, on another thread.
        each_second: Is called about once a second while the answer goes on.

    Returns:
        The piece with the ending, or why the rest was not had.
    """
    ended = threading.Event()
    last: list[Result[Piece, Failure]] = []

    def take_piece(piece: Piece) -> None:
        take(piece)
        if piece.ending is not None:
            last.append(Success(piece))
            ended.set()

    def lost(failure: Failure) -> None:
        last.append(Err(failure))
        ended.set()

    puller.follow(address, want, Listener(take_piece, lost))
    while not ended.wait(_TICK_S):
        each_second()
    return last[0]
