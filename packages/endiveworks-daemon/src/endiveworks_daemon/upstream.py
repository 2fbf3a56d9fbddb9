"""The upstream process, which runs beside one engine or plain service."""

import math
import random
import time
from collections.abc import Callable

from endiveworks.admission.admission_queue import AdmissionContext, AdmissionQueue, executor_queue
from endiveworks.cache.eviction import TokenRates
from endiveworks.calls.executor import Executor
from endiveworks.config.bundle import Service
from endiveworks.engines.memory import engine_memory
from endiveworks.engines.orders import engine_orders
from endiveworks.links import server
from endiveworks.links.threads import start_forever
from endiveworks.members.member import Member
from endiveworks.orders.slots import Holder
from endiveworks.settings.flags import Values
from endiveworks.telemetry.logs import logger
from endiveworks.telemetry.metrics import Metrics
from endiveworks.wire.gen import Executor as ExecutorThrift

from .address_lock import AddressLock
from .deployment import Deployment, make_deployment
from .engine_orders import OrderSender, OrderSenderContext
from .executor_service import ExecutorService
from .explain import admission_reason_rows
from .metering import instrument_queue
from .operators import ProcessLoad, serve_operators
from .prefix_eviction import PrefixEviction
from .prefix_lease_manager import PrefixLeaseManager
from .pull_replies import with_async_pull
from .return_estimator import ReturnEstimator
from .upstream_run import runner, with_evictions, with_model, with_return_tracking

_SLOTS_BEFORE_CONFIG = 1
_EXPIRE_INTERVAL_S = 1.0
# Longest time from the expiry of an owner's lease until the next owner has opened the partition:
# the grace period of members plus the takeover delays of four ranks.
_TAKEOVER_S = 20.0


def start_upstream(cfg: Values) -> Callable[[], bool]:
    """Starts the process; returns a function that stops it and returns whether it drained."""
    deployment = make_deployment(cfg)
    identity = deployment.identity
    metrics = Metrics(cfg.text("statsd"), cfg.text("host"))
    memory = engine_memory(cfg.text("upstream_url"))
    lease_manager = PrefixLeaseManager(memory, lambda: _is_model(deployment, cfg.text("service")))
    admission_ctx = AdmissionContext(
        identity.host,
        lambda: _service(deployment, cfg.text("service")),
        lease_manager.memory_tokens,
        cfg.integer("max_waiting"),
    )
    admission = AdmissionQueue(admission_ctx, random.Random(identity.incarnation))
    sender: OrderSender
    return_estimator = ReturnEstimator()
    executor = Executor(
        host=identity.host,
        incarnation=identity.incarnation,
        queue=with_return_tracking(
            instrument_queue(executor_queue(admission), metrics), return_estimator
        ),
        run=with_evictions(
            with_model(
                runner(cfg.text("upstream_url"), cfg.number("silence_s")),
                lambda: sender.model(),
            ),
            PrefixEviction(
                memory, lease_manager.read_memory_tokens, _token_rates(cfg), return_estimator
            ),
            admission.stats.estimate_tokens,
        ),
        slots=lambda: _slots(deployment, cfg.text("service")),
    )
    sender = OrderSender(
        _sender_context(cfg, deployment, executor), random.Random(identity.incarnation)
    )
    service = ExecutorService(
        identity, executor, deployment.record_sender, deployment.encoded_bundle, lease_manager
    )
    lease_manager.start()
    start_forever("expire", lambda: _expire(executor))
    thrift_server = server.serve(
        with_async_pull(ExecutorThrift.Processor(service), service),
        cfg.text("listen"),
        cfg.integer("max_connections"),
    )
    admin_server = serve_operators(
        cfg,
        deployment,
        metrics,
        lambda: ProcessLoad(*executor.load(), 0),
        lambda limit: [],
        lambda program: admission_reason_rows(identity.host, admission.explain(program)),
        sender.status,
    )
    deployment.register(_member(cfg, deployment, thrift_server.address, admin_server.address))
    sender.start()
    logger("daemon").info("listening", thrift=thrift_server.address, admin=admin_server.address)

    def stop() -> bool:
        deployment.drain()
        drained = executor.drain(
            cfg.number("drain_s"), lambda: _abandoned_before_s(deployment, cfg.number("lease_s"))
        )
        deployment.deregister()
        return drained

    return stop


def _abandoned_before_s(deployment: Deployment, lease_s: float) -> float:
    """Returns a time t such that a response not requested since t will not be requested again.

    A live owner requests a response every few seconds. The next owner of a partition requests it
    once it has opened the partition, which needs the key-value service: during an outage of that
    service, no response counts as abandoned.
    """
    available_since_s = deployment.kv_available_since_s()
    takeover_s = lease_s + _TAKEOVER_S
    if available_since_s is None or time.monotonic() - available_since_s < takeover_s:
        return -math.inf
    return time.monotonic() - takeover_s


def _expire(executor: Executor) -> None:
    while True:
        time.sleep(_EXPIRE_INTERVAL_S)
        executor.expire()


def _sender_context(cfg: Values, deployment: Deployment, executor: Executor) -> OrderSenderContext:
    identity = deployment.identity
    name = cfg.text("service")

    def other_hosts() -> frozenset[str]:
        hosts = (host for host, member in deployment.usable().items() if member.service == name)
        return frozenset(hosts) - {identity.host}

    return OrderSenderContext(
        me=Holder(identity.host, identity.incarnation),
        kv=deployment.kv,
        engine=engine_orders(cfg.text("upstream_url")),
        service=lambda: None if deployment.draining else _service(deployment, name),
        lease=deployment.lease,
        other_hosts=other_hosts,
        set_admitting=executor.set_admitting,
        set_accepting=deployment.set_accepting,
        idle=lambda: executor.load() == (0, 0),
        guard=AddressLock(cfg.text("order_guard")),
    )


def _token_rates(cfg: Values) -> TokenRates:
    return TokenRates(cfg.number("prefill_tokens_per_s"), cfg.number("transfer_tokens_per_s"))


def _service(deployment: Deployment, name: str) -> Service | None:
    return deployment.bundle().services.get(name)


def _is_model(deployment: Deployment, name: str) -> bool:
    service = _service(deployment, name)
    return service is not None and service.kind == "model"


def _slots(deployment: Deployment, name: str) -> int:
    service = _service(deployment, name)
    return service.slots if service is not None else _SLOTS_BEFORE_CONFIG


def _member(cfg: Values, deployment: Deployment, address: str, admin: str) -> Member:
    identity = deployment.identity
    return Member(
        host=identity.host,
        address=cfg.text("advertise") or address,
        role="upstream",
        service=cfg.text("service"),
        region=identity.region,
        failure_domain=identity.failure_domain,
        incarnation=identity.incarnation,
        admin=admin,
    )
