"""An entry: the callers' HTTP interface and the owner of programs."""

import random
import threading
from collections.abc import Callable
from pathlib import Path

from cheroot import wsgi
from endiveworks.errors import Code, Failure
from endiveworks.journal.file_log import open_journal
from endiveworks.links import server
from endiveworks.links.client import Peers
from endiveworks.members.member import Member
from endiveworks.programs.owner import Owner
from endiveworks.settings.checks import split_address
from endiveworks.settings.flags import Values
from endiveworks.telemetry.logs import logger
from endiveworks.wire.gen import Executor as ExecutorThrift
from endiveworks.wire.gen import Owner as OwnerThrift
from returns.result import Failure as Err
from returns.result import Result, Success

from .choice import Sends
from .deployment import Deployment, join
from .forward import Owners
from .http_app import Gate, Limits, make_app
from .node import Node, local_node, remote_node
from .owner_service import OwnerService
from .upstream_links import upstream_links

_SPARE_THREADS = 16
_MAX_HEADER_BYTES = 16 * 1024
_CALLER_TIMEOUT_S = 30
_PARTITIONS = 16
_FIRST_EPOCH = 1
_RETRY_S = 0.5


def start_entry(cfg: Values) -> Callable[[], bool]:
    """Starts the process and returns the function that stops it."""
    deployment = join(cfg)
    sends = Sends()
    links = upstream_links(
        deployment.identity,
        Peers(ExecutorThrift.Client),
        deployment.members,
        lambda wanted: sends.choose(wanted, deployment.members()),
        sends.done,
    )
    owner = Owner(links, deployment.bundle)
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
    http = _serve_http(cfg, owners, gate)
    deployment.announce(_member(cfg, deployment, listening.address))
    _adopt_all(cfg, deployment, owner)
    logger("daemon").info("listening", thrift=listening.address, http=http)

    def stop() -> bool:
        deployment.leave()
        gate.close()
        drained = gate.wait_empty(cfg.number("drain_s"))
        deployment.forget()
        return drained

    return stop


def _owners(cfg: Values, deployment: Deployment, owner: Owner) -> Owners:
    here = local_node(owner)
    peers = Peers(OwnerThrift.Client)
    identity = deployment.identity

    def node_for(partition: int) -> Result[Node, Failure]:
        holder = _holder(deployment)
        if holder is None:
            detail = f"partition {partition:04x} has no owner yet"
            return Err(Failure(Code.NOT_OWNER, "entry.find", "", detail, True, _RETRY_S))
        if holder.host == identity.host:
            return Success(here)
        return Success(remote_node(peers, identity.origin, holder.address))

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


def _serve_http(cfg: Values, owners: Owners, gate: Gate) -> str:
    limits = Limits(cfg.integer("max_body_bytes"), cfg.integer("max_open"))
    httpd = wsgi.Server(
        split_address(cfg.text("http")),
        make_app(owners, gate, limits),
        numthreads=limits.max_open + _SPARE_THREADS,
        timeout=_CALLER_TIMEOUT_S,
    )
    httpd.max_request_header_size = _MAX_HEADER_BYTES
    httpd.max_request_body_size = limits.max_body_bytes + 1
    httpd.prepare()
    threading.Thread(target=httpd.serve, name="http", daemon=True).start()
    host, port = httpd.bind_addr[:2]
    return f"{host}:{port}"


def _member(cfg: Values, deployment: Deployment, address: str) -> Member:
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
    )
