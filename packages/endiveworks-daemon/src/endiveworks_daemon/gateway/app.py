"""Routes and serves the requests of callers."""

import asyncio
import contextlib
import random
import time
from collections.abc import Callable

from endiveworks.gateway.authentication import Freshness, Refusal, authenticate
from endiveworks.gateway.cluster_state import ClusterState
from endiveworks.gateway.explanation import Explanation, Question
from endiveworks.gateway.messages import Request
from endiveworks.gateway.request_queue import retry_after_s
from endiveworks.gateway.routes import (
    Limits,
    Route,
    RouteType,
    RoutingTable,
    match_route,
    pick_service,
)
from endiveworks.telemetry import logs
from endiveworks.telemetry.metrics import Metrics

from .admission import STATUS_UNAVAILABLE
from .buffered import serve_buffered
from .callers import CallerDisconnectedError, RawRequest, Responder
from .context import Context
from .exchange import Exchange, HttpError
from .explain import explain
from .quotas import STATUS_OVER_QUOTA
from .request_log import RequestLog
from .retries import STATUS_BAD_GATEWAY, STATUS_TIMEOUT
from .stream import STATUS_BUDGET_SPENT, serve_stream
from .upstreams import ResponseError

STATUS_BAD_REQUEST = 400
STATUS_UNAUTHORIZED = 401
STATUS_NOT_FOUND = 404
STATUS_INTERNAL = 500
CONFIG_WAIT_S = 0.25  # A store that can be reached is read within this time, also across regions.
NOT_CONFIGURED_RETRY_S = 0.5  # A process loads its configuration within this time of its start.
TIMED_OUT_RETRY_S = 0.2  # No wait can be predicted, and the caller's deadline is close.

_DEFAULT_LIMITS = Limits()


