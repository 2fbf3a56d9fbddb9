"""Explains to operators where a request would go now, by the decisions that serve requests."""

import time
from collections.abc import Awaitable, Callable
from urllib.parse import urlsplit

import msgspec
from endiveworks.gateway.explanation import (
    Explanation,
    Question,
    RankedReplica,
    ServiceOutcome,
    parts_of,
    read_question,
)
from endiveworks.gateway.messages import Program, Request
from endiveworks.gateway.request_queue import QueuedRequest
from endiveworks.gateway.routes import Route, RoutingTable, match_route

from .callers import RawRequest, Responder
from .fleet import Fleet, ReplicaGroup

_JSON = [(b"content-type", b"application/json")]
_STATUS_BAD_REQUEST = 400


def explain(host: str, fleet: Fleet, table: RoutingTable | None, question: Question) -> Explanation:
    """Returns where a request would go now.

    Args:
        host: Name of this process.
        fleet: The replicas.
        table: The configuration in force; None before the first one.
        question: The request.
    """
    if table is None:
        return Explanation(
            host=host, config_version=0, route="", type="", outcome="not configured", services=[]
        )
    route = match_route(table, question.hostname, question.path)
    if route is None:
        outcome = "no route matches"
        return Explanation(
            host=host,
            config_version=table.version,
            route="",
            type="",
            outcome=outcome,
            services=[],
        )
    total = sum(share.weight for share in route.shares)
    services = [
        _outcome(fleet, route, share.service, share.weight / total, question)
        for share in route.shares
    ]
    return Explanation(
        host=host,
        config_version=table.version,
        route=route.name,
        type=route.type.value,
        outcome="the route matches",
        services=services,
    )


def _outcome(
    fleet: Fleet, route: Route, service: str, share: float, question: Question
) -> ServiceOutcome:
    request = _request(route, question)
    group = ReplicaGroup(service, question.software or None)
    now_s = time.monotonic()
    due_s = now_s + route.timeout_s
    queued = QueuedRequest("", (0, route.priority), due_s, now_s, due_s)
    first = fleet.preview(group, request, queued, ())
    outcome = first.refusal or "it is sent at once"
    if not first.refusal and (first.waiting or not first.choice.replica):
        outcome = f"it waits for a free slot, with {first.waiting} others"
    return ServiceOutcome(
        service=service,
        share=share,
        outcome=outcome,
        replica="" if first.refusal else first.choice.replica,
        preferred=first.choice.preferred,
        waiting=first.waiting,
        replicas=_ranking(fleet, group, request, queued),
    )


def _ranking(
    fleet: Fleet, group: ReplicaGroup, request: Request, queued: QueuedRequest
) -> list[RankedReplica]:
    """Returns the replicas in the order of choice, each as if those before it had refused."""
    ranked: list[RankedReplica] = []
    refused: list[str] = []
    while (choice := fleet.preview(group, request, queued, refused).choice).replica:
        refused.append(choice.replica)
        load = fleet.load(choice.replica)
        ranked.append(
            RankedReplica(
                service=group.service,
                replica=choice.replica,
                software=fleet.table.version(choice.replica),
                failure_domain=load.failure_domain,
                in_flight=load.in_flight,
                slots=load.slots,
                cost_ms=round(choice.cost_ms, 1),
            )
        )
    return ranked


def _request(route: Route, question: Question) -> Request:
    return Request(
        id="",
        method="",
        target=question.path,
        hostname=question.hostname,
        headers=[],
        remaining_s=None,
        program=Program(question.program, None, None) if question.program else None,
        parts=parts_of(question),
        affinity_key=question.object if route.sticky else "",
    )


def explain_page(
    answer: Callable[[Question], Explanation],
) -> Callable[[RawRequest, Responder], Awaitable[None]]:
    """Returns the handler of operators' questions."""

    async def handle(received: RawRequest, responder: Responder) -> None:
        question = read_question(urlsplit(received.target).query)
        if isinstance(question, str):
            await responder.respond(_STATUS_BAD_REQUEST, [], f"{question}\n".encode())
            return
        await responder.respond(200, _JSON, msgspec.json.encode(answer(question)))

    return handle
