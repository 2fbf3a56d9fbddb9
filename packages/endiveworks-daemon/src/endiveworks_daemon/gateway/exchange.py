"""One request on its way: what has been tried, how much time is left, what may have run."""

import time
from typing import NamedTuple

from endiveworks.gateway.messages import Dialect, Request
from endiveworks.gateway.routes import Route, RoutingTable
from endiveworks.gateway.waiting import Waiter

from .fleet import Fleet
from .turn_store import TurnStore
from .upstreams import ConnectionPool


class Context(NamedTuple):
    """The parts of the process that serve requests."""

    dialect: Dialect
    fleet: Fleet
    pool: ConnectionPool
    turns: TurnStore


class UnservedError(Exception):
    """Raised when a request ends without a replica's answer.

    Attributes:
        status: HTTP status for the caller.
        reason: Why, for the logs.
        retry_after_s: When the caller may come back; None for never.
    """

    def __init__(self, status: int, reason: str, retry_after_s: float | None = None) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s


class Exchange:
    """State of one request.

    Args:
        request: The request.
        body: Its body as the caller sent it.
        route: Its route.
        service: The service that is to answer it.
        table: Configuration under which it arrived.
    """

    def __init__(
        self, request: Request, body: bytes, route: Route, service: str, table: RoutingTable
    ) -> None:
        self.request = request
        self.body = body
        self.route = route
        self.service = service
        self.table = table
        self.arrived_s = time.monotonic()
        left_s = route.timeout_s
        if request.left_s is not None:
            left_s = min(left_s, request.left_s)
        self.give_up_s = self.arrived_s + left_s
        self.excluded: set[str] = set()
        self.ran_on: set[str] = set()
        self.sends = 0
        self.replica = ""
        self.cost_ms = 0.0
        self.queued_s = 0.0

    @property
    def may_have_run(self) -> bool:
        """Tells whether a replica may have begun to work on the request."""
        return self.sends > 0

    def left_s(self) -> float:
        """Returns the time left for an answer."""
        return self.give_up_s - time.monotonic()

    def waiter(self) -> Waiter:
        """Returns the request's place in a waiting line."""
        program = self.request.program
        due_s = self.give_up_s
        if program is not None and program.left_s is not None:
            due_s = self.arrived_s + program.left_s
        return Waiter(self.request.id, self.route.priority, due_s, self.arrived_s, self.give_up_s)
