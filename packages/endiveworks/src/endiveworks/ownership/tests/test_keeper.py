from endiveworks.journal.peer import CopyId
from endiveworks.members.member import Member
from endiveworks.ownership import keeper, placement
from endiveworks.ownership.record import OwnerId, PartitionRecord


def host(name: str, incarnation: int = 1) -> Member:
    return Member(name, "", "entry", "", "r", name, incarnation, folder=f"f-{name}")


A, B = host("a"), host("b")
DEAD_OWNER = OwnerId("gone", 9)
PARTITION = next(p for p in range(99) if placement.owners(p, [A, B])[0] == A)


def record(owner: OwnerId, epoch: int = 5, partition: int = PARTITION) -> PartitionRecord:
    return PartitionRecord(partition, owner, epoch, (CopyId("b", "f-b"),), 1)


def make_inputs(found: PartitionRecord | None, **fields) -> keeper.Situation:
    records = {PARTITION: found} if found else {}
    base = keeper.Situation(A, {"a": A, "b": B}, records, 1, {}, {}, {}, {})
    return base._replace(**fields)


def plan(found: PartitionRecord | None, **fields):
    return keeper.plan_partition(make_inputs(found, **fields), PARTITION)


class TestOwnerless:
    def test_first_ranked_host_acts_at_once(self) -> None:
        found = record(DEAD_OWNER)
        assert plan(found) == keeper.TakeOver(found)
        assert plan(None) == keeper.Create(PARTITION)

    def test_next_ranked_host_acts_after_a_delay(self) -> None:
        found = record(DEAD_OWNER)
        elapsed = {PARTITION: keeper.TAKEOVER_DELAY_PER_RANK_S}
        assert plan(found, me=B) is None
        assert plan(found, me=B, ownerless_s=elapsed) == keeper.TakeOver(found)

    def test_a_restarted_owner_is_a_different_process(self) -> None:
        found = record(OwnerId("b", 0))
        assert plan(found) == keeper.TakeOver(found)

    def test_a_draining_host_claims_no_partition(self) -> None:
        assert plan(record(DEAD_OWNER), me=A._replace(draining=True)) is None
        assert plan(None, me=A._replace(draining=True)) is None


class TestOwned:
    OWNED = record(OwnerId("a", 1))

    def test_opens_an_assigned_partition(self) -> None:
        assert plan(self.OWNED) == keeper.Open(self.OWNED)

    def test_never_opens_twice_at_one_epoch(self) -> None:
        assert plan(self.OWNED, spent={PARTITION: 5}) == keeper.TakeOver(self.OWNED)

    def test_keeps_a_partition_for_which_it_ranks_first(self) -> None:
        assert plan(self.OWNED, held={PARTITION: 5}) is None

    def test_releases_a_partition_assigned_to_another_process(self) -> None:
        assert plan(record(OwnerId("b", 1), 6), held={PARTITION: 5}) == keeper.GiveUp(PARTITION)

    def test_a_stale_record_is_ignored(self) -> None:
        assert plan(record(OwnerId("b", 1), 4), held={PARTITION: 5}) is None

    def test_hands_over_when_draining(self) -> None:
        me = A._replace(draining=True)
        action = plan(self.OWNED, me=me, members={"a": me, "b": B}, held={PARTITION: 5})
        assert action == keeper.HandOver(self.OWNED, B)

    def test_hands_over_a_partition_assigned_while_draining(self) -> None:
        me = A._replace(draining=True)
        action = plan(self.OWNED, me=me, members={"a": me, "b": B}, is_placement_due=False)
        assert action == keeper.HandOver(self.OWNED, B)


class TestDrops:
    def test_only_copies_of_older_epochs_outside_the_copy_set(self) -> None:
        found = record(OwnerId("b", 1))
        fields = {"records": {PARTITION: found}, "copies": {PARTITION: 4}}
        assert keeper.Drop(found) in keeper.plan(make_inputs(found, **fields))
        fields["copies"] = {PARTITION: 5}
        assert keeper.plan(make_inputs(found, **fields)) == ()
        inside = found._replace(copies=(CopyId("a", "f-a"),))
        assert keeper.plan(make_inputs(inside, copies={PARTITION: 4})) == ()
