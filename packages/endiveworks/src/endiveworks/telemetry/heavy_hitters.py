"""Most frequent labels of an unbounded set, such as tenants, in bounded memory."""

REST_LABEL = "(rest)"
_DECAY_EVERY = 100_000
_PROMOTION_FACTOR = 2


class HeavyHitters:
    """Counts the uses of labels and tracks the most frequent ones by name.

    Untracked labels are counted by the Space-Saving algorithm: a new candidate inherits the count
    of the one that it replaces, as its possible overcount. A candidate replaces the tracked label
    with the lowest count once its guaranteed count is more than twice as high, so that labels do
    not alternate.

    Args:
        capacity: Number of tracked labels.
        max_candidates: Number of untracked labels that are counted.
    """

    def __init__(self, capacity: int, max_candidates: int) -> None:
        self._capacity = capacity
        self._max_candidates = max_candidates
        self._tracked: dict[str, int] = {}
        self._candidates: dict[str, int] = {}
        self._overcounts: dict[str, int] = {}
        self._uses = 0

    def record(self, label: str) -> tuple[str, str | None]:
        """Counts one occurrence of a label.

        Returns:
            The label to report under, which is REST_LABEL for an untracked one, and the tracked
            label that this one replaced, if any.
        """
        self._uses += 1
        if self._uses % _DECAY_EVERY == 0:
            self._tracked, self._candidates = _halve(self._tracked), _halve(self._candidates)
            self._overcounts = _halve(self._overcounts)
        if label in self._tracked or len(self._tracked) < self._capacity:
            self._tracked[label] = self._tracked.get(label, 0) + 1
            return label, None
        guaranteed = self._count_candidate(label)
        smallest = min(self._tracked, key=self._tracked.__getitem__)
        if guaranteed <= _PROMOTION_FACTOR * self._tracked[smallest]:
            return REST_LABEL, None
        self._tracked[label] = guaranteed
        self._candidates.pop(label)
        self._overcounts.pop(label, None)
        self._candidates[smallest] = self._tracked.pop(smallest)
        return label, smallest

    def _count_candidate(self, label: str) -> int:
        """Counts an untracked label and returns the guaranteed part of its count."""
        if label not in self._candidates and len(self._candidates) >= self._max_candidates:
            smallest = min(self._candidates, key=self._candidates.__getitem__)
            self._candidates[label] = self._overcounts[label] = self._candidates.pop(smallest)
            self._overcounts.pop(smallest, None)
        self._candidates[label] = self._candidates.get(label, 0) + 1
        return self._candidates[label] - self._overcounts.get(label, 0)


def _halve(counts: dict[str, int]) -> dict[str, int]:
    return {name: count // 2 for name, count in counts.items()}
