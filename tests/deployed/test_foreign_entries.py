"""Entries and replies of another writer: deep nesting, numbers out of range, unusable addresses."""

import asyncio
import contextlib
import http.server
import json
import random
import threading
from collections.abc import Callable, Iterator
from typing import Any

import pytest
from endiveworks.errors import Code, Failure
from endiveworks.gateway.cluster_state import ClusterState
from endiveworks.gateway.events import EventSplitter
from endiveworks.kvservice.kv import KeyValue, Kv, Swap
from endiveworks.kvservice.watch_loop import WatchedPrefix, run_watch_loop
from endiveworks.links.threads import start_forever
from endiveworks.members.member import Member
from endiveworks.members.registry import HOSTS_PREFIX, encode_member
from endiveworks.turns import view as turn_view
from endiveworks.turns.view import VIEW_KEY, Disk, View
from endiveworks_daemon.disks.view_manager import ViewManager
from endiveworks_daemon.gateway.sockets import connect
from endiveworks_daemon.state_watcher import StateWatcher
from endiveworks_daemon.supervised_task import run_supervised
from endiveworks_site import cluster_state, config, headers, store
from endiveworks_standins.site_store import SiteStore, running_store
from returns.result import Failure as Err
from returns.result import Result, Success

from tests.deployed.harness import run
from tests.deployed.test_decoding import CONFIG, REPLICA

TIMEOUT_S = 5.0
DEPTH = 100_000
HUGE = 10**400
NESTED = {
    "lists": b"[" * DEPTH + b"]" * DEPTH,
    "lists cut short": b"[" * DEPTH,
    "objects": b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
    "objects cut short": b'{"a":' * DEPTH,
    "in a field": b'{"state":' + b"[" * DEPTH + b"]" * DEPTH + b"}",
    "in an unknown field": json.dumps(REPLICA)[:-1].encode() + b',"x":' + b"[" * DEPTH,
}
ODD_FIELDS: dict[str, list[Any]] = {
    "address": [
        "10.128.0.9:0",
        "10.128.0.9:65536",
        "10.128.0.9:99999",
        "10.128.0.9:" + "9" * 5000,
        "10.128.0.9:+80",
        "10.128.0.9:8_0",
        "10.128.0.9:080",
        "10.128.0.9: 80",
        "10.128.0.9:\u0668\u0660",
        "10.128.0.9",
        ":8080",
        "999.1.1.1:8080",
        "replica.example:8080",
        "10.128.0.9\0:8080",
        "10.128.0.9\r\nX: y:8080",
        "",
        8080,
        None,
        [],
    ],
    "slots": [0, -1, HUGE, 2**63, 1e9, 16.0, True, "16", None, []],
    "zone": [7, None, ["a"], {}],
    "born": [-1, HUGE, 2**63, True, 1.5, "1", None, []],
    "version": [1, None, ["v1"], "v" * 5000],
    "backend": [1, None, ["llm"], {}],
    "state": ["gone", "", 1, None, True, ["ready"]],
}


def entry(key: str, value: bytes) -> KeyValue:
    return KeyValue(key, value, 1)


def decoded(*odd: KeyValue) -> ClusterState:
    """Decodes a configuration and a sound replica beside other entries."""
    sound = [
        entry("op/config", json.dumps(CONFIG).encode()),
        entry("servers/i-1", json.dumps(REPLICA).encode()),
    ]
    entries = {item.key: item for item in (*odd, *sound)}
    return cluster_state.decoder({"a": "east"})(entries, 7)


def _odd_replicas() -> Iterator[Any]:
    for name, data in NESTED.items():
        yield pytest.param(data, id=f"nested {name}")
    for field, values in ODD_FIELDS.items():
        for value in values:
            data = json.dumps(REPLICA | {field: value}).encode()
            yield pytest.param(data, id=f"{field} {str(value)[:20]!r}")
    for field in REPLICA:
        data = json.dumps({k: v for k, v in REPLICA.items() if k != field}).encode()
        yield pytest.param(data, id=f"without {field}")
    for data in (b"", b"\xff\xfe", b"null", b"7", b'"text"', b"[]", b"{}", b'{"slots":1e400}'):
        yield pytest.param(data, id=repr(data))


