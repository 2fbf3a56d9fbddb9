import math
import random

from endiveworks.gateway.memory_budget import (
    CUT_AFTER_S,
    MAX_RETRY_S,
    MIN_BOUND_BYTES,
    ORDINARY_BYTES,
    STALLED_S,
    Claim,
    Peer,
    UnreadBytes,
    bound_bytes,
    claim_of,
    expected_room_wait_s,
    has_room,
    is_fair,
    is_short,
    max_connections,
    missing_bytes,
    peers_to_cut,
    peers_to_evict,
)

KIB = 1024
MIB = 1024 * KIB
BOUND = bound_bytes(128)  # The smallest entry.


class PlayedEntry:
    """Plays an entry that follows the decisions; a tick is 0.25 s."""

    def __init__(self) -> None:
        self.held: dict[int, int] = {}
        self.waiting_since_s: dict[int, float | None] = {}
        self.wanted = 0
        self.was_short = False
        self.now_s = 0.0
        self.peak = 0

    def claim(self, peer: int, size: int, claim: Claim) -> bool:
        total = sum(self.held.values())
        if not has_room(claim, size, total, BOUND):
            self.wanted = max(self.wanted, size)
            return False
        self.held[peer] = self.held.get(peer, 0) + size
        self.peak = max(self.peak, total + size)
        return True

    def tick(self) -> list[int]:
        """Ends a tick; returns the peers that are cut."""
        self.now_s += 0.25
        total = sum(self.held.values())
        self.was_short = is_short(self.was_short, total, self.wanted, BOUND)
        peers = [Peer(p, size, self.waiting_since_s.get(p)) for p, size in self.held.items()]
        cut = peers_to_cut(peers, total, self.wanted, BOUND, self.now_s) if self.was_short else []
        for peer in cut:
            del self.held[peer.id]
        self.wanted = 0
        return [peer.id for peer in cut]


class TestPlayedLoads:
    def test_of_300_readers_at_a_trickle_only_as_many_are_cut_as_needed(self) -> None:
        entry = PlayedEntry()
        sound, trickling = range(20), range(100, 400)
        cut: list[int] = []
        for peer in sound:
            assert entry.claim(peer, 160 * KIB, Claim.NEW)
        for peer in trickling:  # Each asks for as much as the entry gives it.
            if entry.claim(peer, 160 * KIB, Claim.NEW):
                entry.waiting_since_s[peer] = 0.0
        for _ in range(40):
            for peer in trickling:
                if peer in entry.held:
                    entry.claim(peer, 32 * KIB, Claim.BEHIND)
            for peer in sound:  # The next piece, which is read at once.
                assert entry.claim(peer, 32 * KIB, Claim.FLOWING)
                entry.held[peer] -= 32 * KIB
            cut += entry.tick()
        assert cut
        assert not set(cut) & set(sound)
        assert entry.peak <= BOUND
        assert has_room(Claim.NEW, 160 * KIB, sum(entry.held.values()), BOUND)

    def test_of_60_bodies_of_4_mb_some_are_taken_whole_and_the_others_refused(self) -> None:
        entry = PlayedEntry()
        taken = [peer for peer in range(60) if entry.claim(peer, 4 * MIB, Claim.NEW)]
        assert 5 <= len(taken) < 60
        assert entry.peak <= BOUND
        assert not entry.tick()  # None of them is slow.

    def test_one_response_of_64_mb_takes_its_part_only(self) -> None:
        held = 0
        while is_fair(held + 64 * KIB, BOUND):
            held += 64 * KIB
        assert held < 64 * MIB
        assert has_room(Claim.NEW, 4 * MIB, held, BOUND)

    def test_memory_below_the_bound_cuts_nobody_however_slow(self) -> None:
        entry = PlayedEntry()
        for peer in range(50):
            assert entry.claim(peer, 160 * KIB, Claim.NEW)
            entry.waiting_since_s[peer] = 0.0
        for _ in range(400):
            assert entry.tick() == []


class TestBound:
    def test_no_limit_leaves_everything_as_it_was(self) -> None:
        assert bound_bytes(0) == math.inf
        assert all(has_room(claim, 10**12, 10**12, math.inf) for claim in Claim)
        assert is_fair(10**12, math.inf)

    def test_the_bound_leaves_room_for_the_process_and_grows_with_the_machine(self) -> None:
        assert MIN_BOUND_BYTES < bound_bytes(128) < 128e6 * 0.3
        assert bound_bytes(552) > 10 * bound_bytes(128)
        assert bound_bytes(16) == MIN_BOUND_BYTES

    def test_claims_end_in_order(self) -> None:
        order = [Claim.NEW, Claim.BEHIND, Claim.FLOWING, Claim.CONNECTION]
        for held in range(0, int(BOUND * 1.1), MIB):
            granted = [has_room(claim, 0, held, BOUND) for claim in order]
            assert granted == sorted(granted)

    def test_short_memory_is_regained_only_well_below(self) -> None:
        assert not is_short(False, int(BOUND * 0.75), 0, BOUND)
        assert is_short(False, int(BOUND * 0.81), 0, BOUND)
        assert is_short(True, int(BOUND * 0.75), 0, BOUND)
        assert not is_short(True, int(BOUND * 0.69), 0, BOUND)
        assert is_short(False, 0, 1, BOUND)


