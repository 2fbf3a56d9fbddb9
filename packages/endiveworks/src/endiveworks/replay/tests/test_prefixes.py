from endiveworks.admission.queue import Waiting
from endiveworks.cache.pauses import Pauses
from endiveworks.replay.clock import Clock
from endiveworks.replay.engine import Boundary, Rates, Sequence
from endiveworks.replay.policy import FULL
from endiveworks.replay.replica import Job, Replica

MEMORY_TOKENS = 1_000


def request(salt: str, tokens: int) -> Sequence:
    return Sequence(f"{salt}/1", salt, (Boundary("end", 300),), tokens - 1, 1, str)


def job(salt: str, tokens: int) -> Job:
    seq = request(salt, tokens)
    waiting = Waiting(seq.request, "t", 1.0, 0, 0, 1.0, 0.0, tokens)
    return Job(waiting, seq, 60.0, print, print, print)


class TestPause:
    def test_pause_ends_as_the_next_call_is_queued(self) -> None:
        rates = Rates(memory_tokens=MEMORY_TOKENS)
        replica = Replica("r", "east", rates, FULL, Clock(), lambda: 0.0, (0,))
        replica.submit(job("running", 900))
        replica.prefixes.pause("back", Pauses())
        replica.submit(job("back", 900))
        assert list(replica.queue.waiting) == ["back/1"]
        assert not replica.prefixes.paused
