"""Kept origins of streams, and the choice of the entries that keep them."""

from endiveworks.gateway.stream_origins import (
    COPIES,
    MAX_ORIGINS,
    RETENTION_S,
    OriginHolders,
    StreamOrigin,
    StreamOrigins,
    attempt_key,
    content_key,
)

V1 = StreamOrigin("llm", "v1", "entry-1")
V2 = StreamOrigin("llm", "v2", "entry-2")


class TestStreamOrigins:
    def test_a_kept_origin_is_found(self) -> None:
        kept = StreamOrigins()
        kept.record(attempt_key("r1"), V1, 1.0)
        assert kept.find(attempt_key("r1"), 2.0) == V1
        assert kept.find(attempt_key("r2"), 2.0) is None

    def test_it_is_forgotten_after_a_while(self) -> None:
        kept = StreamOrigins()
        kept.record(attempt_key("r1"), V1, 1.0)
        assert kept.find(attempt_key("r1"), 1.5 + RETENTION_S) is None
        kept.record(attempt_key("r2"), V1, 1.5 + RETENTION_S)
        assert len(kept) == 1

    def test_their_number_is_bounded(self) -> None:
        kept = StreamOrigins()
        for number in range(MAX_ORIGINS + 5):
            kept.record(attempt_key(str(number)), V1, 1.0)
        assert len(kept) == MAX_ORIGINS
        assert kept.find(attempt_key("0"), 1.0) is None
        assert kept.find(attempt_key(str(MAX_ORIGINS)), 1.0) == V1

    def test_two_versions_under_one_key_make_both_unknown(self) -> None:
        kept = StreamOrigins()
        for origin in (V1, V2, V1, V1):
            kept.record(content_key("d"), origin, 1.0)
        assert kept.find(content_key("d"), 1.0) is None

    def test_the_same_version_from_two_entries_is_known(self) -> None:
        kept = StreamOrigins()
        kept.record(content_key("d"), V1, 1.0)
        kept.record(content_key("d"), V1._replace(host="entry-2"), 1.0)
        found = kept.find(content_key("d"), 1.0)
        assert found is not None and found.is_same_software(V1)

    def test_an_id_is_not_taken_for_a_digest(self) -> None:
        assert attempt_key("d") != content_key("d")


class TestOriginHolders:
    HOSTS = [f"entry-{number}" for number in range(20)]
    KEYS = [attempt_key(str(number)) for number in range(2_000)]

    def test_all_processes_select_the_same(self) -> None:
        forwards, backwards = OriginHolders(self.HOSTS), OriginHolders(reversed(self.HOSTS))
        for key in self.KEYS:
            found = forwards.select(key)
            assert found == backwards.select(key)
            assert len(set(found)) == COPIES

    def test_a_new_or_lost_entry_leaves_two_of_three(self) -> None:
        before, after = OriginHolders(self.HOSTS), OriginHolders([*self.HOSTS, "entry-20"])
        for key in self.KEYS:
            assert len({*before.select(key)} & {*after.select(key)}) >= COPIES - 1

    def test_a_small_deployment(self) -> None:
        assert OriginHolders([]).select(self.KEYS[0]) == ()
        assert OriginHolders(["a"]).select(self.KEYS[0]) == ("a",)
        assert set(OriginHolders(["a", "b"]).select(self.KEYS[0])) == {"a", "b"}
