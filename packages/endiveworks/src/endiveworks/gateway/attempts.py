"""Decides where a request that was sent to replicas before may be sent next.

A replica that broke off a request may still be working on it, so the number of replicas that get
the same request is bounded. Which of them may get it again depends on what is known of them now.
"""

from collections.abc import Collection
from typing import NamedTuple


class Tried(NamedTuple):
    """What became of a request so far.

    Attributes:
        sent_to: Replicas that may have run it, without those that are known to have ended.
        excluded: Replicas that must not get it again.
        max_attempts: Replicas that may get it in all.
    """

    sent_to: Collection[str]
    excluded: Collection[str]
    max_attempts: int


class NextAttempt(NamedTuple):
    """Where a request goes next.

    Attributes:
        replica: The replica that gets it; empty to choose one, or if there is none.
        may_choose: Whether any replica that takes requests may be chosen.
    """

    replica: str
    may_choose: bool


def next_attempt(tried: Tried, preferred: str, repeatable: Collection[str]) -> NextAttempt:
    """Returns where a request goes next.

    Args:
        tried: What became of it so far.
        preferred: The replica to try first; empty for none.
        repeatable: Replicas that may get a request again, as far as is known of them.
    """
    again = [r for r in sorted(tried.sent_to) if r in repeatable and r not in tried.excluded]
    if preferred in again:
        return NextAttempt(preferred, may_choose=False)
    if len(tried.sent_to) < tried.max_attempts:
        return NextAttempt("", may_choose=True)
    return NextAttempt(again[0] if again else "", may_choose=False)