class TestReplicaEntries:
    @pytest.mark.parametrize("data", list(_odd_replicas()))
    def test_an_odd_entry_names_no_replica_and_the_others_hold(self, data: bytes) -> None:
        state = decoded(entry("servers/i-0", data))
        assert set(state.replicas) == {"i-1"}
        assert state.table is not None

    @pytest.mark.parametrize("name", ["", "a\r\nb", "a b", "\xe9", "a\0"])
    def test_an_id_that_no_header_can_carry_names_no_replica(self, name: str) -> None:
        state = decoded(entry(f"servers/{name}", json.dumps(REPLICA).encode()))
        assert set(state.replicas) == {"i-1"}

    def test_fields_of_later_versions_are_ignored(self) -> None:
        data = json.dumps(REPLICA | {"later": {"a": [1]}, "born": 1_764_921_600_000}).encode()
        assert decoded(entry("servers/i-0", data)).replicas["i-0"].started_ms == 1_764_921_600_000


class TestFollowers:
    @pytest.mark.parametrize("key", ["servers/odd", HOSTS_PREFIX + "odd", VIEW_KEY, "op/retire/x"])
    @pytest.mark.parametrize("shape", ["lists", "objects cut short"])
    def test_a_process_follows_the_list_beside_a_nested_entry(self, key: str, shape: str) -> None:
        """The thread that reads the list ended, and the process served an old list for good."""

        async def scenario() -> None:
            with running_store() as site:
                site.put(key, NESTED[shape])
                _put_config(site, 1)
                states: list[ClusterState] = []
                watcher = StateWatcher(
                    store.connect(site.address), "", cluster_state.decoder({}), states.append, 0.1
                )
                watcher.start()
                await _wait_for_version(states, 1)
                site.put(key, NESTED[shape] + b" ")
                _put_config(site, 2)
                await _wait_for_version(states, 2)
                watcher.stop()

        run(scenario)

    def test_a_process_follows_the_list_after_a_state_that_it_can_not_handle(self) -> None:
        async def scenario() -> None:
            with running_store() as site:
                _put_config(site, 1)
                states: list[ClusterState] = []
                decode = cluster_state.decoder({})
                failures = [RecursionError(), OverflowError(), RuntimeError()]

                def failing_decode(entries: Any, revision: int) -> ClusterState:
                    if failures:
                        raise failures.pop()
                    return decode(entries, revision)

                watcher = StateWatcher(
                    store.connect(site.address), "", failing_decode, states.append, 0.1
                )
                watcher.start()
                await _wait_for_version(states, 1)
                watcher.stop()

        run(scenario)

    def test_a_watch_loop_goes_on_after_an_error(self) -> None:
        failures: list[Exception] = [RecursionError(), KeyError("rev")]
        loads: list[None] = []

        def load() -> bool:
            loads.append(None)
            return True

        def watch() -> Result[None, Failure]:
            if failures:
                raise failures.pop()
            return Err(Failure(Code.TIMEOUT, "watch", "", "no change"))

        passes = iter(range(10))
        pauses: list[float] = []
        run_watch_loop(
            WatchedPrefix(load, watch),
            pauses.append,
            random.Random(1),
            should_continue=lambda: next(passes, None) is not None,
        )
        assert len(loads) == 3  # What the failed watches may have missed is read again.
        assert len(pauses) == 2

    def test_a_thread_and_a_task_that_must_not_end_start_again_after_an_error(self) -> None:
        runs: list[str] = []
        ended = threading.Event()

        def fail_once() -> None:
            runs.append("thread")
            if len(runs) == 1:
                raise RecursionError
            ended.set()

        start_forever("test", fail_once, restart_delay_s=0.01)
        assert ended.wait(TIMEOUT_S)

        async def fail_first() -> None:
            runs.append("task")
            if runs.count("task") == 1:
                raise OverflowError

        asyncio.run(run_supervised("test", fail_first, restart_delay_s=0.01))
        assert runs.count("task") == 2


