"""Estimates which prompt parts each replica has cached, from the requests sent to it."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from .names import bounded_name

# Parts of one prompt that are told apart; the rest counts as one part.
MAX_PROMPT_PARTS = 64
# Parts in the estimate of one replica's cache; several times what fits in one.
MAX_CACHED_PARTS = 2_048


class PromptPart(NamedTuple):
    """A part of a prompt; requests with the same key share it."""

    key: str
    tokens: int


def bounded_parts(parts: Iterable[tuple[str, int]]) -> tuple[PromptPart, ...]:
    """Returns the parts of a prompt, from keys and tokens, with a bounded size.

    The keys are chosen by callers. Beyond MAX_PROMPT_PARTS, parts are joined to one.
    """
    found: list[PromptPart] = []
    rest_keys: list[str] = []
    rest_tokens = 0
    for key, tokens in parts:
        if len(found) < MAX_PROMPT_PARTS - 1:
            found.append(PromptPart(bounded_name(key), tokens))
        else:
            rest_keys.append(key)
            rest_tokens += tokens
    if rest_keys:
        found.append(PromptPart(bounded_name(",".join(rest_keys)), rest_tokens))
    return tuple(found)


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
        while self._parts and (
            self._tokens > self._capacity_tokens or len(self._parts) > MAX_CACHED_PARTS
        ):
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens
