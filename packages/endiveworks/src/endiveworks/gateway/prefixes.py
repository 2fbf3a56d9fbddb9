"""Prompt parts that each replica is believed to hold, from what was sent there."""

from collections import OrderedDict
from collections.abc import Sequence
from typing import NamedTuple


class Part(NamedTuple):
    """A part of a prompt that requests may share."""

    key: str
    tokens: int


class HeldParts:
    """Parts that one replica holds, least recently used first."""

    def __init__(self, memory_tokens: int) -> None:
        self._memory_tokens = memory_tokens
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._tokens = 0

    def held_tokens(self, parts: Sequence[Part]) -> int:
        """Sums the leading tokens that need not be computed again.

        A session's part keeps its key and grows from turn to turn, so it may be held in part.
        """
        held = 0
        for part in parts:
            known = self._parts.get(part.key, 0)
            held += min(known, part.tokens)
            if known < part.tokens:
                break
        return held

    def add(self, parts: Sequence[Part]) -> None:
        """Notes that a request with these parts was sent to the replica."""
        for part in parts:
            self._tokens += part.tokens - self._parts.pop(part.key, 0)
            self._parts[part.key] = part.tokens
        while self._tokens > self._memory_tokens and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens
