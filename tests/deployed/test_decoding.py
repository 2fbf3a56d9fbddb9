"""Decoding of settings, configuration, replica entries and headers."""

import json
from pathlib import Path
from typing import Any

import pytest
from endiveworks.gateway.messages import Dispatch, Request
from endiveworks.gateway.routes import RouteType, match_route
from endiveworks.kvservice.kv import KeyValue
from endiveworks_site import cluster_state, config, headers, settings

SETTINGS: dict[str, Any] = {
    "node_name": "storage-a-1",
    "ip": "10.1.0.40",
    "zone": "a",
    "region": "east",
    "internal_ports": [7380, 7395],
    "data_dir": "/data/disk",
    "listen": {},
    "fault_tolerance": {"machines": 1},
    "bounds": {"grace_s": 8.0},
    "provider": {"address": "10.200.1.7:8142"},
    "a field of a later version": 1,
}

CONFIG: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "short",
            "hostname": "Site.example",
            "path_prefix": "/a/",
            "type": "idempotent",
            "timeout_ms": 1000,
            "target_latency_ms": 150,
            "priority": 2,
            "backend": "shop",
        },
        {
            "name": "long",
            "hostname": "site.example",
            "path_prefix": "/a/b/",
            "type": "streaming",
            "timeout_ms": 4000,
            "target_latency_ms": 300,
            "priority": 0,
            "max_attempts": 1,
            "traffic_split": [{"backend": "llm", "weight": 90}, {"backend": "shop", "weight": 10}],
            "retain": True,
            "sticky": True,
            "retention_s": 60.0,
            "resumable": False,
        },
    ],
    "services": [
        {"name": "shop", "max_connections": 96},
        {
            "name": "llm",
            "max_connections": 160,
            "engine": {"slots": 16, "kv_capacity": 483364, "chunk_tokens": 23},
        },
    ],
    "limits": {"max_header_bytes": 100, "idle_timeout_ms": 15000},
}

REPLICA: dict[str, Any] = {
    "backend": "llm",
    "address": "10.128.0.9:8080",
    "zone": "a",
    "slots": 16,
    "state": "ready",
    "version": "v1.2",
}


class TestSettings:
    def test_a_host_with_a_disk(self) -> None:
        found = settings.decode(SETTINGS)
        assert found.data_dir == Path("/data/disk")
        assert found.peer_address == "10.1.0.40:7380"
        assert (found.tolerance, found.stop_timeout_s) == (1, 8.0)

    def test_the_memory_of_a_process(self) -> None:
        limited = SETTINGS | {"limits": {"memory_mb": 150}}
        slow = {"contracts": ["base", "pressure"]}
        found = settings.decode(limited | slow)
        assert (found.memory_mb, found.slow_readers) == (150.0, True)
        # A process is killed above its limit whether or not there are terms on slow readers.
        found = settings.decode(limited)
        assert (found.memory_mb, found.slow_readers) == (150.0, False)
        assert settings.decode(SETTINGS | slow).memory_mb == 0
        assert settings.decode(SETTINGS | slow | {"limits": {"max_fds": 4100}}).memory_mb == 0
        with pytest.raises(ValueError, match="memory_mb"):
            settings.decode(SETTINGS | slow | {"limits": {"memory_mb": "150"}})

    def test_every_error_is_reported(self) -> None:
        with pytest.raises(ValueError, match=r"node_name: None.*machines: 'two'"):
            settings.decode(SETTINGS | {"node_name": None, "fault_tolerance": {"machines": "two"}})


class TestConfig:
    def test_the_longest_matching_prefix_wins(self) -> None:
        table = config.decode(json.dumps(CONFIG).encode())
        assert match_route(table, "SITE.example", "/a/b/c").name == "long"
        assert match_route(table, "site.example", "/a/x").name == "short"
        assert match_route(table, "site.example", "/b/") is None
        assert match_route(table, "other.example", "/a/x") is None

    def test_route_and_service_fields(self) -> None:
        table = config.decode(json.dumps(CONFIG).encode())
        long = match_route(table, "site.example", "/a/b/c")
        assert (long.type, long.retains_turns, long.max_attempts) == (
            RouteType.STREAMING,
            True,
            1,
        )
        assert [share.weight for share in long.shares] == [90, 10]
        assert table.services["llm"].engine.tokens_per_event == 23
        assert table.limits.max_header_bytes == 100
        assert (long.sticky, match_route(table, "site.example", "/a/x").sticky) == (True, False)

    def test_a_route_of_unknown_type_is_not_retried(self) -> None:
        fields = json.loads(json.dumps(CONFIG))
        fields["routes"][0]["type"] = "of a later version"
        table = config.decode(json.dumps(fields).encode())
        assert match_route(table, "site.example", "/a/x").type is RouteType.NON_IDEMPOTENT

    @pytest.mark.parametrize(
        "data", [b"", b"[]", b'{"version": 1}', b'{"version": 1, "routes": 3}']
    )
    def test_invalid_configurations(self, data: bytes) -> None:
        with pytest.raises(ValueError):
            config.decode(data)


