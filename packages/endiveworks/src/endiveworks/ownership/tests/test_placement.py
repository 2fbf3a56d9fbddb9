from endiveworks.journal.peer import CopyId
from endiveworks.members.member import Member
from endiveworks.ownership import placement
from hypothesis import given, settings
from hypothesis import strategies as st

PARTITIONS = 1024


def host(number: int, **fields) -> Member:
    base = Member(
        host=f"h{number}",
        address="",
        role="entry",
        service="",
        region="r1" if number % 3 else "r2",
        failure_domain=f"d{number % 3}",
        incarnation=number,
        folder=f"f{number}",
    )
    return base._replace(**fields)


def owners(members) -> list[str]:
    return [placement.rank_owners(partition, members)[0].host for partition in range(PARTITIONS)]


class TestOwners:
    def test_only_partitions_of_a_removed_host_move(self) -> None:
        members = [host(number) for number in range(8)]
        before, after = owners(members), owners(members[:-1])
        moved = [old for old, new in zip(before, after, strict=True) if old != new]
        assert set(moved) == {"h7"}
        assert len(moved) < 2 * PARTITIONS / 8

    def test_spread_is_even(self) -> None:
        chosen = owners([host(number) for number in range(8)])
        counts = [chosen.count(f"h{number}") for number in range(8)]
        assert max(counts) < 1.5 * PARTITIONS / 8
        assert min(counts) > 0.5 * PARTITIONS / 8

    def test_draining_hosts_and_other_roles_are_not_owners(self) -> None:
        members = [host(0), host(1, draining=True), host(2, role="upstream")]
        assert set(owners(members)) == {"h0"}


class TestCopies:
    def test_copies_are_in_two_failure_domains_and_the_owners_region(self) -> None:
        members = [host(number) for number in range(9)]
        for partition in range(64):
            first, second = placement.choose_initial_copies(partition, "r1", members)
            domains = {int(copy.host[1:]) % 3 for copy in (first, second)}
            assert domains == {1, 2}

    def test_two_copies_in_one_failure_domain_are_better_than_one_copy(self) -> None:
        members = [host(1), host(4), host(2, folder="")]
        assert len(placement.choose_initial_copies(5, "r1", members)) == 2

    def test_copy_on_a_draining_host_is_removed_first(self) -> None:
        members = [host(1), host(2, draining=True), host(4)]
        copies = [CopyId(member.host, member.folder) for member in members]
        assert placement.choose_surplus_copy("r1", members, copies) == copies[1]
        assert placement.choose_surplus_copy("r1", members, copies[:2]) is None

    def test_hosts_with_a_copy_and_draining_hosts_are_excluded(self) -> None:
        members = [host(1), host(2, draining=True), host(4)]
        copies = [CopyId("h1", "f1")]
        assert placement.choose_copy_host(5, "r1", members, copies) == members[2]
        assert placement.choose_copy_host(5, "r1", members[:2], copies) is None


class TestChooseRegionalHost:
    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(st.integers(0, 11), min_size=2, max_size=8, unique=True),
        st.sampled_from(["r1", "r2"]),
        st.integers(0, 64),
    )
    def test_moves_end_in_the_owners_region_and_keep_the_failure_domains(
        self, numbers: list[int], region: str, partition: int
    ) -> None:
        members = [host(number) for number in numbers]
        copies = tuple(CopyId(member.host, member.folder) for member in members[:2])
        moves = 0
        while member := placement.choose_regional_host(partition, region, members, copies):
            moves += 1
            copies = tuple(sorted((*copies, CopyId(member.host, member.folder))))
            surplus = placement.choose_surplus_copy(region, members, copies)
            copies = tuple(copy for copy in copies if copy != surplus)
        assert moves <= placement.TARGET_COPIES
        domains = {member.failure_domain for member in members if member.region == region}
        final = [member for member in members if member.host in {copy.host for copy in copies}]
        if len(domains) >= placement.TARGET_COPIES:
            assert {member.region for member in final} == {region}
        before = {member.failure_domain for member in members[:2]}
        assert len({member.failure_domain for member in final}) >= len(before)

    def test_the_only_failure_domain_of_a_region_gets_one_copy(self) -> None:
        members = [host(0), host(1), host(2), host(3)]
        copies = [CopyId("h1", "f1"), CopyId("h2", "f2")]
        nearer = placement.choose_regional_host(5, "r2", members, copies)
        assert nearer is not None and nearer.region == "r2"
        copies = [CopyId("h1", "f1"), CopyId(nearer.host, nearer.folder)]
        assert placement.choose_regional_host(5, "r2", members, copies) is None
