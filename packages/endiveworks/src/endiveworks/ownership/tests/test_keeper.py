from endiveworks.journal.peer import CopyId
from endiveworks.members.member import Member
from endiveworks.ownership import keeper, placement
from endiveworks.ownership.record import OwnerId, PartitionRecord


def host(name: str, incarnation: int = 1) -> Member:
    return Member(name, "", "entry", "", "r", name, incarnation, folder=f"f-{name}")


A, B = host("a"), host("b")
GONE = OwnerId("gone", 9)
FIRST = next(p for p in range(99) if placement.owners(p, [A, B])[0] == A)


def record(owner: OwnerId, epoch: int = 5, partition: int = FIRST) -> PartitionRecord:
    return PartitionRecord(partition, owner, epoch, (CopyId("b", "f-b"),), 1)


def situation(found: PartitionRecord | None, **fields) -> keeper.Situation:
    records = {FIRST: found} if found else {}
    base = keeper.Situation(A, {"a": A, "b": B}, records, 1, {}, {}, {}, {})
    return base._replace(**fields)


def decide(found: PartitionRecord | None, **fields):
    return keeper.plan_one(situation(found, **fields), FIRST)


class TestOwnerless:
    def test_first_host_in_order_acts_at_once(self) -> None:
        found = record(GONE)
        assert decide(found) == keeper.TakeOver(found)
        assert decide(None) == keeper.Create(FIRST)

    def test_next_host_acts_later(self) -> None:
        found = record(GONE)
        late = {FIRST: keeper.TAKEOVER_STEP_S}
        assert decide(found, me=B) is None
        assert decide(found, me=B, ownerless_s=late) == keeper.TakeOver(found)

    def test_restarted_owner_is_another_process(self) -> None:
        found = record(OwnerId("b", 0))
        assert decide(found) == keeper.TakeOver(found)

    def test_draining_host_takes_nothing(self) -> None:
        assert decide(record(GONE), me=A._replace(draining=True)) is None
        assert decide(None, me=A._replace(draining=True)) is None


class TestOwn:
    OWN = record(OwnerId("a", 1))

    def test_opens_what_it_was_given(self) -> None:
        assert decide(self.OWN) == keeper.Open(self.OWN)

    def test_never_opens_twice_at_one_epoch(self) -> None:
        assert decide(self.OWN, spent={FIRST: 5}) == keeper.TakeOver(self.OWN)

    def test_keeps_what_it_should_hold(self) -> None:
        assert decide(self.OWN, held={FIRST: 5}) is None

    def test_gives_up_what_has_gone_to_another(self) -> None:
        assert decide(record(OwnerId("b", 1), 6), held={FIRST: 5}) == keeper.GiveUp(FIRST)

    def test_an_older_record_changes_nothing(self) -> None:
        assert decide(record(OwnerId("b", 1), 4), held={FIRST: 5}) is None

    def test_hands_over_when_draining(self) -> None:
        me = A._replace(draining=True)
        action = decide(self.OWN, me=me, members={"a": me, "b": B}, held={FIRST: 5})
        assert action == keeper.HandOver(self.OWN, B)

    def test_hands_on_what_it_is_given_while_draining(self) -> None:
        me = A._replace(draining=True)
        given = decide(self.OWN, me=me, members={"a": me, "b": B}, is_placement_due=False)
        assert given == keeper.HandOver(self.OWN, B)


class TestDrops:
    def test_only_copies_of_older_epochs_outside_the_set(self) -> None:
        found = record(OwnerId("b", 1))
        held = {"records": {FIRST: found}, "copies": {FIRST: 4}}
        assert keeper.Drop(found) in keeper.plan(situation(found, **held))
        held["copies"] = {FIRST: 5}
        assert keeper.plan(situation(found, **held)) == ()
        inside = found._replace(copies=(CopyId("a", "f-a"),))
        assert keeper.plan(situation(inside, copies={FIRST: 4})) == ()