class TestReplicaEntries:
    def read(self, value: bytes) -> Any:
        entries = {"servers/i-1": KeyValue("servers/i-1", value, 5)}
        return cluster_state.decoder({"a": "east"})(entries, 5).replicas

    def test_a_replica(self) -> None:
        (found,) = self.read(json.dumps(REPLICA).encode()).values()
        assert (found.id, found.service, found.region) == ("i-1", "llm", "east")
        assert found.version == "v1.2"

    @pytest.mark.parametrize(
        ("born", "started_ms"), [({"born": 1700000000123}, 1700000000123), ({}, 0)]
    )
    def test_the_start_of_a_replica(self, born: dict[str, int], started_ms: int) -> None:
        (found,) = self.read(json.dumps(REPLICA | born).encode()).values()
        assert found.started_ms == started_ms

    def test_a_start_of_another_type_names_no_replica(self) -> None:
        assert self.read(json.dumps(REPLICA | {"born": "x"}).encode()) == {}

    @pytest.mark.parametrize(
        "change",
        [
            {"state": "resting"},
            {"slots": "16"},
            {"slots": 0},
            {"slots": True},
            {"address": "10.128.0.9"},
            {"address": 5},
            {"backend": None},
            {"version": None},
            {"version": 2},
            {"zone": None, "state": None},
        ],
    )
    def test_entries_with_invalid_fields(self, change: dict[str, Any]) -> None:
        assert self.read(json.dumps(REPLICA | change).encode()) == {}

    def test_an_entry_without_a_version(self) -> None:
        fields = {name: value for name, value in REPLICA.items() if name != "version"}
        assert self.read(json.dumps(fields).encode()) == {}

    @pytest.mark.parametrize("value", [b"", b"\xff\xfe", b"[]", b"{}", b"null"])
    def test_entries_that_cannot_be_decoded(self, value: bytes) -> None:
        assert self.read(value) == {}

    def test_an_invalid_entry_does_not_affect_others(self) -> None:
        entries = {
            "servers/i-1": KeyValue("servers/i-1", b"?", 5),
            "servers/i-2": KeyValue("servers/i-2", json.dumps(REPLICA).encode(), 6),
            "op/retire/storage-a-1": KeyValue("op/retire/storage-a-1", b"{}", 7),
        }
        found = cluster_state.decoder({"a": "east"})(entries, 7)
        assert list(found.replicas) == ["i-2"]
        assert found.leaving == {"storage-a-1"}


