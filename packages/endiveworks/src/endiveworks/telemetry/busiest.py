"""The busiest labels of an unbounded set, such as tenants, in bounded memory."""

REST = "(rest)"
_DECAY_EVERY = 100_000
_PROMOTION_FACTOR = 2


class Busiest:
    """Counts uses of labels and gives the busiest ones a place of their own.

    Candidates are counted by the Space-Saving algorithm. A label without a place takes one over
    when it is used more than twice as much as the place's holder, so places do not flap.

    Args:
        places: Number of labels with a place of their own.
        candidates: Number of labels that are counted; at least the number of places.
    """

    def __init__(self, places: int, candidates: int) -> None:
        self._places = places
        self._candidates = candidates
        self._uses: dict[str, int] = {}
        self._held: set[str] = set()
        self._seen = 0

    def use(self, label: str) -> tuple[str, str | None]:
        """Counts one use.

        Returns:
            The label to file under, which is REST for one without a place, and the label that
            lost its place by this use, if any.
        """
        self._count(label)
        if label in self._held:
            return label, None
        if len(self._held) < self._places:
            self._held.add(label)
            return label, None
        least = min(self._held, key=lambda held: self._uses.get(held, 0))
        if self._uses[label] <= _PROMOTION_FACTOR * self._uses.get(least, 0):
            return REST, None
        self._held.remove(least)
        self._held.add(label)
        return label, least

    def _count(self, label: str) -> None:
        self._seen += 1
        if self._seen % _DECAY_EVERY == 0:
            self._uses = {name: uses // 2 for name, uses in self._uses.items()}
        if label not in self._uses and len(self._uses) >= self._candidates:
            least = min(self._uses, key=self._uses.__getitem__)
            self._uses[label] = self._uses.pop(least)
        self._uses[label] = self._uses.get(label, 0) + 1
