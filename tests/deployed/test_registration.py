"""Registration of entries with the key-value service."""

from endiveworks.members.member import Member
from endiveworks.members.registry import HOSTS_PREFIX, decode_member
from endiveworks_daemon.gateway.registration import register_once
from endiveworks_site import store
from endiveworks_standins.site_store import Faults, running_store

MEMBER = Member("edge-1", "127.0.0.1:7380", "entry", "", "east", "edin", 0)
KEY = HOSTS_PREFIX + MEMBER.host


class TestRegistration:
    def test_a_restart_does_not_write_it_again(self) -> None:
        with running_store() as site:
            kv = store.connect(site.address)
            assert register_once(kv, MEMBER)
            revision = site.store.revision
            assert register_once(store.connect(site.address), MEMBER)
            assert site.store.revision == revision
            assert decode_member(site.get(KEY) or b"") == MEMBER

    def test_a_new_address_replaces_it(self) -> None:
        with running_store() as site:
            kv = store.connect(site.address)
            assert register_once(kv, MEMBER)
            moved = MEMBER._replace(address="127.0.0.1:7381")
            assert register_once(kv, moved)
            assert decode_member(site.get(KEY) or b"") == moved

    def test_it_is_written_again_after_its_lease_has_expired(self) -> None:
        with running_store() as site:
            kv = store.connect(site.address)
            assert register_once(kv, MEMBER)
            site.store.expire(float("inf"))
            assert site.get(KEY) is None
            assert register_once(kv, MEMBER)
            assert site.get(KEY) is not None

    def test_an_unavailable_key_value_service_is_reported(self) -> None:
        with running_store() as site:
            site.faults = Faults(status=503)
            assert not register_once(store.connect(site.address), MEMBER)
