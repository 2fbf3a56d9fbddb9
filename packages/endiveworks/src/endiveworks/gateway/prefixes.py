"""Estimates which prompt parts each replica has cached, from the requests sent to it."""

from collections import OrderedDict
from collections.abc import Sequence
from typing import NamedTuple


class PromptPart(NamedTuple):
    """A part of a prompt; requests with the same key share it."""

    key: str
    tokens: int


class PromptCache:
    """LRU estimate of the prompt parts in one replica's cache.

    Args:
        capacity_tokens: Tokens that fit into the cache.
    """

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity_tokens = capacity_tokens
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._tokens = 0

    def cached_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Returns how many leading tokens of a prompt are cached, so need no prefill.

        A session's part keeps its key and grows with each turn, so it may be cached in part.
        """
        cached = 0
        for part in parts:
            part_cached = self._parts.get(part.key, 0)
            cached += min(part_cached, part.tokens)
            if part_cached < part.tokens:
                break
        return cached

    def add(self, parts: Sequence[PromptPart]) -> None:
        """Records that a request with these parts was sent to the replica."""
        for part in parts:
            self._tokens += part.tokens - self._parts.pop(part.key, 0)
            self._parts[part.key] = part.tokens
        while self._tokens > self._capacity_tokens and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens
