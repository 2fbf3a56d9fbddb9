"""Converts the reasons for routing and admission decisions to rows for operators."""

from collections.abc import Iterable, Mapping

from endiveworks.reasons import Reason, Reasons
from endiveworks.telemetry.status import ReasonRow

from .upstream_selector import RoutingDecision


def route_reason_rows(process: str, choices: Iterable[RoutingDecision]) -> list[ReasonRow]:
    """Returns one row for each reason of each upstream choice."""
    return [
        _row(process, "route", "", chosen.at_s, chosen.host, reason)
        for chosen in choices
        for reason in chosen.reasons
    ]


def admission_reason_rows(process: str, attempts: Mapping[str, Reasons]) -> list[ReasonRow]:
    """Returns one row for each reason of each attempt's admission."""
    return [
        _row(process, "admit", attempt, 0.0, "", reason)
        for attempt, reasons in attempts.items()
        for reason in reasons
    ]


def _row(
    process: str, decision: str, attempt: str, at_s: float, chosen: str, reason: Reason
) -> ReasonRow:
    return ReasonRow(
        process=process,
        decision=decision,
        attempt=attempt,
        at_s=at_s,
        chosen=chosen,
        rule=reason.rule,
        value=reason.value,
        subject=reason.subject,
    )
