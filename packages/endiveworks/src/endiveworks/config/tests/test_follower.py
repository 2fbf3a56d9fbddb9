import random

from endiveworks.config.active_config import ActiveConfig
from endiveworks.config.codec import encode_bundle
from endiveworks.config.follower import Follower, PeerCalls, PulledBundle
from endiveworks.config.publish import BUNDLE_KEY
from endiveworks.config.pull_tree import FAN_OUT, tree_position
from endiveworks.config.tests.test_codec import BUNDLE
from endiveworks.errors import Code, Failure
from endiveworks.kvservice.kv import Change, KeyValue, Kv, Snapshot
from endiveworks.members.member import Member
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure as Err
from returns.result import Result, Success

DOWN = Failure(Code.UNREACHABLE, "test", "", "down")


def member(host: str, region: str = "east") -> Member:
    return Member(host, host, "entry", "", region, "d", 1)


class Hosts:
    """Followers connected by direct calls; a host in `down` does not respond."""

    def __init__(self, count: int, seed: int = 1) -> None:
        self.now_s = 0.0
        self.pulls = 0
        self.down: set[str] = set()
        self.members = {f"h{n}": member(f"h{n}") for n in range(count)}
        self.configs = {host: ActiveConfig() for host in self.members}
        self.followers = {
            host: Follower(
                host,
                "east",
                self.configs[host],
                lambda: self.members,
                PeerCalls(self.pull, lambda address, sender=host: self.notify(sender, address)),
                (),
                random.Random(f"{seed}-{host}"),
            )
            for host in self.members
        }

    def by_index(self, index: int) -> str:
        positions = {host: tree_position(host, "east", self.members) for host in self.members}
        return next(
            host for host, position in positions.items() if position and position.rank == index
        )

    def pull(self, address: str, newer_than: int) -> Result[PulledBundle, Failure]:
        self.pulls += 1
        if address in self.down:
            return Err(DOWN)
        bundle, encoded = self.configs[address].current()
        body = encoded if bundle.version > newer_than else b""
        return Success(
            PulledBundle(bundle.version, body, self.followers[address].age_s(self.now_s))
        )

    def notify(self, sender: str, address: str) -> None:
        version = self.configs[sender].current().bundle.version
        self.followers[address].record_version(sender, version, self.now_s)

    def run_rounds(self, count: int, period_s: float = 2.0) -> None:
        for _ in range(count):
            self.now_s += period_s
            for host, follower in self.followers.items():
                if host not in self.down:
                    follower.run_round(self.now_s)

    def watch_once(self, host: str, entry: KeyValue) -> None:
        unused = None
        kv = Kv(
            unused,  # type: ignore[arg-type]
            lambda _: Success(Snapshot(entry.mod_revision, (entry,))),
            unused,  # type: ignore[arg-type]
            unused,  # type: ignore[arg-type]
            unused,  # type: ignore[arg-type]
            lambda *_: Err(DOWN),
        )
        self.followers[host].watch(kv, lambda: self.now_s)

    def versions(self) -> set[int]:
        live = [host for host in self.members if host not in self.down]
        return {self.configs[host].current().bundle.version for host in live}


def published(version: int) -> KeyValue:
    return KeyValue(BUNDLE_KEY, encode_bundle(BUNDLE._replace(version=version)), version)


class TestPlace:
    @settings(derandomize=True)
    @given(st.integers(1, 200))
    def test_every_host_but_the_first_has_a_source_and_is_its_child(self, count: int) -> None:
        members = {f"h{n}": member(f"h{n}") for n in range(count)}
        members["far"] = member("far", "west")
        positions = {
            host: tree_position(host, "east", members) for host in members if host != "far"
        }
        child_count = sum(len(position.children) for position in positions.values() if position)
        assert child_count == count - 1
        assert all(len(position.children) <= FAN_OUT for position in positions.values() if position)
        assert [
            position.rank for position in positions.values() if position and not position.sources
        ] == [0]


class TestFollower:
    def test_a_publication_reaches_every_host_within_the_depth_of_the_tree(self) -> None:
        hosts = Hosts(150)
        hosts.watch_once(hosts.by_index(0), published(5))
        hosts.run_rounds(3)
        assert hosts.versions() == {5}

    def test_dead_inner_hosts_do_not_keep_it_from_the_others(self) -> None:
        hosts = Hosts(100)
        hosts.down = {hosts.by_index(index) for index in (1, 2, 3, 4)}
        hosts.watch_once(hosts.by_index(0), published(5))
        hosts.run_rounds(12)
        assert hosts.versions() == {5}

    def test_the_next_host_watches_when_the_first_is_silent_and_stops_when_it_is_back(self) -> None:
        hosts = Hosts(10)
        first, second, third = (hosts.by_index(index) for index in range(3))
        watching = [hosts.followers[host] for host in (first, second, third)]
        hosts.watch_once(first, published(1))
        hosts.run_rounds(1)
        assert [follower.should_watch(hosts.now_s) for follower in watching] == [True, False, False]
        hosts.down = {first}
        hosts.run_rounds(3)
        hosts.watch_once(second, published(2))
        hosts.run_rounds(1)
        assert [follower.should_watch(hosts.now_s) for follower in watching[1:]] == [True, False]
        hosts.down = set()
        hosts.watch_once(first, published(2))
        hosts.run_rounds(1)
        assert not watching[1].should_watch(hosts.now_s)

    def test_only_the_first_hosts_of_a_region_without_the_service_pull_from_another(self) -> None:
        hosts = Hosts(10)
        hosts.members["far"] = member("far", "west")
        hosts.configs["far"] = ActiveConfig()
        hosts.configs["far"].adopt(published(4).value, "kv")
        hosts.followers["far"] = hosts.followers["h0"]
        first, last = hosts.by_index(0), hosts.by_index(9)
        hosts.watch_once(first, published(3))

        def version_after_notification(host: str) -> int:
            hosts.followers[host].record_version("far", 4, hosts.now_s)
            hosts.followers[host].run_round(hosts.now_s)
            return hosts.configs[host].current().bundle.version

        assert version_after_notification(first) == 3
        hosts.now_s += 10.0
        assert version_after_notification(last) < 4
        assert version_after_notification(first) == 4

    def test_a_watch_that_ends_in_silence_goes_on_from_the_last_revision(self) -> None:
        hosts = Hosts(1)
        requested: list[int] = []
        silence = Failure(Code.TIMEOUT, "kv.watch", "", "silence")

        def watch(_: str, revision: int, on_changes: object) -> Result[None, Failure]:
            requested.append(revision)
            if len(requested) == 1:
                data = encode_bundle(BUNDLE._replace(version=9))
                on_changes((Change(BUNDLE_KEY, data, 8),))  # type: ignore[operator]
                return Err(silence)
            return Err(DOWN)

        unused = None
        snapshot = Snapshot(4, ())
        kv = Kv(
            unused,  # type: ignore[arg-type]
            lambda _: Success(snapshot),
            unused,  # type: ignore[arg-type]
            unused,  # type: ignore[arg-type]
            unused,  # type: ignore[arg-type]
            watch,
        )
        assert hosts.followers["h0"].watch(kv, lambda: 0.0) == DOWN
        assert requested == [4, 8]
        assert hosts.versions() == {9}

    def test_a_host_without_members_pulls_from_its_seeds(self) -> None:
        hosts = Hosts(2)
        hosts.watch_once("h0", published(3))
        active_config = ActiveConfig()
        peers = PeerCalls(hosts.pull, lambda _: None)
        rng = random.Random(1)
        alone = Follower("new", "east", active_config, dict, peers, ("h0",), rng)
        alone.run_round(1.0)
        assert active_config.current().bundle.version == 3

    def test_an_unreadable_bundle_is_not_pulled_again_at_once(self) -> None:
        hosts = Hosts(2)
        pulled: list[int] = []

        def pull(_: str, newer_than: int) -> Result[PulledBundle, Failure]:
            pulled.append(newer_than)
            return Success(PulledBundle(7, b"{" if newer_than < 7 else b"", 0.0))

        peers = PeerCalls(pull, lambda _: None)
        rng = random.Random(1)
        active_config = ActiveConfig()
        second = hosts.by_index(1)
        follower = Follower(second, "east", active_config, lambda: hosts.members, peers, (), rng)
        follower.run_round(1.0)
        follower.run_round(3.0)
        assert pulled[0] == 0
        assert set(pulled[1:]) == {7}
        assert active_config.refused == 1
