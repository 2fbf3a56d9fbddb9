"""The entry role: serves the callers' HTTP interface and owns partitions of programs."""

import random
from collections.abc import Callable
from pathlib import Path

from endiveworks.links import server
from endiveworks.links.client import Peers
from endiveworks.links.link_share import LinkShare
from endiveworks.members.member import Member
from endiveworks.programs.memory import ProgramMemory
from endiveworks.programs.owner import Owner
from endiveworks.programs.plan import Upstreams
from endiveworks.settings.flags import Values
from endiveworks.telemetry.logs import logger
from endiveworks.telemetry.metrics import Metrics
from endiveworks.wire.gen import Executor as ExecutorThrift
from endiveworks.wire.gen import Owner as OwnerThrift

from .caller_memory import program_memory_bytes
from .callers import serve_callers
from .copy_links import CopyLinks
from .deployment import Deployment, make_deployment
from .explain import route_reason_rows
from .http_app import Limits, RequestLimiter, make_app
from .idle_expiry import start_idle_expiry
from .journal_folder import open_folder
from .load_poller import LoadPoller
from .metering import instrument_app, instrument_upstreams, program_observer
from .operators import ProcessLoad, program_rows, serve_operators
from .owner_service import OwnerService
from .partition_owners import make_notifier, make_pinger, partition_owners
from .partitions import PartitionDeps, Partitions
from .prefix_lease_renewer import PrefixLeaseRenewer
from .pull_replies import with_async_pull
from .suspects import Suspects
from .trace_recorder import TraceRecorder, trace_upstreams
from .upstream_links import upstream_links
from .upstream_selector import InterRegionLink, UpstreamSelector

_IDLE_TIMEOUT_S = 5.0
_HANDOVER_TIMEOUT_S = 30.0
_MOVE_COPIES_TIMEOUT_S = 60.0


def start_entry(cfg: Values) -> Callable[[], bool]:
    """Starts the process and returns the function that stops it."""
    deployment = make_deployment(cfg)
    share = LinkShare(cfg.number("link_bytes_per_s"))
    selector = _selector(cfg, deployment, share)
    peers = Peers(ExecutorThrift.Client)
    origin = deployment.identity.origin
    links = upstream_links(
        deployment.identity,
        peers,
        deployment.members,
        lambda req: selector.choose(req, deployment.usable()),
        selector.record_end,
        deployment.record_call_outcome,
        selector.record_report,
    )
    metrics = Metrics(cfg.text("statsd"), cfg.text("host"))
    instrumented = instrument_upstreams(_traced_links(cfg, deployment, links), metrics)
    owner = Owner(
        instrumented,
        deployment.bundle,
        program_observer(metrics),
        ProgramMemory(program_memory_bytes(cfg.integer("program_memory_mb"))),
    )
    LoadPoller(peers, origin, deployment.members, selector).start()
    PrefixLeaseRenewer(owner, peers, origin, deployment.members).start()
    start_idle_expiry(owner, cfg.number("program_idle_s"), metrics)
    entries = Peers(OwnerThrift.Client)
    store = open_folder(cfg.text("data_dir"), deployment.kv)
    copies = CopyLinks(deployment.identity, store, deployment.members, entries, share)
    notify = make_notifier(entries, origin)
    suspects = Suspects(make_pinger(entries, origin))
    partitions = Partitions(
        PartitionDeps(
            deployment.kv,
            owner,
            store,
            copies,
            deployment.members,
            notify,
            suspects,
            deployment.identity.region,
        )
    )
    limiter = RequestLimiter(cfg.integer("max_open"))
    service = OwnerService(
        deployment.identity,
        owner,
        deployment.record_sender,
        deployment.encoded_bundle,
        lambda: deployment.draining,
        store,
        partitions.refresh,
    )
    listening = server.serve(
        with_async_pull(OwnerThrift.Processor(service), service),
        cfg.text("listen"),
        cfg.integer("max_connections"),
    )
    owners = partition_owners(deployment, owner, partitions, entries, cfg.number("patience_s"))
    limits = Limits(cfg.integer("max_body_bytes"), cfg.integer("max_open"))
    http = serve_callers(
        cfg, instrument_app(make_app(owners, limiter, limits), metrics), limiter.take_refused
    )
    operators = serve_operators(
        cfg,
        deployment,
        metrics,
        lambda: ProcessLoad(owner.count_running_calls(), 0, len(owner.owned_partitions())),
        lambda limit: program_rows(owner, deployment.identity.host, limit),
        lambda program: route_reason_rows(deployment.identity.host, selector.explain(program)),
    )
    folder = store.folder if store is not None else ""
    member = _member(cfg, deployment, listening.address, operators.address, folder)
    deployment.register(member)
    partitions.start(member)
    logger("daemon").info(
        "listening", thrift=listening.address, http=http.address, admin=operators.address
    )

    def stop() -> bool:
        deployment.drain()
        limiter.start_draining()
        partitions.hand_over_all(_HANDOVER_TIMEOUT_S)
        partitions.move_copies(_MOVE_COPIES_TIMEOUT_S)
        drained = limiter.wait_drained(cfg.number("drain_s"))
        http.wait_idle(_IDLE_TIMEOUT_S)
        # Another host may have handed over a partition before it saw that this host is draining.
        partitions.hand_over_all(_HANDOVER_TIMEOUT_S)
        deployment.deregister()
        return drained

    return stop


def _traced_links(cfg: Values, deployment: Deployment, links: Upstreams) -> Upstreams:
    if not cfg.text("trace_file"):
        return links
    path = Path(cfg.text("trace_file"))
    recorder = TraceRecorder(path, deployment.identity.region, deployment.members)
    return trace_upstreams(links, recorder)


def _selector(cfg: Values, deployment: Deployment, share: LinkShare) -> UpstreamSelector:
    link = InterRegionLink(cfg.number("link_bytes_per_s"), cfg.number("link_delay_s"), share)
    return UpstreamSelector(
        deployment.identity.region,
        link,
        cfg.number("prefill_tokens_per_s"),
        random.Random(deployment.identity.incarnation),
    )


def _member(cfg: Values, deployment: Deployment, address: str, admin: str, folder: str) -> Member:
    identity = deployment.identity
    return Member(
        host=identity.host,
        address=cfg.text("advertise") or address,
        role="entry",
        service="",
        region=identity.region,
        failure_domain=identity.failure_domain,
        incarnation=identity.incarnation,
        has_disk=bool(folder),
        admin=admin,
        folder=folder,
    )