class TestMembers:
    MEMBER = Member("storage-1", "10.1.0.40:7380", "disk", "", "east", "a", 5, folder="f1")

    def decoded(self, **changes: Any) -> Any:
        data = json.dumps(list(self.MEMBER._replace(**changes))).encode()
        return decoded(entry(HOSTS_PREFIX + "storage-1", data)).members

    def test_a_sound_member(self) -> None:
        assert json.loads(encode_member(self.MEMBER)) == list(self.MEMBER)
        assert self.decoded() == {"storage-1": self.MEMBER}

    @pytest.mark.parametrize("data", NESTED.values(), ids=NESTED)
    def test_a_nested_entry_names_no_member(self, data: bytes) -> None:
        assert not decoded(entry(HOSTS_PREFIX + "storage-1", data)).members

    @pytest.mark.parametrize("address", ["", "10.1.0.40", "10.1.0.40:0", "10.1.0.40:99999", "h:1"])
    def test_an_unusable_address_names_no_member(self, address: str) -> None:
        assert not self.decoded(address=address)

    def test_a_number_too_large_names_no_member(self) -> None:
        assert not self.decoded(incarnation=HUGE)


class TestView:
    DISKS = tuple(Disk(f"h{n}", f"f{n}", f"10.1.0.4{n}:7380", "a", "east") for n in range(3))
    VIEW = View(4, 1, DISKS)

    @pytest.mark.parametrize(
        "changed",
        [
            VIEW._replace(epoch=0),
            VIEW._replace(epoch=2**63),
            VIEW._replace(tolerance=-1),
            VIEW._replace(members=()),
            VIEW._replace(members=(DISKS[0], DISKS[0])),
            VIEW._replace(members=(DISKS[0]._replace(address="h:0"),)),
            VIEW._replace(incoming=(DISKS[0]._replace(address="10.1.0.40:99999"),)),
        ],
    )
    def test_a_view_that_no_process_could_use_is_refused(self, changed: View) -> None:
        with pytest.raises(ValueError):
            turn_view.decode(turn_view.encode(changed))
        assert decoded(entry(VIEW_KEY, turn_view.encode(changed))).view is None

    @pytest.mark.parametrize("data", NESTED.values(), ids=NESTED)
    def test_a_nested_view_is_refused(self, data: bytes) -> None:
        assert decoded(entry(VIEW_KEY, data)).view is None

    def test_an_unreadable_view_is_not_taken_for_a_new_deployment(self) -> None:
        """Else the first view would replace it, and every stored turn would be unknown."""

        async def scenario() -> None:
            swaps: list[Swap] = []
            disk_store: Any = _DiskStore()
            manager = ViewManager(_kv(swaps), disk_store, "h0", "east", 1, lambda _: True)
            manager._started_s -= 60.0
            members = {
                d.host: Member(d.host, d.address, "disk", "", "east", "a", 1, folder=d.folder)
                for d in self.DISKS
            }
            unreadable = ClusterState(9, None, {}, members, None, 8, frozenset())
            manager.on_state(unreadable)
            await manager._step(unreadable)
            assert not swaps
            absent = unreadable._replace(view_revision=0)
            manager.on_state(absent)
            await manager._step(absent)
            assert [swap.key for swap in swaps] == [VIEW_KEY]

        run(scenario)


