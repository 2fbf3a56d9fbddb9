"""Tokens that the requests in flight from this process take in a replica's memory.

A replica ends when the requests that it holds exceed its memory. Parts that several prompts share
take memory once.
"""

from collections.abc import Sequence

from .prefixes import PromptPart


class TokensInFlight:
    """The prompt parts and the output of the requests in flight at one replica.

    Attributes:
        tokens: Tokens that they take at the most.
    """

    def __init__(self) -> None:
        self._requests: dict[int, tuple[Sequence[PromptPart], int]] = {}
        # Tokens of each part, by the requests that hold it; a session's part grows with each turn.
        self._parts: dict[str, dict[int, int]] = {}
        self.tokens = 0

    def add(self, request: int, parts: Sequence[PromptPart], max_tokens: int) -> None:
        """Adds a request, by an id of the caller's choice."""
        self._requests[request] = (parts, max_tokens)
        self.tokens += max_tokens
        for part in parts:
            holders = self._parts.setdefault(part.key, {})
            before = max(holders.values(), default=0)
            holders[request] = max(part.tokens, holders.get(request, 0))
            self.tokens += max(0, part.tokens - before)

    def remove(self, request: int) -> None:
        """Removes a request; does nothing if it isn't in flight."""
        parts, max_tokens = self._requests.pop(request, ((), 0))
        self.tokens -= max_tokens
        for part in parts:
            holders = self._parts.get(part.key, {})
            if request not in holders:
                continue  # The prompt names the part twice.
            before = max(holders.values())
            del holders[request]
            self.tokens -= before - max(holders.values(), default=0)
            if not holders:
                del self._parts[part.key]

    def fits(self, parts: Sequence[PromptPart], max_tokens: int, capacity_tokens: int) -> bool:
        """Returns whether one more request fits into the replica's memory.

        A request that is larger than the memory fits an empty replica, which will refuse it.

        Args:
            parts: Parts of its prompt.
            max_tokens: Tokens that it may generate.
            capacity_tokens: Tokens that fit into the replica's memory; 0 for no limit.
        """
        if not capacity_tokens or not self._requests:
            return True
        added = max_tokens
        sizes: dict[str, int] = {}
        for part in parts:
            sizes[part.key] = max(part.tokens, sizes.get(part.key, 0))
        for key, tokens in sizes.items():
            added += max(0, tokens - max(self._parts.get(key, {}).values(), default=0))
        return self.tokens + added <= capacity_tokens
