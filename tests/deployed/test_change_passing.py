"""Processes that receive the entries of the key-value service from other processes."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import msgspec
from endiveworks.gateway.cluster_state import ClusterState
from endiveworks.kvservice.kv import Change, KeyValue
from endiveworks_daemon import rpc
from endiveworks_daemon.change_log import (
    MAX_CHANGES,
    READ_CHANGES,
    WAIT_S,
    ChangeLog,
    ReadChanges,
    digest_of,
)
from endiveworks_daemon.state_watcher import SOURCE_MARGIN_S, StateWatcher
from endiveworks_site import cluster_state, store
from endiveworks_standins.site_store import Faults, SiteStore, running_store

from tests.deployed.harness import run

TIMEOUT_S = 8.0
CONFIG_BOUND_S = 2.5  # Stated time within which every process must follow a new configuration.


class Process:
    """A process with a copy of the entries, which it passes on to others.

    Attributes:
        address: Address at which others read its changes.
        states: The states published so far.
    """

    def __init__(self, site: SiteStore, sources: Sequence[str] = ()) -> None:
        self.states: list[ClusterState] = []
        self.sources = sources
        self.watcher = StateWatcher(
            store.connect(site.address),
            "",
            cluster_state.decoder({}),
            self.states.append,
            0.05,
            lambda _: self.sources,
        )
        self.address = ""
        self._server: rpc.RpcServer | None = None

    async def start(self) -> "Process":
        """Starts the watcher, and the server for others."""
        _started.append(self)
        self._server = await rpc.serve("127.0.0.1:0", self.watcher.change_log.handlers())
        self.address = self._server.address
        self.watcher.start()
        return self

    def stop(self) -> None:
        """Stops the watcher and closes the server."""
        self.watcher.stop()
        if self._server is not None:
            self._server.close()

    async def wait_for_version(self, version: int) -> None:
        """Waits until the newest state has a version of the configuration."""
        async with asyncio.timeout(TIMEOUT_S):
            while not self.states or _version(self.states[-1]) != version:
                await asyncio.sleep(0.02)


_started: list[Process] = []


def play(scenario: Callable[[], Awaitable[None]]) -> None:
    """Runs a scenario and stops the processes that it has started."""

    async def play_and_stop() -> None:
        try:
            await scenario()
        finally:
            while _started:
                _started.pop().stop()

    run(play_and_stop)


def _version(state: ClusterState) -> int:
    return state.table.version if state.table else 0


def _put_config(site: SiteStore, version: int) -> None:
    fields: dict[str, Any] = {"version": version, "routes": [], "services": []}
    site.put("op/config", json.dumps(fields).encode())


async def _root_and_follower(site: SiteStore) -> tuple[Process, Process]:
    _put_config(site, 1)
    root = await Process(site).start()
    await root.wait_for_version(1)
    follower = await Process(site, [root.address]).start()
    await follower.wait_for_version(1)
    await asyncio.sleep(0.2)
    return root, follower


class TestFollowers:
    def test_changes_arrive_without_calls_to_the_service(self) -> None:
        async def scenario() -> None:
            with running_store() as site:
                root, follower = await _root_and_follower(site)
                root_calls = len(site.calls)
                leaf = await Process(site, [follower.address]).start()
                await leaf.wait_for_version(1)
                for version in range(2, 12):
                    _put_config(site, version)
                    await leaf.wait_for_version(version)
                assert root.watcher.is_connected() and leaf.watcher.is_connected()
                # The leaf reads once at its start; only the root watches.
                assert site.calls[root_calls:].count("kv-range") == 1
                assert site.calls[root_calls:].count("kv-watch") <= 11

        play(scenario)

    def test_a_source_that_is_gone_is_replaced_by_the_service(self) -> None:
        async def scenario() -> None:
            with running_store() as site:
                root, follower = await _root_and_follower(site)
                root.stop()
                _put_config(site, 2)
                await follower.wait_for_version(2)

        play(scenario)

    def test_a_source_that_does_not_reply_delays_a_change_by_less_than_two_seconds(self) -> None:
        async def scenario() -> None:
            with running_store() as site:
                root, follower = await _root_and_follower(site)

                async def no_reply(_: ReadChanges) -> None:
                    await asyncio.sleep(60.0)

                root.watcher.change_log.read = no_reply
                await asyncio.sleep(WAIT_S)
                _put_config(site, 2)
                started_s = time.monotonic()
                await follower.wait_for_version(2)
                assert time.monotonic() - started_s < WAIT_S + SOURCE_MARGIN_S + 0.6

        play(scenario)

    def test_a_source_that_lost_the_service_is_replaced_and_used_again_later(self) -> None:
        async def scenario() -> None:
            with running_store() as site, running_store() as turned_away:
                _put_config(turned_away, 1)
                root = await Process(turned_away).start()
                await root.wait_for_version(1)
                _put_config(site, 1)
                follower = await Process(site, [root.address]).start()
                await follower.wait_for_version(1)
                turned_away.faults = Faults(status=503)
                turned_away.close_watches()
                _put_config(site, 2)
                await follower.wait_for_version(2)
                turned_away.faults = Faults()
                _put_config(turned_away, 3)
                await root.wait_for_version(3)
                _put_config(turned_away, 4)
                await follower.wait_for_version(4)

        play(scenario)

    def test_a_source_to_which_the_service_falls_silent_delays_a_change_by_less_than_the_bound(
        self,
    ) -> None:
        async def scenario() -> None:
            with running_store() as site, running_store() as turned_away:
                _put_config(turned_away, 1)
                root = await Process(turned_away).start()
                await root.wait_for_version(1)
                _put_config(site, 1)
                follower = await Process(site, [root.address]).start()
                await follower.wait_for_version(1)
                await asyncio.sleep(0.2)
                turned_away.faults = Faults(silent=True)
                _put_config(site, 2)
                started_s = time.monotonic()
                await follower.wait_for_version(2)
                turned_away.faults = Faults()
                assert time.monotonic() - started_s < CONFIG_BOUND_S

        play(scenario)

    def test_a_change_that_the_source_missed_and_read_again_reaches_the_follower(self) -> None:
        async def scenario() -> None:
            with running_store() as site:
                root, follower = await _root_and_follower(site)
                site.faults = Faults(deaf=True)
                site.close_watches()
                _put_config(site, 2)
                await follower.wait_for_version(2)

        play(scenario)

    def test_an_older_source_does_not_turn_the_state_back(self) -> None:
        async def scenario() -> None:
            with running_store() as old, running_store() as site:
                _put_config(old, 1)
                root = await Process(old).start()
                await root.wait_for_version(1)
                for version in range(1, 6):
                    _put_config(site, version)
                follower = await Process(site, [root.address]).start()
                await follower.wait_for_version(5)
                await asyncio.sleep(1.5)
                assert [_version(state) for state in follower.states] == [5]

        play(scenario)


class TestChangeLog:
    ENTRIES = (KeyValue("a", b"1", 3), KeyValue("b", b"2", 4))

    def log(self) -> ChangeLog:
        log = ChangeLog()
        log.reset(self.ENTRIES, 4)
        return log

    def test_a_reader_with_the_same_entries_gets_none(self) -> None:
        async def scenario() -> None:
            digest = digest_of({entry.key: entry for entry in self.ENTRIES})
            reply = await self.log().read(ReadChanges("", 0, digest))
            assert (reply.connected, reply.entries, reply.changes) == (True, None, ())

        play(scenario)

    def test_a_reader_of_another_log_gets_all_entries(self) -> None:
        async def scenario() -> None:
            reply = await self.log().read(ReadChanges("other", 7, 1))
            assert reply.entries == list(self.ENTRIES)

        play(scenario)

    def test_a_reader_that_lags_behind_the_kept_changes_gets_all_entries(self) -> None:
        async def scenario() -> None:
            log = self.log()
            first = await log.read(ReadChanges("", 0, 0))
            log.append([Change("a", b"x", 5 + n) for n in range(MAX_CHANGES + 1)], 0)
            reply = await log.read(ReadChanges(first.generation, first.position, 0))
            assert reply.entries is not None
            assert reply.position == MAX_CHANGES + 1
            assert not reply.changes

        play(scenario)

    def test_a_waiting_reader_gets_a_change_at_once(self) -> None:
        async def scenario() -> None:
            log = self.log()
            first = await log.read(ReadChanges("", 0, 0))
            waiting = asyncio.create_task(
                log.read(ReadChanges(first.generation, first.position, 0))
            )
            await asyncio.sleep(0.05)
            log.append([Change("b", None, 9)], 9)
            async with asyncio.timeout(WAIT_S / 2):
                reply = await waiting
            assert (list(reply.changes), reply.revision) == ([Change("b", None, 9)], 9)

        play(scenario)

    def test_a_log_that_is_not_up_to_date_says_so_at_once(self) -> None:
        async def scenario() -> None:
            log = self.log()
            first = await log.read(ReadChanges("", 0, 0))
            log.set_connected(False)
            async with asyncio.timeout(WAIT_S / 2):
                reply = await log.read(ReadChanges(first.generation, first.position, 0))
            assert not reply.connected
            assert not (await ChangeLog().read(ReadChanges("", 0, 0))).connected

        play(scenario)

    def test_a_malformed_request_leaves_the_server_running(self) -> None:
        async def scenario() -> None:
            server = await rpc.serve("127.0.0.1:0", self.log().handlers())
            client = rpc.RpcClient(server.address)
            await client.call_encoded(READ_CHANGES, b"\xc1", 0.2)
            request = msgspec.msgpack.encode(ReadChanges("", 0, 0))
            assert (await client.call_encoded(READ_CHANGES, request, 1.0)).unwrap()
            client.close()
            server.close()

        play(scenario)
