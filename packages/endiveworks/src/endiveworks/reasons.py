"""Reasons that every decision returns, so that it can be explained and replayed."""

from typing import NamedTuple


class Reason(NamedTuple):
    """One consideration behind a decision.

    Attributes:
        rule: Stable name of the rule.
        value: The number that it weighed; its unit is the suffix of the rule's name.
        subject: Host, class, tenant or tool concerned; empty when there is none.
    """

    rule: str
    value: float
    subject: str = ""


Reasons = tuple[Reason, ...]
