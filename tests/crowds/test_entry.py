"""Crowds of callers that don't behave, at an entry with little memory and few descriptors."""

import asyncio
from pathlib import Path

import pytest
from endiveworks_standins.site_caller import HOSTNAME

from .senders import BODY_BYTES, CROWD_S, crowded
from .site import LARGE, LARGE_BYTES, MAX_FDS, MEMORY_MB, ORDER, SMALL, CrowdedSite
from .usage import watched

HEADERS = (f"Host: {HOSTNAME}", "Request-Id: c1", "Deadline-Ms: 20000")
BODIES, AHEAD = f"POST {ORDER}", "GET %s"
TERMS = {"no terms on slow readers": (), "terms on slow readers": ("pressure",)}
# Kind of the crowd, its connections, and the method and target of its requests.
CROWDS = [
    ("bodies-with-length", 60, BODIES),
    ("bodies-piece-by-piece", 60, BODIES),
    ("bodies-in-chunks", 60, BODIES),
    ("bodies-in-small-chunks", 60, BODIES),
    ("requests-ahead", 30, AHEAD % LARGE),
    ("requests-ahead", 30, AHEAD % SMALL),
    ("bodies-ahead", 30, BODIES),
    ("long-heads-ahead", 60, AHEAD % SMALL),
    ("heads-without-end", 500, AHEAD % SMALL),
    ("nothing", 800, AHEAD % SMALL),
]


def name_of(crowd: tuple[str, int, str]) -> str:
    """Returns the name of a crowd in the name of its test."""
    kind, _, line = crowd
    return f"{kind} to {line.rpartition('/')[2]}" if kind == "requests-ahead" else kind


class TestCrowds:
    @pytest.mark.parametrize("terms", TERMS.values(), ids=list(TERMS))
    @pytest.mark.parametrize("crowd", CROWDS, ids=name_of)
    def test_the_entry_stays_in_its_limits_and_serves_others(
        self, tmp_path: Path, crowd: tuple[str, int, str], terms: tuple[str, ...]
    ) -> None:
        async def scenario() -> None:
            kind, connections, line = crowd
            async with CrowdedSite(tmp_path / "site", terms) as site:
                pid = site.entry.pid
                with watched(lambda: site.entry.pid, site.entry.front) as usage:
                    with crowded(kind, site.entry.front, connections, line, HEADERS):
                        await asyncio.sleep(CROWD_S)
                        beside = await site.ask(SMALL) is not None
                    afterwards = await site.ask(SMALL) is not None
                seen = f"{usage}; answered beside it {beside}, afterwards {afterwards}"
                assert (site.entry.pid, site.entry.unasked) == (pid, []), seen
                assert usage.memory_mb <= MEMORY_MB, seen
                assert usage.descriptors <= MAX_FDS, seen
                assert beside and afterwards, seen

        asyncio.run(scenario())


class TestCalm:
    @pytest.mark.parametrize("terms", TERMS.values(), ids=list(TERMS))
    def test_single_requests_at_the_limits_are_served_at_the_first_try(
        self, tmp_path: Path, terms: tuple[str, ...]
    ) -> None:
        async def scenario() -> None:
            async with CrowdedSite(tmp_path / "site", terms) as site:
                body = b"x" * BODY_BYTES
                reply = await site.send(ORDER, body)
                assert reply is not None and reply.status == 200
                assert reply.body == str(BODY_BYTES).encode()
                for size in (64 * 1024, 16):
                    reply = await site.send(ORDER, body, chunk_bytes=size)
                    assert reply is not None and reply.status == 200
                    assert reply.body == str(BODY_BYTES).encode()
                reply = await site.send(LARGE)
                assert reply is not None and reply.status == 200
                assert len(reply.body) == LARGE_BYTES and reply.complete

        asyncio.run(scenario())