class Gateway:
    """Serves requests under the newest configuration that it has received.

    Args:
        context: Shared components of the process.
        metrics: Receives the counters and histograms of requests.
        freshness: Returns how far the local copy of the configuration can be relied on.

    Attributes:
        in_flight: Number of requests that are being served.
    """

    def __init__(
        self, context: Context, metrics: Metrics, freshness: Callable[[], Freshness]
    ) -> None:
        self._context = context
        self._freshness = freshness
        self._metrics = metrics
        self._state: ClusterState | None = None
        self._log = RequestLog()
        self._configured = asyncio.Event()
        self.in_flight = 0

    def apply_state(self, state: ClusterState) -> None:
        """Applies a new cluster state; a configuration older than the current one is ignored."""
        before = self._state.table if self._state else None
        table = state.table
        if before is not None and (table is None or table.version < before.version):
            state = state._replace(table=before)
        elif table is not None and (before is None or table.version > before.version):
            logs.logger("config").info(
                "config_adopted", config_version=table.version, revision=state.revision
            )
        self._state = state
        if state.table is not None:
            self._configured.set()
        services = state.table.services if state.table else {}
        self._context.fleet.update(state.replicas, services)
        self._context.turns.adopt(state.view)
        self._context.quotas.update((state.table.tenants if state.table else None) or {})

    def limits(self) -> Limits:
        """Returns the limits on requests and connections that are in force."""
        table = self._state.table if self._state else None
        return table.limits if table else _DEFAULT_LIMITS

    def is_ready(self) -> bool:
        """Returns whether there are a configuration, replicas and enough reachable disks."""
        table = self._state.table if self._state else None
        turns = self._context.turns
        return table is not None and bool(self._context.fleet.table.ids()) and turns.is_reachable()

    def explain(self, question: Question) -> Explanation:
        """Returns where a request would go now, without sending it."""
        table = self._state.table if self._state else None
        return explain(self._context.origins.host, self._context.fleet, table, question)

    async def handle(self, received: RawRequest, responder: Responder) -> None:
        """Serves one request and counts it as in flight until it ends."""
        self.in_flight += 1
        try:
            if received.refused_for_s is None:
                await self._handle(received, responder)
            else:
                await self._refuse(received, received.refused_for_s, responder)
        finally:
            self.in_flight -= 1

    async def _refuse(self, received: RawRequest, wait_s: float, responder: Responder) -> None:
        """Answers a request for which there was no memory."""
        request = self._context.dialect.read_request(
            received.method, received.target, received.headers
        )
        request_id = "" if isinstance(request, str) else request.id
        error = HttpError(
            STATUS_UNAVAILABLE, "too little memory is free", retry_after_s(wait_s, random.random())
        )
        await self._send_error(None, responder, request_id, error)

    async def _handle(self, received: RawRequest, responder: Responder) -> None:
        request = self._context.dialect.read_request(
            received.method, received.target, received.headers
        )
        if isinstance(request, str):
            await self._send_error(None, responder, "", HttpError(STATUS_BAD_REQUEST, request))
            return
        await self._wait_until_configured()
        found = self._find_route(request)
        if isinstance(found, HttpError):
            await self._send_error(None, responder, request.id, found)
            return
        table, route = found
        sender = self._identify(table, route, request)
        if isinstance(sender, HttpError):
            if sender.status == STATUS_UNAUTHORIZED:
                self._metrics.count("requests_unauthenticated", class_name=route.name)
            await self._send_error(None, responder, request.id, sender)
            return
        if sender is not None:  # No later step needs the key, so none can pass it on.
            request = request._replace(tenant=sender, credentials=())
        if not route.sticky:
            request = request._replace(affinity_key="")
        service = pick_service(route, random.random())
        ex = Exchange(request, received.body, route, service, table, received.caller)
        await self._serve(ex, responder)

    async def _wait_until_configured(self) -> None:
        """Waits for a moment after the start, rather than sending the caller away for longer."""
        if self._configured.is_set():
            return
        with contextlib.suppress(TimeoutError):  # _find_route then refuses the request.
            async with asyncio.timeout(CONFIG_WAIT_S):
                await self._configured.wait()

    def _find_route(self, request: Request) -> tuple[RoutingTable, Route] | HttpError:
        table = self._state.table if self._state else None
        if table is None:
            return HttpError(
                STATUS_UNAVAILABLE, "no configuration has been loaded yet", NOT_CONFIGURED_RETRY_S
            )
        route = match_route(table, request.hostname, request.target.partition("?")[0])
        if route is None and not self._freshness().is_reachable:
            reason = "no route matches, and the configuration may be outdated"
            return HttpError(STATUS_UNAVAILABLE, reason, NOT_CONFIGURED_RETRY_S)
        if route is None:
            return HttpError(STATUS_NOT_FOUND, "no route matches")
        return table, route

    def _identify(
        self, table: RoutingTable, route: Route, request: Request
    ) -> str | None | HttpError:
        """Returns the name of the tenant that sends a request, see Request.tenant."""
        if table.tenants is None:
            return None
        sender = authenticate(table, route, request.credentials, self._freshness())
        if not isinstance(sender, Refusal):
            return sender.name if sender else ""
        if sender.is_final():
            return HttpError(STATUS_UNAUTHORIZED, sender.value)
        return HttpError(STATUS_UNAVAILABLE, sender.value, NOT_CONFIGURED_RETRY_S)

    async def _serve(self, ex: Exchange, responder: Responder) -> None:
        serve = serve_stream if ex.route.type is RouteType.STREAMING else serve_buffered
        try:
            async with (
                self._context.stop.limited(max(0.0, ex.remaining_s())),
                self._context.quarantine.admitted(ex),
            ):
                await self._context.quotas.admit(ex)
                status = await serve(self._context, ex, responder)
            self._record_end(ex, status, "")
        except HttpError as error:
            await self._send_error(ex, responder, ex.request.id, error)
        except TimeoutError:
            await self._send_timeout(ex, responder)
        except ResponseError as exc:
            broken = HttpError(STATUS_BAD_GATEWAY, f"{type(exc).__name__} {exc}")
            await self._send_error(ex, responder, ex.request.id, broken)
        except CallerDisconnectedError as exc:
            self._record_cut(ex, responder, f"aborted: {type(exc).__name__} {exc}")
            raise
        except asyncio.CancelledError:
            self._record_cut(ex, responder, responder.cut_reason or "the caller disconnected")
            raise
        except Exception as exc:
            logs.logger("gateway").error("request_failed", request=ex.request.id, exc_info=exc)
            status = STATUS_BAD_GATEWAY if ex.may_have_run else STATUS_INTERNAL
            await self._send_error(
                ex, responder, ex.request.id, HttpError(status, "internal error")
            )
        finally:
            self._context.quotas.settle(ex)

    async def _send_timeout(self, ex: Exchange, responder: Responder) -> None:
        if responder.started:
            self._record_cut(ex, responder, "timed out after the response had started")
            raise CallerDisconnectedError
        error = HttpError(STATUS_TIMEOUT, "timed out waiting for a replica")
        if not ex.may_have_run:
            error = HttpError(
                STATUS_UNAVAILABLE, "timed out before a replica ran it", TIMED_OUT_RETRY_S
            )
        await self._send_error(ex, responder, ex.request.id, error)

    async def _send_error(
        self, ex: Exchange | None, responder: Responder, request_id: str, error: HttpError
    ) -> None:
        if responder.started:
            self._record_cut(ex, responder, f"aborted: {error.reason}")
            raise CallerDisconnectedError
        if ex is not None:
            self._record_end(ex, error.status, error.reason)
        else:
            self._log.record_rejection(request_id, error.status, error.reason)
        headers = self._context.dialect.write_error(request_id, error.retry_after_s)
        if error.status == STATUS_UNAUTHORIZED:
            headers = [*headers, (b"WWW-Authenticate", b"Bearer")]
        await responder.respond(error.status, headers, b"")

    def _record_cut(self, ex: Exchange | None, responder: Responder, reason: str) -> None:
        """Logs and counts a request whose response was cut short, or never began."""
        self._record_end(ex, 0, reason, "part" if responder.started else "none")

    def _record_end(
        self, ex: Exchange | None, status: int, reason: str, sent: str = "whole"
    ) -> None:
        """Logs and counts a finished request; status 0 means that its response was cut short."""
        if ex is None:
            return
        took_ms = (time.monotonic() - ex.arrived_s) * 1000
        tenant = ex.request.tenant or ""
        self._metrics.record("request_ms", took_ms, class_name=ex.route.name)
        self._metrics.record("replica_wait_ms", ex.queued_s * 1000, class_name=ex.route.name)
        if not status:
            self._metrics.count("requests_cut", 1, tenant, ex.route.name)
        elif status < STATUS_BAD_REQUEST:
            self._metrics.count("requests_served", 1, tenant, ex.route.name)
        elif status in (STATUS_BUDGET_SPENT, STATUS_OVER_QUOTA, STATUS_UNAVAILABLE):
            self._metrics.count("requests_refused", 1, tenant, ex.route.name)
        else:
            self._metrics.count("requests_failed", 1, tenant, ex.route.name)
        self._log.record_end(ex, status, reason, took_ms, sent)
