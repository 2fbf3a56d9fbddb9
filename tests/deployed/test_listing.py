"""The entry by which other processes find one that serves callers."""

from endiveworks.members.member import Member
from endiveworks.members.registry import HOSTS_PREFIX, decode_member
from endiveworks_daemon.gateway.listing import list_once
from endiveworks_site import store
from endiveworks_standins.site_store import Faults, running_store

MEMBER = Member("edge-1", "127.0.0.1:7380", "entry", "", "east", "edin", 0)
KEY = HOSTS_PREFIX + MEMBER.host


class TestListing:
    def test_it_is_written_once_whatever_restarts(self) -> None:
        with running_store() as site:
            kv = store.connect(site.address)
            assert list_once(kv, MEMBER)
            revision = site.store.revision
            assert list_once(store.connect(site.address), MEMBER)
            assert site.store.revision == revision
            assert decode_member(site.get(KEY) or b"") == MEMBER

    def test_another_address_replaces_it(self) -> None:
        with running_store() as site:
            kv = store.connect(site.address)
            assert list_once(kv, MEMBER)
            moved = MEMBER._replace(address="127.0.0.1:7381")
            assert list_once(kv, moved)
            assert decode_member(site.get(KEY) or b"") == moved

    def test_it_is_written_again_after_its_lease_has_ended(self) -> None:
        with running_store() as site:
            kv = store.connect(site.address)
            assert list_once(kv, MEMBER)
            site.store.expire(float("inf"))
            assert site.get(KEY) is None
            assert list_once(kv, MEMBER)
            assert site.get(KEY) is not None

    def test_a_store_that_is_away(self) -> None:
        with running_store() as site:
            site.faults = Faults(status=503)
            assert not list_once(store.connect(site.address), MEMBER)
