from collections.abc import Callable

from endiveworks.config.bundle import Service
from endiveworks.config.differences import Difference
from endiveworks.config.publish import (
    BUNDLE_KEY,
    PublishRefusal,
    PublishRequest,
    PublishResult,
    publish,
    read_bundle,
)
from endiveworks.config.tests.test_codec import SHOP
from endiveworks.errors import Code, Failure
from endiveworks.kvservice.kv import KeyValue, Kv, Swap, SwapResult
from returns.result import Failure as Err
from returns.result import Result, Success

LOST = Failure(Code.TIMEOUT, "kv.txn", "kv", "no answer")
DOWN = Failure(Code.UNREACHABLE, "kv.range", "kv", "refused")


class FakeKv:
    """Stores one key. `before_swap` runs before the next write; the lists select lost responses."""

    def __init__(self) -> None:
        self.entry: KeyValue | None = None
        self.lost_after: list[bool] = []
        self.lost_before: list[bool] = []
        self.reads_down = 0
        self.writes = 0
        self.before_swap: Callable[[], None] = lambda: None

    def kv(self) -> Kv:
        unused = None
        return Kv(self.read, unused, self.swap, unused, unused, unused)  # type: ignore[arg-type]

    def read(self, key: str) -> Result[KeyValue | None, Failure]:
        assert key == BUNDLE_KEY
        if self.reads_down:
            self.reads_down -= 1
            return Err(DOWN)
        return Success(self.entry)

    def swap(self, write: Swap) -> Result[SwapResult, Failure]:
        action, self.before_swap = self.before_swap, lambda: None
        action()
        if self.lost_before and self.lost_before.pop(0):
            return Err(LOST)
        current = self.entry.mod_revision if self.entry else 0
        done = current == write.expected_revision
        if done:
            assert write.value is not None
            self.writes += 1
            self.entry = KeyValue(write.key, write.value, current + 1)
        if self.lost_after and self.lost_after.pop(0):
            return Err(LOST)
        return Success(SwapResult(done, 0, self.entry))


def make_request(publisher: str, version: int, **services: Service) -> PublishRequest:
    return PublishRequest(services, publisher, version, f"id-{publisher}-{version}", 100.0)


def run(kv: FakeKv, req: PublishRequest, tries: int = 3) -> Result[PublishResult, PublishRefusal]:
    return publish(kv.kv(), req, [0.0] * tries, lambda _: None)


class TestPublish:
    def test_versions_grow_by_one(self) -> None:
        kv = FakeKv()
        assert run(kv, make_request("ann", 0, shop=SHOP)).unwrap().bundle.version == 1
        second = run(kv, make_request("bob", 1, shop=SHOP, other=SHOP)).unwrap()
        assert second.bundle.version == 2
        assert read_bundle(kv.kv()).unwrap() == second.bundle

    def test_equal_content_is_a_no_op_whatever_version_was_expected(self) -> None:
        kv = FakeKv()
        run(kv, make_request("ann", 0, shop=SHOP)).unwrap()
        again = run(kv, make_request("bob", 7, shop=SHOP)).unwrap()
        assert not again.changed
        assert kv.writes == 1

    def test_a_conflict_names_the_winner_its_time_and_the_differences(self) -> None:
        kv = FakeKv()
        run(kv, make_request("ann", 0, shop=SHOP)).unwrap()
        rival = make_request("bob", 1, shop=SHOP._replace(slots=9))
        kv.before_swap = lambda: run(kv, rival).unwrap() and None
        lost = run(kv, make_request("ann", 1, shop=SHOP, cutter=SHOP)).failure()
        assert lost.failure.code == Code.CONFLICT
        assert lost.in_force is not None
        assert (lost.in_force.publisher, lost.in_force.published_at) == ("bob", 100.0)
        assert lost.differences == (
            Difference("cutter", "", "absent", "present"),
            Difference("shop", "slots", "9", "4"),
        )
        assert read_bundle(kv.kv()).unwrap().publisher == "bob"

    def test_an_old_expected_version_loses(self) -> None:
        kv = FakeKv()
        run(kv, make_request("ann", 0, shop=SHOP)).unwrap()
        assert run(kv, make_request("bob", 0, cutter=SHOP)).failure().failure.code == Code.CONFLICT
        assert kv.writes == 1


class TestLostResponses:
    def test_a_write_that_took_effect_is_not_published_twice(self) -> None:
        kv = FakeKv()
        kv.lost_after = [True]
        kv.reads_down = 0
        published = run(kv, make_request("ann", 0, shop=SHOP)).unwrap()
        assert published == PublishResult(read_bundle(kv.kv()).unwrap(), True)
        assert kv.writes == 1

    def test_it_is_found_also_behind_a_later_publication(self) -> None:
        kv = FakeKv()
        kv.lost_after = [True]
        delays: list[float] = []

        def publish_another(delay_s: float) -> None:
            delays.append(delay_s)
            run(kv, make_request("bob", 1, cutter=SHOP)).unwrap()

        published = publish(
            kv.kv(), make_request("ann", 0, shop=SHOP), [0.5], publish_another
        ).unwrap()
        assert published.changed
        assert published.bundle.publisher == "bob"
        assert kv.writes == 2

    def test_a_write_that_was_lost_is_made(self) -> None:
        kv = FakeKv()
        kv.lost_before = [True, True]
        assert run(kv, make_request("ann", 0, shop=SHOP)).unwrap().bundle.version == 1
        assert kv.writes == 1

    def test_a_long_outage_after_the_write_is_an_unknown_outcome(self) -> None:
        kv = FakeKv()
        kv.lost_before = [True]

        def fail_next_read(_: float) -> None:
            kv.reads_down = 1

        refused = publish(
            kv.kv(), make_request("ann", 0, shop=SHOP), [0.0] * 3, fail_next_read
        ).failure()
        assert refused.failure.code == Code.OUTCOME_UNKNOWN
        assert "id-ann" in refused.failure.detail

    def test_an_outage_before_any_write_is_reported_as_such(self) -> None:
        kv = FakeKv()
        kv.reads_down = 10
        assert run(kv, make_request("ann", 0, shop=SHOP)).failure().failure == DOWN
