"""Crowds of callers that don't behave, at the project's own HTTP interface."""

import http.client
import json
import time
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import pytest
from endiveworks_standins.demo import EAST, SERVICES
from endiveworks_standins.fleet import Fleet

from .senders import BODY_BYTES, CROWD_S, crowded
from .usage import count_descriptors, memory_mb, watched

CALLER_MEMORY_MB = 48
MAX_OPEN, MAX_CALLERS = 16, 64
FLAGS = (
    f"--max_open={MAX_OPEN}",
    f"--max_callers={MAX_CALLERS}",
    f"--max_body_bytes={BODY_BYTES}",
    f"--caller_memory_mb={CALLER_MEMORY_MB}",
)
# Descriptors beside those of callers' connections that come and go: links, files.
SPARE_DESCRIPTORS = 32
TENANT = "signs"
ANSWER_TIMEOUT_S = 60.0
START_S = 60.0
PAUSE_S = 0.2
MAX_PROGRAMS = 1000  # Several times those that fit.
HEADERS = (
    "Host: x",
    f"Endive-Tenant: {TENANT}",
    "Content-Type: application/json",
    "Endive-Program: 0000-none",
    "Endive-Call: 1",
)
BODIES, AHEAD = "POST /v1/services/shop/order", "GET /v1/programs/0000-none"
# Kind of the crowd, its connections, and the method and target of its requests.
CROWDS = [
    ("bodies-with-length", 60, BODIES),
    ("bodies-piece-by-piece", 60, BODIES),
    ("bodies-in-chunks", 60, BODIES),
    ("bodies-in-small-chunks", 60, BODIES),
    ("requests-ahead", 30, AHEAD),
    ("bodies-ahead", 30, BODIES),
    ("long-heads-ahead", 60, AHEAD),
    ("heads-without-end", 60, AHEAD),
    ("nothing", 200, AHEAD),
]


class Shop(NamedTuple):
    """A running deployment with one entry."""

    fleet: Fleet
    entry: str

    def pid(self) -> int:
        return self.fleet.procs["entry-1"].popen.pid

    def order(self) -> bool:
        """Opens a program and sends an order, as often as is needed; returns whether it was served.

        A refusal is repeated when it says so.
        """
        end_s = time.monotonic() + ANSWER_TIMEOUT_S
        opened = self._repeat("/v1/programs", {"service": "shop"}, (), end_s)
        if opened is None:
            return False
        call = (("Endive-Program", opened["id"]), ("Endive-Call", "1"))
        return self._repeat("/v1/services/shop/order", {"item": "x"}, call, end_s) is not None

    def _repeat(
        self, path: str, body: object, more: tuple[tuple[str, str], ...], end_s: float
    ) -> dict[str, str] | None:
        while time.monotonic() < end_s:
            reply = self.send(path, json.dumps(body).encode(), dict(more))
            if reply is not None and reply.status in (200, 201):
                return dict(json.loads(reply.body))
            wait_s = float(reply.headers.get("Retry-After", 0)) if reply is not None else 0.0
            time.sleep(max(wait_s, PAUSE_S))
        return None

    def send(
        self, path: str, body: bytes, more: dict[str, str], chunk_bytes: int = 0
    ) -> "Reply | None":
        """Sends a request on a new connection; returns None if there was no response."""
        ip, _, port = self.entry.rpartition(":")
        conn = http.client.HTTPConnection(ip, int(port), timeout=ANSWER_TIMEOUT_S)
        headers = {"Endive-Tenant": TENANT, "Content-Type": "application/json", **more}
        pieces = [body[at : at + chunk_bytes] for at in range(0, len(body), chunk_bytes or 1)]
        try:
            sent = b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces)
            if chunk_bytes:
                headers["Transfer-Encoding"] = "chunked"
                conn.request("POST", path, sent + b"0\r\n\r\n", headers)
            else:
                conn.request("POST", path, body, headers)
            resp = conn.getresponse()
            return Reply(resp.status, dict(resp.headers), resp.read())
        except (OSError, http.client.HTTPException):
            return None
        finally:
            conn.close()