class TestConfig:
    ROUTE, STREAM = CONFIG["routes"]

    def route(self, **changes: Any) -> bytes:
        return json.dumps(CONFIG | {"routes": [self.ROUTE | changes]}).encode()

    @pytest.mark.parametrize(
        ("field", "value"),
        [
            ("timeout_ms", HUGE),
            ("timeout_ms", 0),
            ("timeout_ms", -5),
            ("timeout_ms", True),
            ("timeout_ms", "1000"),
            ("target_latency_ms", HUGE),
            ("target_latency_ms", -1),
            ("max_attempts", HUGE),
            ("retention_s", HUGE),
            ("priority", [1]),
            ("name", 7),
            ("path_prefix", 7),
            ("path_prefix", ["/a/"]),
            ("hostname", None),
            ("backend", ["llm"]),
            ("traffic_split", [{"backend": "llm", "weight": HUGE}]),
            ("traffic_split", [{"backend": "llm", "weight": -1}]),
        ],
    )
    def test_an_odd_route_is_refused(self, field: str, value: Any) -> None:
        with pytest.raises(ValueError):
            config.decode(self.route(**{field: value}))

    @pytest.mark.parametrize("name", ["slots", "kv_capacity", "chunk_tokens"])
    @pytest.mark.parametrize("value", [HUGE, 2**63, -1, [1]])
    def test_an_odd_engine_is_refused(self, name: str, value: Any) -> None:
        engine = {"slots": 16, "kv_capacity": 483364, "chunk_tokens": 23} | {name: value}
        services = [{"name": "llm", "max_connections": 160, "engine": engine}]
        with pytest.raises(ValueError):
            config.decode(json.dumps(CONFIG | {"services": services}).encode())

    @pytest.mark.parametrize("data", NESTED.values(), ids=NESTED)
    def test_a_nested_configuration_is_refused(self, data: bytes) -> None:
        with pytest.raises(ValueError):
            config.decode(data)

    @pytest.mark.parametrize("version", [HUGE, -1, "x", None, [7]])
    def test_an_odd_version_is_refused(self, version: Any) -> None:
        with pytest.raises(ValueError):
            config.decode(json.dumps(CONFIG | {"version": version}).encode())


ODD_REPLIES = {
    **NESTED,
    "null": b"null",
    "a number": b"7",
    "a list": b"[1]",
    "an empty object": b"{}",
    "no UTF-8": b'{"items":[{"key":"\xff"}]}',
    "keys of another type": b'{"as_of":1,"rev":1,"items":[{"key":7,"value":"","rev":1}],'
    b'"events":[{"key":7,"value":"","rev":1}]}',
    "revisions of another type": b'{"as_of":"x","rev":"x","lease":"x","ttl_ms":"x","items":'
    b'[{"key":"k","value":"","rev":"x"}],"events":[{"key":"k","value":"","rev":[]}]}',
    "revisions too large": json.dumps(
        {"as_of": HUGE, "rev": HUGE, "lease": HUGE, "ttl_ms": HUGE, "items": [], "events": []}
    ).encode(),
    "values that are no base64": b'{"as_of":1,"items":[{"key":"k","value":"!","rev":1}],'
    b'"events":[{"key":"k","value":7,"rev":1}]}',
    "items of another type": b'{"as_of":1,"items":7,"events":{"a":1}}',
}

# Odd replies that have all that a call reads of them.
SUFFICIENT_REPLIES = {
    ("an empty object", 412, "swap"),
    ("keys of another type", 200, "swap"),
    ("revisions too large", 412, "swap"),
}

CALLS: dict[str, Callable[[Kv], Result[Any, Failure]]] = {
    "read": lambda kv: kv.read("k"),
    "read_prefix": lambda kv: kv.read_prefix("k"),
    "swap": lambda kv: kv.swap(Swap("k", b"v", 1)),
    "grant_lease": lambda kv: kv.grant_lease(5),
    "keep_alive": lambda kv: kv.keep_alive(5),
    "watch": lambda kv: kv.watch("k", 1, lambda _: False),
}


class TestStoreReplies:
    @pytest.mark.parametrize("call", CALLS)
    @pytest.mark.parametrize("status", [200, 412])
    @pytest.mark.parametrize("name", ODD_REPLIES)
    def test_an_odd_reply_is_a_failure(self, name: str, status: int, call: str) -> None:
        """An exception would end the thread that renews a lease or follows the list."""
        with replying(status, ODD_REPLIES[name]) as address:
            result = CALLS[call](store.connect(address))
        assert isinstance(result, Success) is ((name, status, call) in SUFFICIENT_REPLIES)