class TestCuts:
    def test_the_slowest_goes_first_and_none_before_its_time(self) -> None:
        full = int(BOUND)
        since = {1: 10.0, 2: 8.0, 3: None, 4: 14.0}
        peers = [Peer(peer, MIB, since_s) for peer, since_s in since.items()]
        now_s = 11.0 + CUT_AFTER_S
        assert [p.id for p in peers_to_cut(peers, full, 0, BOUND, now_s)] == [2, 1]
        assert peers_to_cut(peers, full, 0, BOUND, 8.0 + CUT_AFTER_S - 0.01) == []

    def test_no_more_are_cut_than_it_takes(self) -> None:
        held = int(BOUND * 0.8) + MIB
        peers = [Peer(peer, 2 * MIB, 0.0) for peer in range(10)]
        assert len(peers_to_cut(peers, held, 0, BOUND, 100.0)) == 1
        assert len(peers_to_cut(peers, held, 4 * MIB, BOUND, 100.0)) == 3

    def test_any_order_of_peers_gives_the_same_cuts(self) -> None:
        rng = random.Random(1)
        peers = [
            Peer(n, rng.randrange(1, MIB), rng.choice([None, rng.random()])) for n in range(99)
        ]
        expected = peers_to_cut(peers, int(BOUND), 0, BOUND, 100.0)
        for _ in range(20):
            rng.shuffle(peers)
            assert peers_to_cut(peers, int(BOUND), 0, BOUND, 100.0) == expected


class TestRetryTime:
    def test_it_is_the_time_until_enough_is_freed(self) -> None:
        held = int(BOUND * 0.8)
        assert expected_room_wait_s(2 * MIB, held, BOUND, 2 * MIB) == 1.0
        assert expected_room_wait_s(2 * MIB, held, BOUND, 0.0) == MAX_RETRY_S
        assert expected_room_wait_s(9 * MIB, held, BOUND, 1.0) == MAX_RETRY_S


class TestUnreadBytes:
    def test_the_oldest_unread_bytes_count(self) -> None:
        unread = UnreadBytes()
        unread.write(100, 1.0)
        unread.write(100, 2.0)
        unread.read(150)
        assert unread.since_s == 1.0
        unread.read(100)
        assert unread.since_s == 2.0
        unread.read(0)
        assert unread.since_s is None

    def test_writes_without_a_reader_keep_few_marks(self) -> None:
        unread = UnreadBytes()
        for number in range(100_000):
            unread.write(10, number * 0.0001)
        assert len(unread._marks) <= 41
        assert unread.since_s == 0.0


class TestEvictions:
    def test_those_that_hold_most_go_first_and_no_more_than_needed(self) -> None:
        peers = [Peer(1, KIB, 0.0), Peer(2, MIB, 1.0), Peer(3, 2 * MIB, 2.0)]
        assert peers_to_evict(peers, MIB, 10.0) == [peers[2]]
        assert peers_to_evict(peers, 3 * MIB, 10.0) == [peers[2], peers[1]]

    def test_nobody_goes_in_vain(self) -> None:
        assert not peers_to_evict([Peer(1, KIB, 0.0)], MIB, 10.0)

    def test_only_those_that_have_stopped_go(self) -> None:
        now_s = 10.0
        served, sending = Peer(1, MIB, None), Peer(2, MIB, now_s - STALLED_S / 2)
        stopped = Peer(3, MIB, now_s - STALLED_S)
        assert peers_to_evict([served, sending, stopped], KIB, now_s) == [stopped]

    def test_what_is_missing_makes_room(self) -> None:
        held = int(BOUND)
        missing = missing_bytes(Claim.NEW, MIB, held, BOUND)
        assert not has_room(Claim.NEW, MIB, held, BOUND)
        assert has_room(Claim.NEW, MIB, math.floor(held - missing), BOUND)


class TestLongRequests:
    def test_a_request_is_long_beyond_an_ordinary_one(self) -> None:
        assert claim_of(Claim.NEW, ORDINARY_BYTES) is Claim.NEW
        assert claim_of(Claim.NEW, ORDINARY_BYTES + 1) is Claim.LARGE

    def test_a_single_body_at_the_limit_has_room_at_the_smallest_bound(self) -> None:
        assert has_room(Claim.LARGE, 4 * MIB + ORDINARY_BYTES, 0, MIN_BOUND_BYTES)

    def test_connections_leave_room_for_requests(self) -> None:
        assert max_connections(BOUND, 32 * KIB) * 32 * KIB < BOUND / 2
        assert max_connections(math.inf, 32 * KIB) == math.inf
