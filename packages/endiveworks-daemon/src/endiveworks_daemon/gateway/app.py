"""Answers one request of a caller from its arrival to its end."""

import asyncio
import random
import time
from collections.abc import Callable

from endiveworks.gateway.messages import Request
from endiveworks.gateway.picture import Picture
from endiveworks.gateway.routes import (
    Limits,
    Repeat,
    Route,
    RoutingTable,
    match,
    pick_service,
)
from endiveworks.telemetry import logs
from endiveworks.telemetry.metrics import Metrics

from .callers import CallerGoneError, Received, Responder
from .exchange import Context, Exchange, UnservedError
from .obtain import STATUS_BAD_GATEWAY, STATUS_TIMEOUT, STATUS_UNAVAILABLE
from .plain import serve_plain
from .request_log import RequestLog
from .stream import STATUS_BUDGET_SPENT, serve_stream
from .upstreams import AnswerError

STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
STATUS_INTERNAL = 500
NOT_CONFIGURED_S = 0.5  # Time after which a process that has just started knows its configuration.
TIMED_OUT_RETRY_S = 0.2  # Nothing is known of a wait, and the caller's time is nearly over.

_DEFAULT_LIMITS = Limits()


class Gateway:
    """Requests of callers, under the configuration in force.

    Args:
        context: The parts of the process.
        metrics: Where requests are counted.
        is_in_touch: Tells whether the key-value service answers, so that the configuration known
            here is the one in force.
    """

    def __init__(self, context: Context, metrics: Metrics, is_in_touch: Callable[[], bool]) -> None:
        self._context = context
        self._is_in_touch = is_in_touch
        self._metrics = metrics
        self._picture: Picture | None = None
        self._log = RequestLog()
        self.under_way = 0

    def take(self, picture: Picture) -> None:
        """Takes what the key-value service says; the version of the configuration never falls."""
        before = self._picture.table if self._picture else None
        table = picture.table
        if before is not None and (table is None or table.version < before.version):
            picture = picture._replace(table=before)
        elif table is not None and (before is None or table.version > before.version):
            logs.logger("config").info(
                "config_adopted", config_version=table.version, revision=picture.revision
            )
        self._picture = picture
        services = picture.table.services if picture.table else {}
        self._context.fleet.update(picture.replicas, services)
        self._context.turns.adopt(picture.view)

    def limits(self) -> Limits:
        """Returns what callers may send."""
        table = self._picture.table if self._picture else None
        return table.limits if table else _DEFAULT_LIMITS

    def is_ready(self) -> bool:
        """Tells whether requests can be served."""
        table = self._picture.table if self._picture else None
        turns = self._context.turns
        return table is not None and bool(self._context.fleet.ids()) and turns.is_reachable()

    async def handle(self, received: Received, responder: Responder) -> None:
        """Answers a request."""
        self.under_way += 1
        try:
            await self._handle(received, responder)
        finally:
            self.under_way -= 1

    async def _handle(self, received: Received, responder: Responder) -> None:
        read = self._context.dialect.read_request(
            received.method, received.target, received.headers
        )
        if isinstance(read, str):
            await self._refuse(None, responder, "", UnservedError(STATUS_BAD_REQUEST, read))
            return
        found = self._find(read)
        if isinstance(found, UnservedError):
            await self._refuse(None, responder, read.id, found)
            return
        table, route = found
        service = pick_service(route, random.random())
        await self._serve(Exchange(read, received.body, route, service, table), responder)

    def _find(self, request: Request) -> tuple[RoutingTable, Route] | UnservedError:
        table = self._picture.table if self._picture else None
        if table is None:
            return UnservedError(STATUS_UNAVAILABLE, "not configured yet", NOT_CONFIGURED_S)
        route = match(table, request.hostname, request.target.partition("?")[0])
        if route is None and not self._is_in_touch():
            reason = "no route in a configuration that may be old"
            return UnservedError(STATUS_UNAVAILABLE, reason, NOT_CONFIGURED_S)
        if route is None:
            return UnservedError(STATUS_NOT_FOUND, "no route")
        return table, route

    async def _serve(self, ex: Exchange, responder: Responder) -> None:
        serve = serve_stream if ex.route.repeat is Repeat.STREAM else serve_plain
        try:
            async with asyncio.timeout(max(0.0, ex.left_s())):
                status = await serve(self._context, ex, responder)
            self._note(ex, status, "")
        except UnservedError as unserved:
            await self._refuse(ex, responder, ex.request.id, unserved)
        except TimeoutError:
            await self._time_out(ex, responder)
        except (AnswerError, CallerGoneError) as exc:
            self._note(ex, 0, f"broken off: {type(exc).__name__} {exc}")
            raise CallerGoneError from exc
        except asyncio.CancelledError:
            self._note(ex, 0, "the caller left")
            raise
        except Exception as exc:
            logs.logger("gateway").error("request_failed", request=ex.request.id, exc_info=exc)
            status = STATUS_BAD_GATEWAY if ex.may_have_run else STATUS_INTERNAL
            await self._refuse(ex, responder, ex.request.id, UnservedError(status, "a defect"))

    async def _time_out(self, ex: Exchange, responder: Responder) -> None:
        if responder.started:
            self._note(ex, 0, "out of time midway")
            raise CallerGoneError
        unserved = UnservedError(STATUS_TIMEOUT, "out of time at the replica")
        if not ex.may_have_run:
            unserved = UnservedError(STATUS_UNAVAILABLE, "out of time", TIMED_OUT_RETRY_S)
        await self._refuse(ex, responder, ex.request.id, unserved)

    async def _refuse(
        self, ex: Exchange | None, responder: Responder, request_id: str, unserved: UnservedError
    ) -> None:
        if responder.started:
            self._note(ex, 0, f"broken off: {unserved.reason}")
            raise CallerGoneError
        if ex is not None:
            self._note(ex, unserved.status, unserved.reason)
        else:
            self._log.failure(request_id, unserved.status, unserved.reason)
        headers = self._context.dialect.write_refusal(request_id, unserved.retry_after_s)
        await responder.answer(unserved.status, headers, b"")

    def _note(self, ex: Exchange | None, status: int, reason: str) -> None:
        """Logs and counts the end of a request; status 0 stands for one that was broken off."""
        if ex is None:
            return
        took_ms = (time.monotonic() - ex.arrived_s) * 1000
        self._metrics.record("request_ms", took_ms, class_name=ex.route.name)
        self._metrics.record("replica_wait_ms", ex.queued_s * 1000, class_name=ex.route.name)
        if not status:
            self._metrics.count("requests_cut", class_name=ex.route.name)
        elif status < STATUS_BAD_REQUEST:
            self._metrics.count("requests_served", class_name=ex.route.name)
        elif status in (STATUS_BUDGET_SPENT, STATUS_UNAVAILABLE):
            self._metrics.count("requests_refused", class_name=ex.route.name)
        else:
            self._metrics.count("requests_failed", class_name=ex.route.name)
        self._log.ended(ex, status, reason, took_ms)
