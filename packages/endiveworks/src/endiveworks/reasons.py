"""The reasons returned with every decision, used to explain and replay it."""

from typing import NamedTuple


class Reason(NamedTuple):
    """One input to a decision.

    Attributes:
        rule: Stable name of the rule.
        value: The number compared; the suffix of the rule's name is its unit.
        subject: Host, class, tenant or tool that the rule applies to; empty when there is none.
    """

    rule: str
    value: float
    subject: str = ""


Reasons = tuple[Reason, ...]