class Reply(NamedTuple):
    """A response to a caller."""

    status: int
    headers: dict[str, str]
    body: bytes


@pytest.fixture
def shop(tmp_path: Path) -> Iterator[Shop]:
    with Fleet(tmp_path) as fleet:
        fleet.start_kv()
        fleet.publish(SERVICES)
        fleet.start_upstream("up-shop", EAST, "shop", fleet.start_plain("shop"))
        found = Shop(fleet, fleet.start_entry("entry-1", EAST, *FLAGS))
        assert found.order()
        yield found


class TestCrowds:
    @pytest.mark.parametrize("crowd", CROWDS, ids=[kind for kind, _, _ in CROWDS])
    def test_the_process_stays_in_its_limits_and_serves_others(
        self, shop: Shop, crowd: tuple[str, int, str]
    ) -> None:
        kind, connections, line = crowd
        idle_mb, idle_descriptors = memory_mb(shop.pid(), shop.entry), count_descriptors(shop.pid())
        with watched(shop.pid, shop.entry) as usage:
            with crowded(kind, shop.entry, connections, line, HEADERS):
                time.sleep(CROWD_S)
                beside = shop.order()
            afterwards = shop.order()
        seen = f"{usage} after {idle_mb:.1f} MB; answered beside {beside}, afterwards {afterwards}"
        assert shop.fleet.procs["entry-1"].popen.poll() is None, seen
        assert usage.memory_mb - idle_mb <= CALLER_MEMORY_MB, seen
        assert usage.descriptors <= idle_descriptors + MAX_CALLERS + SPARE_DESCRIPTORS, seen
        assert beside and afterwards, seen


class TestCalm:
    @pytest.mark.parametrize("chunk_bytes", [0, 64 * 1024, 16])
    def test_a_single_body_at_the_limit_is_served_at_the_first_try(
        self, shop: Shop, chunk_bytes: int
    ) -> None:
        opened = shop.send("/v1/programs", b'{"service": "shop"}', {})
        assert opened is not None and opened.status == 201
        call = {"Endive-Program": json.loads(opened.body)["id"], "Endive-Call": "1"}
        start = b'{"item": "'
        body = start + b"x" * (BODY_BYTES - len(start) - 2) + b'"}'
        reply = shop.send("/v1/services/shop/order", body, call, chunk_bytes)
        assert reply is not None and reply.status == 200


class TestPrograms:
    """Programs were kept until the process was out of memory, by whatever callers sent."""

    def test_programs_without_room_are_refused_and_those_open_go_on(self, tmp_path: Path) -> None:
        with Fleet(tmp_path) as fleet:
            fleet.start_kv()
            fleet.publish(SERVICES)
            fleet.start_upstream("up-shop", EAST, "shop", fleet.start_plain("shop"))
            flags = (*FLAGS, "--program_memory_mb=1")
            shop = Shop(fleet, fleet.start_entry("entry-1", EAST, *flags))
            assert shop.order()
            programs: list[str] = []
            for _ in range(MAX_PROGRAMS):
                reply = shop.send("/v1/programs", b'{"service": "shop"}', {})
                assert reply is not None
                if reply.status != 201:
                    break
                programs.append(json.loads(reply.body)["id"])
            assert reply.status == 503 and int(reply.headers["Retry-After"]) >= 10
            assert json.loads(reply.body)["code"] == "overloaded"
            assert programs
            call = {"Endive-Program": programs[0], "Endive-Call": "1"}
            first = shop.send("/v1/services/shop/order", b'{"item": "x"}', call)
            again = shop.send("/v1/services/shop/order", b'{"item": "x"}', call)
            assert first is not None and again is not None
            assert (first.status, again.status, first.body) == (200, 200, again.body)