class TestRequestHeaders:
    HEADERS = [
        (b"Host", b"Site.example:80"),
        (b"Request-Id", b"9c41"),
        (b"Deadline-Ms", b"4000"),
        (b"Program-Id", b"p1"),
        (b"Program-Deadline-Ms", b"5200"),
        (b"Token-Budget", b"4600"),
        (b"Token-Usage", b"1840,575"),
        (b"Prompt-Prefix", b"5c1e:800, 91bd:410"),
        (b"Connection", b"keep-alive, X-Mine"),
        (b"X-Mine", b"1"),
        (b"X-Kept", b"2"),
    ]

    def read(self, *more: tuple[bytes, bytes]) -> Request:
        found = headers.read_request("POST", "/a/x?q=1", [*self.HEADERS, *more])
        assert isinstance(found, Request)
        return found

    def test_fields_of_a_request(self) -> None:
        found = self.read()
        assert (found.id, found.hostname, found.remaining_s) == ("9c41", "site.example", 4.0)
        assert (found.program.budget_tokens, found.program.remaining_s) == (4600, 5.2)
        assert [(p.key, p.tokens) for p in found.parts] == [("5c1e", 800), ("91bd", 410)]
        assert found.max_tokens == 575

    def test_the_attempt_that_a_stream_resumes(self) -> None:
        assert self.read().resumes == ""
        found = self.read((b"Resumes", b"77aa"), (b"Last-Event-Id", b"4"))
        assert (found.resumes, found.resume_after) == ("77aa", 4)
        sent = headers.write_request(found, Dispatch("i-1", 1.5, found.resume_after))
        assert (b"Resumes", b"77aa") in sent

    def test_hop_by_hop_headers_are_not_forwarded(self) -> None:
        names = {name.lower() for name, _ in self.read().headers}
        assert names.isdisjoint({b"connection", b"x-mine"})
        assert b"x-kept" in names

    @pytest.mark.parametrize(
        "name", [b"Hold", b"Pin-Ms", b"Kv-Backup", b"Kv-From", b"Expect-Instance"]
    )
    def test_internal_headers_of_a_caller_are_dropped(self, name: bytes) -> None:
        sent = headers.write_request(self.read((name, b"x")), Dispatch("i-1", 1.5, None))
        assert (name, b"x") not in sent

    def test_headers_of_a_dispatch(self) -> None:
        sent = headers.write_request(self.read(), Dispatch("i-1", 1.5, 4))
        assert (b"Deadline-Ms", b"1500") in sent
        assert (b"Expect-Instance", b"i-1") in sent
        assert (b"Last-Event-Id", b"4") in sent
        assert [n.lower() for n, _ in sent].count(b"deadline-ms") == 1

    @pytest.mark.parametrize(
        ("cookies", "key"),
        [
            ([b"Affinity-Key=17"], "17"),
            ([b"a=1; Affinity-Key=17; b=2"], "17"),
            ([b"a=1", b"Affinity-Key=17"], "17"),
            ([b"Affinity-Key=17; Affinity-Key=18"], "17"),
            ([b"Affinity-Key=a=b"], "a=b"),
            ([b"Affinity-Key"], ""),
            ([b"Affinity-Key="], ""),
            ([b"affinity=17"], ""),
            ([b";;=;"], ""),
            ([b"Affinity-Key=" + b"x" * (headers.MAX_AFFINITY_BYTES + 1)], ""),
            ([b"Affinity-Key=\xff\x00"], "\xff\x00"),
            ([], ""),
        ],
    )
    def test_the_affinity_cookie(self, cookies: list[bytes], key: str) -> None:
        found = self.read(*((b"Cookie", value) for value in cookies))
        assert found.affinity_key == key
        assert [value for name, value in found.headers if name == b"Cookie"] == cookies

    def test_an_invalid_header(self) -> None:
        assert isinstance(headers.read_request("GET", "/", [(b"Deadline-Ms", b"soon")]), str)


class TestResponseHeaders:
    def test_a_response(self) -> None:
        found = headers.read_response(
            200,
            [
                (b"Request-Id", b"9c41"),
                (b"Server-Signature", b"s"),
                (b"Keep-Alive", b"timeout=5, max=9"),
                (b"Content-Length", b"3"),
            ],
        )
        assert (found.request_id, found.signed, found.not_run) == ("9c41", True, False)
        assert (found.idle_timeout_s, found.length) == (5.0, 3)

    @pytest.mark.parametrize("status", [429, 503])
    def test_a_status_alone_does_not_mean_not_executed(self, status: int) -> None:
        assert not headers.read_response(status, []).not_run
        assert headers.read_response(status, [(b"Not-Executed", b"1")]).not_run

    def test_a_misdirected_request_was_not_executed(self) -> None:
        assert headers.read_response(421, []).not_run

    def test_an_encoded_body(self) -> None:
        assert headers.read_response(200, [(b"Content-Encoding", b"gzip")]).encoded

    @pytest.mark.parametrize(
        ("value", "limit_per_s"),
        [(b"6.1", 6.1), (b"12", 12.0), (b"0", None), (b"-1", None), (b"nan", None), (b"x", None)],
    )
    def test_a_limit_on_requests(self, value: bytes, limit_per_s: float | None) -> None:
        assert headers.read_response(200, [(b"Server-Limit", value)]).limit_per_s == limit_per_s
        assert headers.read_response(200, []).limit_per_s is None

    def test_a_replica_that_leaves(self) -> None:
        assert headers.read_response(200, [(b"Server-Leaving", b"1")]).is_leaving
        assert not headers.read_response(200, [(b"Server-Leaving", b"0")]).is_leaving
        assert not headers.read_response(200, []).is_leaving

    def test_an_error_response_carries_retry_after(self) -> None:
        assert headers.write_error("9c41", 0.25) == [
            (b"Request-Id", b"9c41"),
            (b"Retry-After", b"0.250"),
        ]
