from endiveworks.admission.queue import QueuedCall
from endiveworks.cache.pauses import PauseHistogram, add_pause
from endiveworks.replay.clock import Clock
from endiveworks.replay.engine import Boundary, CacheEntry, Engine, Rates, Sequence
from endiveworks.replay.job import Job
from endiveworks.replay.policy import FULL
from endiveworks.replay.prefixes import HOST_STORE_FACTOR, PrefixManager
from endiveworks.replay.replica import Replica

MEMORY_TOKENS = 1_000


class SimulatedEngine:
    """An engine whose programs use a tool that usually takes 1 s and rarely 1,000 s."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.engine = Engine(Rates(memory_tokens=MEMORY_TOKENS))
        self.prefixes = PrefixManager(self.engine, True, lambda: self.now_s)
        self.tool = PauseHistogram()
        for pause_s in (*[1.0] * 30, *[1_000.0] * 3):
            self.tool = add_pause(self.tool, pause_s)

    def store_paused(self, salt: str, tokens: int) -> None:
        self.engine.store(salt, CacheEntry(frozenset({"end"}), tokens))
        self.prefixes.pause(salt, self.tool)


def request(salt: str, tokens: int) -> Sequence:
    return Sequence(f"{salt}/1", salt, (Boundary("end", 300),), tokens - 1, 1, str)


def job(salt: str, tokens: int) -> Job:
    seq = request(salt, tokens)
    queued_call = QueuedCall(seq.request, "t", 1.0, 0, 0, 1.0, 0.0, tokens)
    return Job(queued_call, seq, 60.0, print, print, print)


class TestPause:
    def test_pause_ends_as_the_next_call_is_queued(self) -> None:
        rates = Rates(memory_tokens=MEMORY_TOKENS)
        replica = Replica("r", "east", rates, FULL, Clock(), lambda: 0.0, (0,))
        replica.submit(job("running", 900))
        replica.prefixes.pause("back", PauseHistogram())
        replica.submit(job("back", 900))
        assert list(replica.queue.waiting) == ["back/1"]
        assert not replica.prefixes.paused


class TestRoom:
    def test_prefix_of_a_call_that_the_engine_has_not_admitted_is_not_evicted(self) -> None:
        simulated = SimulatedEngine()
        simulated.store_paused("first", 300)
        simulated.store_paused("second", 300)
        first = request("first", 400)
        simulated.prefixes.make_room(first, 0, set())
        # The engine admits the first request only in its next step.
        simulated.prefixes.make_room(request("third", 300), first.reserved_tokens, {"first"})
        assert list(simulated.engine.cache) == ["first", "second"]
        simulated.prefixes.make_room(request("fourth", 600), first.reserved_tokens, {"first"})
        assert list(simulated.engine.cache) == ["first"]


class TestHostStore:
    def test_prefix_exported_again_counts_once(self) -> None:
        simulated = SimulatedEngine()
        for _ in range(2 * HOST_STORE_FACTOR):
            simulated.store_paused("again", 900)
            simulated.prefixes.make_room(request("new", MEMORY_TOKENS), 0, set())
        assert simulated.prefixes.exported_tokens == 900
        assert list(simulated.prefixes.exported) == ["again"]
