"""A journal copy that is made in another region, over real connections through a forwarder."""

import itertools
import time
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from typing import Any, NamedTuple, cast

import pytest
from endiveworks.errors import Code
from endiveworks.journal.copy_state import Reset
from endiveworks.journal.peer import CopyId
from endiveworks.journal.replicated_log import OpenedReplicatedLog, open_replicated_log
from endiveworks.journal.replication import CopySet
from endiveworks.journal.store import Store, open_store
from endiveworks.links import server
from endiveworks.links.client import Peers
from endiveworks.links.link_share import LinkShare
from endiveworks.members.member import Member
from endiveworks.wire.gen import Owner
from endiveworks_daemon.copy_links import CopyLinks
from endiveworks_daemon.identity import Identity
from endiveworks_daemon.owner_service import OwnerService
from returns.result import Success

UNUSED = cast(Any, None)
RATE = 100_000.0
BULK_BURST_BYTES = 100_000
PIECE_BYTES = 64 * 1024
RECORD_BYTES = 16 * 1024
RECORDS = 256
DEBT_BYTES = 1_000_000_000
GENERATION = 1 << 20


class Regions(NamedTuple):
    """Two hosts, of which the far one is reached through a forwarder.

    Attributes:
        cluster: Runs the forwarder.
        share: Share of the link that the near host may use.
        links: Access of the near host to all copies.
        near: Copy on the near host.
        far: Copy on the far host.
    """

    cluster: Any
    share: LinkShare
    links: CopyLinks
    near: CopyId
    far: CopyId

    def open(self, partition: int, copies: Sequence[CopyId]) -> OpenedReplicatedLog:
        """Opens the new log of a partition, which will want a copy on the far host."""
        for copy in copies:
            self.reset(partition, copy)
        copy_set = CopySet(
            lambda wanted: Success(None),
            lambda present, avoided: None if self.far in present else self.links.peer(self.far),
            lambda present: None,
            lambda failure: None,
        )
        peers = [self.links.peer(copy) for copy in copies]
        return open_replicated_log(partition, 1, peers, copy_set).unwrap()

    def reset(self, partition: int, copy: CopyId) -> None:
        """Empties a copy; asks again when a busy machine answers too late, as owners do."""
        request = Reset(partition, 1, GENERATION, 1)
        while not isinstance(outcome := self.links.peer(copy).send(request).result(), Success):
            assert outcome.failure().code is Code.TIMEOUT, outcome.failure()

    def sent_bytes(self) -> int:
        """Returns the bytes that have reached the far host."""
        control = self.cluster.procs["forward-far"].wait_event("listening")["control"]
        answer = self.cluster._standin("POST", control, "/standin/none", {})
        return int(answer["sent_bytes"])


def identity(host: str, region: str) -> Identity:
    return Identity(host, 1, region, f"{region}-1", lambda: 0)


def serve(store: Store) -> str:
    """Serves the copies of the far host and returns its address."""
    service = OwnerService(
        identity("far", "west"),
        UNUSED,
        lambda origin: None,
        lambda: b"",
        lambda: False,
        store,
        lambda partition: None,
    )
    return server.serve(Owner.Processor(service), "127.0.0.1:0", 16).address


@pytest.fixture
def regions(cluster: Any, tmp_path: Path) -> Iterator[Regions]:
    stores = {name: open_store(tmp_path / name, "d").unwrap() for name in ("near", "far")}
    address = cluster.start_standin("forward-far", "forwarder")
    control = cluster.procs["forward-far"].wait_event("listening")["control"]
    cluster._standin("POST", control, "/standin/target", {"target": serve(stores["far"])})
    near, far = (CopyId(name, store.folder) for name, store in stores.items())
    member = Member(
        "far", address, "entry", "", "west", "west-1", 1, has_disk=True, folder=far.folder
    )
    share = LinkShare(RATE)
    links = CopyLinks(
        identity("near", "east"),
        stores["near"],
        lambda: {"far": member},
        Peers(Owner.Client),
        share,
    )
    yield Regions(cluster, share, links, near, far)
    for store in stores.values():
        store.close()


class TestLinkShare:
    def test_a_copy_made_again_keeps_to_its_rate_and_appends_pass_at_once(
        self, regions: Regions, until: Callable[..., None]
    ) -> None:
        both = regions.open(1, [regions.near, regions.far])
        bulk = regions.open(2, [regions.near])
        for _ in range(RECORDS):
            bulk.opened.log.append([b"x" * RECORD_BYTES]).result().unwrap()
        before = regions.sent_bytes()
        began_s = time.monotonic()
        bulk.start_repair()
        for appended in itertools.count(1):
            both.opened.log.append([b"y" * 100]).result().unwrap()
            sent = regions.sent_bytes() - before
            # An append with its envelope is far below 1000 bytes.
            most = BULK_BURST_BYTES + RATE * (time.monotonic() - began_s) + 1000 * appended
            assert sent <= most + PIECE_BYTES
            if sent > 3 * BULK_BURST_BYTES:
                break
        # Deep in debt the share lets no more bulk go, and appends still do not wait.
        regions.share.record_control(DEBT_BYTES)
        both.opened.log.append([b"y" * 100]).result(60.0).unwrap()
        assert bulk.copies() == (regions.near,)
        bulk.opened.log.close()
        until(lambda: bulk.is_closed())
