"""The busiest labels of an unbounded set, such as tenants, in bounded memory."""

REST = "(rest)"
_DECAY_EVERY = 100_000
_PROMOTION_FACTOR = 2


class Busiest:
    """Counts uses of labels and gives the busiest ones a place of their own.

    Candidates are counted by the Space-Saving algorithm: a newcomer takes over the count of the
    candidate that it replaces, and that part of its count is not certain to be its own. A label
    without a place takes one over when it is certain to be used more than twice as much as the
    place's holder, so places do not flap.

    Args:
        places: Number of labels with a place of their own.
        candidates: Number of labels without a place that are counted.
    """

    def __init__(self, places: int, candidates: int) -> None:
        self._places = places
        self._candidates = candidates
        self._held: dict[str, int] = {}
        self._waiting: dict[str, int] = {}
        self._uncertain: dict[str, int] = {}
        self._seen = 0

    def use(self, label: str) -> tuple[str, str | None]:
        """Counts one use.

        Returns:
            The label to file under, which is REST for one without a place, and the label that
            lost its place by this use, if any.
        """
        self._seen += 1
        if self._seen % _DECAY_EVERY == 0:
            self._held, self._waiting = _halved(self._held), _halved(self._waiting)
            self._uncertain = _halved(self._uncertain)
        if label in self._held or len(self._held) < self._places:
            self._held[label] = self._held.get(label, 0) + 1
            return label, None
        certain = self._count(label)
        least = min(self._held, key=self._held.__getitem__)
        if certain <= _PROMOTION_FACTOR * self._held[least]:
            return REST, None
        self._held[label] = certain
        self._waiting.pop(label)
        self._uncertain.pop(label, None)
        self._waiting[least] = self._held.pop(least)
        return label, least

    def _count(self, label: str) -> int:
        """Counts a label without a place, and returns the uses that are certainly its own."""
        if label not in self._waiting and len(self._waiting) >= self._candidates:
            least = min(self._waiting, key=self._waiting.__getitem__)
            self._waiting[label] = self._uncertain[label] = self._waiting.pop(least)
            self._uncertain.pop(least, None)
        self._waiting[label] = self._waiting.get(label, 0) + 1
        return self._waiting[label] - self._uncertain.get(label, 0)


def _halved(counts: dict[str, int]) -> dict[str, int]:
    return {name: count // 2 for name, count in counts.items()}
