"""Least recently used cache of stored turns, bounded by their size."""

from collections import OrderedDict

from endiveworks.turns.records import Turn

MAX_CACHE_BYTES = 16 * 1024 * 1024  # Cached turns; an eighth of the smallest machine's memory.
TURN_OBJECT_BYTES = 512  # Memory of a cached turn beside its prompt and output.
MAX_KNOWN_IDS = 64  # Ids of cached turns sent with a fetch, so that the reply omits these turns.


class TurnCache:
    """Cache of turns, which never change; any of them may be evicted when another is added."""

    def __init__(self) -> None:
        self._turns: OrderedDict[str, Turn] = OrderedDict()
        self._bytes = 0

    def get(self, turn: str) -> Turn | None:
        """Returns a turn if it is cached, and counts it as used."""
        found = self._turns.get(turn)
        if found is not None:
            self._turns.move_to_end(turn)
        return found

    def add(self, turn: Turn) -> None:
        """Adds a turn and evicts those that were not used for longest."""
        if turn.turn in self._turns:
            return
        self._turns[turn.turn] = turn
        self._bytes += _size(turn)
        while self._bytes > MAX_CACHE_BYTES:
            _, evicted = self._turns.popitem(last=False)
            self._bytes -= _size(evicted)

    def known_ids(self) -> list[str]:
        """Returns the ids of the turns that a disk needs not send."""
        return list(self._turns)[-MAX_KNOWN_IDS:]


def _size(turn: Turn) -> int:
    return TURN_OBJECT_BYTES + len(turn.prompt) + len(turn.output)