class TestAddresses:
    @pytest.mark.parametrize(
        "address", ["", "h", "127.0.0.1:x", "127.0.0.1:99999", "127.0.0.1\0:80", "\ud800:80"]
    )
    def test_an_unusable_address_counts_as_a_failed_connection(self, address: str) -> None:
        async def scenario() -> None:
            with pytest.raises(OSError):
                await connect(address)

        run(scenario)


class TestEvents:
    @pytest.mark.parametrize("event_id", [b"9" * 5000, b"1" * 20])
    def test_an_id_that_is_too_large_makes_no_event(self, event_id: bytes) -> None:
        (event,) = EventSplitter().feed(b"id: " + event_id + b"\ndata: x\n\n")
        assert event.id is None
        assert not event.is_well_formed


class TestCallers:
    HEAD = ((b"host", b"x"), (b"request-id", b"r"), (b"program-id", b"p"))
    SOUND = (
        (b"deadline-ms", b"4000"),
        (b"program-deadline-ms", b"5200.5"),
        (b"token-usage", b"1840, 589"),
        (b"token-budget", b"4712"),
        (b"last-event-id", b"17"),
        (b"prompt-prefix", b"5c1e07a2:800, 91bd3f06:410"),
    )

    def test_sound_numbers(self) -> None:
        request = headers.read_request("GET", "/", [*self.HEAD, *self.SOUND])
        assert not isinstance(request, str)
        assert (request.remaining_s, request.max_tokens, request.resume_after) == (4.0, 589, 17)
        assert [part.tokens for part in request.parts] == [800, 410]

    @pytest.mark.parametrize(
        ("name", "value"),
        [
            (b"deadline-ms", b"nan"),
            (b"deadline-ms", b"inf"),
            (b"program-deadline-ms", b"1e400"),
            (b"token-usage", b"1," + b"9" * 400),
            (b"token-usage", b"9" * 400 + b",1"),
            (b"token-usage", b"1,-4"),
            (b"token-budget", b"9" * 400),
            (b"last-event-id", b"9" * 5000),
            (b"prompt-prefix", b"a:" + b"9" * 400),
        ],
    )
    def test_a_number_that_no_message_can_hold_is_refused(self, name: bytes, value: bytes) -> None:
        """Such a request got 500, after its number had been counted."""
        sound = [pair for pair in self.SOUND if pair[0] != name]
        request = headers.read_request("GET", "/", [*self.HEAD, *sound, (name, value)])
        assert isinstance(request, str)


class _DiskStore:
    """What the manager of the view needs of a disk."""

    folder = "f0"
    last_store_s = 0.0

    def adopt(self, view: View | None) -> None:
        """Ignores the view."""


def _kv(swaps: list[Swap]) -> Any:
    class _Kv:
        def swap(self, swap: Swap) -> Result[Any, Failure]:
            swaps.append(swap)
            return Err(Failure(Code.UNREACHABLE, "kv.swap", "", "not connected"))

    return _Kv()


@contextlib.contextmanager
def replying(status: int, body: bytes) -> Iterator[str]:
    """Serves the same reply to every request, and yields the address."""

    class Handler(http.server.BaseHTTPRequestHandler):
        def do_GET(self) -> None:  # noqa: N802 - the name is that of the standard library
            self.rfile.read(int(self.headers.get("Content-Length") or 0))
            self.send_response(status)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        do_POST = do_GET  # noqa: N815 - as above

        def log_message(self, *_: object) -> None:
            """Logs nothing."""

    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    try:
        yield f"127.0.0.1:{server.server_port}"
    finally:
        server.shutdown()
        server.server_close()


def _put_config(site: SiteStore, version: int) -> None:
    fields: dict[str, Any] = {"version": version, "routes": [], "services": []}
    site.put("op/config", json.dumps(fields).encode())


async def _wait_for_version(states: list[ClusterState], version: int) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not any(state.table and state.table.version == version for state in states):
            await asyncio.sleep(0.02)
