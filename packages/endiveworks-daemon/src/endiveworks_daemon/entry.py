"""An entry: the callers' HTTP interface and the owner of programs."""

import random
from collections.abc import Callable
from pathlib import Path

from endiveworks.errors import Code, Failure
from endiveworks.journal.file_log import open_journal
from endiveworks.links import server
from endiveworks.links.client import Peers
from endiveworks.members.member import Member
from endiveworks.programs.owner import Owner
from endiveworks.settings.flags import Values
from endiveworks.telemetry.logs import logger
from endiveworks.telemetry.metrics import Metrics
from endiveworks.wire.gen import Executor as ExecutorThrift
from endiveworks.wire.gen import Owner as OwnerThrift
from returns.result import Failure as Err
from returns.result import Result, Success

from .callers import serve_callers
from .choice import Choices, Link
from .deployment import Deployment, join
from .explain import route_reasons
from .forward import Owners
from .hold_renewal import HoldRenewal
from .http_app import Gate, Limits, make_app
from .load_reports import LoadReports
from .metering import counted_app, measured_upstreams, program_observer
from .node import Node, local_node, puller, remote_node
from .operators import Work, program_rows, serve_operators
from .owner_service import OwnerService
from .upstream_links import upstream_links

_SETTLE_S = 5.0
_PARTITIONS = 16
_FIRST_EPOCH = 1
_RETRY_S = 0.5


def start_entry(cfg: Values) -> Callable[[], bool]:
    """Starts the process and returns the function that stops it."""
    deployment = join(cfg)
    choices = _choices(cfg, deployment)
    peers = Peers(ExecutorThrift.Client)
    origin = deployment.identity.origin
    links = upstream_links(
        deployment.identity,
        peers,
        deployment.members,
        lambda wanted: choices.choose(wanted, deployment.usable()),
        choices.done,
        deployment.contacted,
    )
    metrics = Metrics(cfg.text("statsd"), cfg.text("host"))
    measured = measured_upstreams(links, metrics)
    owner = Owner(measured, deployment.bundle, program_observer(metrics))
    LoadReports(peers, origin, deployment.members, choices).start()
    HoldRenewal(owner, peers, origin, deployment.members).start()
    gate = Gate(cfg.integer("max_open"))
    service = OwnerService(
        deployment.identity,
        owner,
        deployment.heard,
        deployment.encoded_bundle,
        lambda: deployment.leaving,
    )
    listening = server.serve(
        OwnerThrift.Processor(service), cfg.text("listen"), cfg.integer("max_connections")
    )
    owners = _owners(cfg, deployment, owner)
    limits = Limits(cfg.integer("max_body_bytes"), cfg.integer("max_open"))
    http = serve_callers(cfg, counted_app(make_app(owners, gate, limits), metrics))
    operators = serve_operators(
        cfg,
        deployment,
        metrics,
        lambda: Work(owner.running(), 0, len(owner.owned())),
        lambda limit: program_rows(owner, deployment.identity.host, limit),
        lambda program: route_reasons(deployment.identity.host, choices.explain(program)),
    )
    deployment.announce(_member(cfg, deployment, listening.address, operators.address))
    _adopt_all(cfg, deployment, owner)
    logger("daemon").info(
        "listening", thrift=listening.address, http=http.address, admin=operators.address
    )

    def stop() -> bool:
        deployment.leave()
        gate.close()
        drained = gate.wait_empty(cfg.number("drain_s"))
        http.settle(_SETTLE_S)
        deployment.forget()
        return drained

    return stop


def _choices(cfg: Values, deployment: Deployment) -> Choices:
    link = Link(cfg.number("link_bytes_per_s"), cfg.number("link_delay_s"))
    return Choices(
        deployment.identity.region,
        link,
        cfg.number("prefill_tokens_per_s"),
        random.Random(deployment.identity.incarnation),
    )


def _owners(cfg: Values, deployment: Deployment, owner: Owner) -> Owners:
    here = local_node(owner)
    peers = Peers(OwnerThrift.Client)
    identity = deployment.identity
    pull = puller(peers, identity.origin)

    def node_for(partition: int) -> Result[Node, Failure]:
        holder = _holder(deployment)
        if holder is None:
            detail = f"partition {partition:04x} has no owner yet"
            return Err(Failure(Code.NOT_OWNER, "entry.find", "", detail, True, _RETRY_S))
        if holder.host == identity.host:
            return Success(here)
        return Success(remote_node(peers, pull, identity.origin, holder.address))

    return Owners(
        node_for=node_for,
        pick=lambda: Success(random.randrange(_PARTITIONS)),
        moved=lambda partition, failure: None,
        patience_s=cfg.number("patience_s"),
    )


def _holder(deployment: Deployment) -> Member | None:
    entries = [member for member in deployment.members().values() if member.role == "entry"]
    return min(entries, default=None)


def _adopt_all(cfg: Values, deployment: Deployment, owner: Owner) -> None:
    if not cfg.text("data_dir"):
        return
    journal = open_journal(Path(cfg.text("data_dir")), "local").unwrap()
    for partition in range(_PARTITIONS):
        opened = journal.open_log(partition, _FIRST_EPOCH).unwrap()
        owner.adopt(partition, _FIRST_EPOCH, opened).unwrap()


def _member(cfg: Values, deployment: Deployment, address: str, admin: str) -> Member:
    identity = deployment.identity
    return Member(
        host=identity.host,
        address=address,
        role="entry",
        service="",
        region=identity.region,
        failure_domain=identity.failure_domain,
        incarnation=identity.incarnation,
        has_disk=bool(cfg.text("data_dir")),
        admin=admin,
    )
