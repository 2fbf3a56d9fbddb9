from endiveworks.journal.peer import CopyId
from endiveworks.members.member import Member
from endiveworks.ownership import placement, planner
from endiveworks.ownership.record import OwnerId, PartitionRecord


def host(name: str, incarnation: int = 1) -> Member:
    return Member(name, "", "entry", "", "r", name, incarnation, folder=f"f-{name}")


A, B = host("a"), host("b")
DEAD_OWNER = OwnerId("gone", 9)
PARTITION = next(p for p in range(99) if placement.rank_owners(p, [A, B])[0] == A)


def record(owner: OwnerId, epoch: int = 5, partition: int = PARTITION) -> PartitionRecord:
    return PartitionRecord(partition, owner, epoch, (CopyId("b", "f-b"),), 1)


def make_inputs(found: PartitionRecord | None, **fields) -> planner.PlannerInputs:
    records = {PARTITION: found} if found else {}
    base = planner.PlannerInputs(A, {"a": A, "b": B}, records, 1, {}, {}, {}, {})
    return base._replace(**fields)


def plan(found: PartitionRecord | None, **fields):
    return planner.plan_partition(make_inputs(found, **fields), PARTITION)


class TestOwnerless:
    def test_first_ranked_host_acts_at_once(self) -> None:
        found = record(DEAD_OWNER)
        assert plan(found) == planner.TakeOver(found)
        assert plan(None) == planner.Create(PARTITION)

    def test_next_ranked_host_acts_after_a_delay(self) -> None:
        found = record(DEAD_OWNER)
        elapsed = {PARTITION: planner.TAKEOVER_DELAY_PER_RANK_S}
        assert plan(found, local_member=B) is None
        assert plan(found, local_member=B, ownerless_s=elapsed) == planner.TakeOver(found)

    def test_a_restarted_owner_is_a_different_process(self) -> None:
        found = record(OwnerId("b", 0))
        assert plan(found) == planner.TakeOver(found)

    def test_a_draining_host_claims_no_partition(self) -> None:
        assert plan(record(DEAD_OWNER), local_member=A._replace(draining=True)) is None
        assert plan(None, local_member=A._replace(draining=True)) is None


class TestOwned:
    OWNED = record(OwnerId("a", 1))

    def test_opens_an_assigned_partition(self) -> None:
        assert plan(self.OWNED) == planner.Open(self.OWNED)

    def test_never_opens_twice_at_one_epoch(self) -> None:
        assert plan(self.OWNED, opened_epochs={PARTITION: 5}) == planner.TakeOver(self.OWNED)

    def test_keeps_a_partition_for_which_it_ranks_first(self) -> None:
        assert plan(self.OWNED, held_epochs={PARTITION: 5}) is None

    def test_releases_a_partition_assigned_to_another_process(self) -> None:
        assert plan(record(OwnerId("b", 1), 6), held_epochs={PARTITION: 5}) == planner.Release(
            PARTITION
        )

    def test_a_stale_record_is_ignored(self) -> None:
        assert plan(record(OwnerId("b", 1), 4), held_epochs={PARTITION: 5}) is None

    def test_hands_over_when_draining(self) -> None:
        local_member = A._replace(draining=True)
        action = plan(
            self.OWNED,
            local_member=local_member,
            members={"a": local_member, "b": B},
            held_epochs={PARTITION: 5},
        )
        assert action == planner.HandOver(self.OWNED, B)

    def test_hands_over_a_partition_assigned_while_draining(self) -> None:
        local_member = A._replace(draining=True)
        action = plan(
            self.OWNED,
            local_member=local_member,
            members={"a": local_member, "b": B},
            is_placement_due=False,
        )
        assert action == planner.HandOver(self.OWNED, B)


class TestDrops:
    def test_only_copies_of_older_epochs_outside_the_copy_set(self) -> None:
        found = record(OwnerId("b", 1))
        fields = {"records": {PARTITION: found}, "copy_epochs": {PARTITION: 4}}
        assert planner.DropCopy(found) in planner.plan(make_inputs(found, **fields))
        fields["copy_epochs"] = {PARTITION: 5}
        assert planner.plan(make_inputs(found, **fields)) == ()
        inside = found._replace(copies=(CopyId("a", "f-a"),))
        assert planner.plan(make_inputs(inside, copy_epochs={PARTITION: 4})) == ()
