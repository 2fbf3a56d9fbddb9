"""endivectl explain: where a request would go now, and why, without sending it."""

from endiveworks.errors import Code, Failure
from endiveworks.gateway.explanation import (
    Explanation,
    Question,
    decode_explanation,
    read_question,
    write_question,
)
from returns.result import Success

from .exits import Exit, exit_for
from .fetch import fetch
from .output import Column, Invocation, show_failures, show_json, show_rows

_COLUMNS = (
    Column("service", "SERVICE"),
    Column("replica", "REPLICA"),
    Column("software", "SOFTWARE"),
    Column("failure_domain", "DOMAIN"),
    Column("in_flight", "IN_FLIGHT"),
    Column("slots", "SLOTS"),
    Column("cost_ms", "COST_MS"),
)
_STEP = "endivectl.explain"


def explain_request(invocation: Invocation) -> int:
    """Shows for one entry the route of a request, and the replicas in the order of choice."""
    terminal, values = invocation.terminal, invocation.values
    address, hostname, path, *more = invocation.args
    fields = dict(item.partition("=")[::2] for item in more)
    refusal = "" if set(fields) <= set(Question._fields) else "unknown details"
    if not refusal:
        question = Question(**{"hostname": hostname, "path": path} | fields)
        checked = read_question(write_question(question).partition("?")[2])
        refusal = checked if isinstance(checked, str) else ""
    if refusal:
        show_failures(terminal, [Failure(Code.BAD_REQUEST, _STEP, "", refusal)])
        return Exit.USAGE
    found = fetch(address, write_question(question), values.number("timeout_s"), decode_explanation)
    if not isinstance(found, Success):
        show_failures(terminal, [found.failure()])
        return exit_for(found.failure())
    explanation = found.unwrap()
    if terminal.as_json:
        show_json(terminal, explanation)
    else:
        _show(invocation, explanation)
    is_served = any(service["replica"] for service in explanation["services"])
    return Exit.OK if is_served else Exit.REFUSED


def _show(invocation: Invocation, explanation: Explanation) -> None:
    out = invocation.terminal.out
    print(
        f"{explanation['host']}, configuration {explanation['config_version']}:"
        f" {explanation['outcome']} {explanation['route']}".rstrip(),
        file=out,
    )
    for service in explanation["services"]:
        preferred = f"; its program prefers {service['preferred']}" if service["preferred"] else ""
        print(
            f"{service['service']}, {service['share']:.0%} of requests:"
            f" {service['outcome']}{preferred}",
            file=out,
        )
    rows = [row for service in explanation["services"] for row in service["replicas"]]
    show_rows(invocation.terminal, rows, _COLUMNS)
