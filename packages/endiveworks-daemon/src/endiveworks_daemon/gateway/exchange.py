"""State of one request: which replicas were tried, its deadline, and whether it may have run."""

import contextlib
import functools
import itertools
import time
from collections.abc import Callable, Iterator

import xxhash
from endiveworks.gateway.messages import Request
from endiveworks.gateway.names import bounded_name
from endiveworks.gateway.outcomes import Source
from endiveworks.gateway.request_queue import QueuedRequest
from endiveworks.gateway.routes import Route, RouteType, RoutingTable

_queue_keys = itertools.count()

HEAD_BYTES = 512  # Part of a body that repetitions of other lengths have in common.


class HttpError(Exception):
    """Raised to end a request with a status of the gateway instead of a replica's response.

    Attributes:
        status: HTTP status for the caller.
        reason: Cause, for the log.
        retry_after_s: Time after which the caller may retry; None when it should not.
    """

    def __init__(self, status: int, reason: str, retry_after_s: float | None = None) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s


class Exchange:
    """State of one request.

    Args:
        request: The decoded head of the request.
        body: The body as the caller sent it.
        route: The route that matches it.
        service: The service picked from the route's shares.
        table: The configuration in force when it arrived.
        caller: IP number of the caller; empty if it is not known.

    Attributes:
        deadline_s: Monotonic time at which the request times out.
        excluded: Replicas that are not tried again.
        sent_to: Replicas that may have run it.
        charged: Number of times that it was counted against its tenant's quota.
        charged_s: Monotonic time at which it was counted last.
        send_count: Number of times it was sent to a replica that may have run it.
        replica: The replica chosen last; empty before the first choice.
        cost_ms: Estimated cost of that choice.
        preferred_replica: Replica that its program prefers; empty for none.
        failure_share: Failures at the chosen replica that were known at the choice; see Outcomes.
        queued_s: Total time that it has waited for a replica.
        disk_waits_s: Total time that it has waited for disks, by what for.
        version: Software version that began its stream; None as long as any may serve it.
        has_events: Whether an event was sent to the caller.
        on_sent: Called with the replica and its version when the request was sent to one.
    """

    def __init__(
        self,
        request: Request,
        body: bytes,
        route: Route,
        service: str,
        table: RoutingTable,
        caller: str = "",
    ) -> None:
        self.request = request
        self.body = body
        self.route = route
        self.service = service
        self.table = table
        # Whose turns the request's are, as far as one sender may take room from others.
        self.sender = request.tenant or caller
        self.arrived_s = time.monotonic()
        timeout_s = route.timeout_s
        if request.remaining_s is not None:
            timeout_s = min(timeout_s, request.remaining_s)
        self.deadline_s = self.arrived_s + timeout_s
        self.excluded: set[str] = set()
        self.sent_to: set[str] = set()
        self.send_count = 0
        self.charged = 0
        self.charged_s = 0.0
        self.replica = ""
        self.cost_ms = 0.0
        self.preferred_replica = ""
        self.failure_share = 0.0
        self.queued_s = 0.0
        self.disk_waits_s: dict[str, float] = {}
        self.version: str | None = None
        # Callers choose the ids of their requests, so those of two tenants may be the same.
        self._queue_key = str(next(_queue_keys))
        self.has_events = False
        self.on_sent: Callable[[str, str], None] | None = None

    @functools.cached_property
    def digest(self) -> str:
        """Hash of what a repetition has in common with this request, in hexadecimal."""
        return self._hash(self.body)

    @functools.cached_property
    def source(self) -> Source:
        """Origin of the request, which tells repetitions from different requests."""
        program = self.request.program
        return Source(self.scoped(program.program) if program else "", self.digest)

    @functools.cached_property
    def head_digest(self) -> str:
        """Hash that is also shared by a repetition with a longer or shorter body."""
        return self._hash(self.body[:HEAD_BYTES])

    def _hash(self, body: bytes) -> str:
        request = self.request
        head = f"{request.method} {request.hostname} {request.target}\n"
        digest = xxhash.xxh3_64(self._with_tenant(head).encode())
        digest.update(body)
        return digest.hexdigest()

    def scoped(self, name: str) -> str:
        """Returns a name that no other tenant's request has, for state kept between requests."""
        return self._with_tenant(bounded_name(name))

    def _with_tenant(self, name: str) -> str:
        tenant = self.request.tenant
        return f"{tenant}\n{name}" if tenant and name else name

    @property
    def may_have_run(self) -> bool:
        """Returns whether a replica may have started to run the request."""
        return self.send_count > 0

    @contextlib.contextmanager
    def waits_for_disks(self, step: str) -> Iterator[None]:
        """Counts the time of a wait for disks, also if it is given up."""
        started_s = time.monotonic()
        try:
            yield
        finally:
            waited_s = time.monotonic() - started_s
            self.disk_waits_s[step] = self.disk_waits_s.get(step, 0.0) + waited_s

    def remaining_s(self) -> float:
        """Returns the time until the deadline, negative after it."""
        return self.deadline_s - time.monotonic()

    def queued_request(self) -> QueuedRequest:
        """Returns the request as an element of a service's queue."""
        program = self.request.program
        due_s = self.deadline_s
        if program is not None and program.remaining_s is not None:
            due_s = self.arrived_s + program.remaining_s
        begins = program is not None and self.route.type is RouteType.STREAMING
        begins = begins and not self.request.previous_turn
        tenant = (self.table.tenants or {}).get(self.request.tenant or "")
        return QueuedRequest(
            self._queue_key,
            (tenant.priority if tenant else 0, self.route.priority),
            due_s,
            self.arrived_s,
            self.deadline_s,
            class_name=self.route.name,
            aim_s=self.route.target_latency_s,
            is_first=begins,
            digest=self._repetition_digest(),
            request_id=self.request.id,
        )

    def _repetition_digest(self) -> int:
        """Returns a hash that other programs' requests with the same body don't have."""
        program = self.request.program.program if self.request.program else ""
        text = f"{program}\n{self.request.previous_turn}\n{self.digest}"
        return xxhash.xxh3_64_intdigest(text.encode())
