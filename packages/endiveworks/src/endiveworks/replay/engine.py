"""Model of one engine: continuous batching, chunked prefill and an LRU cache of prefixes."""

import math
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import NamedTuple


class Rates(NamedTuple):
    """Speed and memory of an engine.

    The defaults describe a 70B model on eight 80 GB accelerators. Weights: 140 GB read at
    8 x 3.35 TB/s at half of peak gives the base step; 140 GFLOP a token at 40% of 8 x 989 TFLOP/s
    gives prefill; 327,680 bytes of KV a token (80 layers, 8 KV heads of 128, 16 bits) gives the
    cost of a context token and, with 430 GB left beside the weights, the memory. The cost of a
    sequence makes a batch of 120 take 66 ms.

    Attributes:
        step_s: Duration of a step that does nothing else, in seconds.
        step_per_sequence_s: Seconds that each decoding sequence adds to a step.
        step_per_context_token_s: Seconds that each token of context read adds to a step.
        prefill_tokens_per_s: Prompt tokens computed in a second.
        prefill_chunk_tokens: Most prompt tokens computed within one step.
        memory_tokens: Tokens of KV that fit in memory, running and cached together.
        bytes_per_token: Bytes of KV of one token, as exported.
        max_sequences: Most sequences that run at once.
    """

    step_s: float = 0.0105
    step_per_sequence_s: float = 0.00045
    step_per_context_token_s: float = 2.4e-8
    prefill_tokens_per_s: float = 22_000.0
    prefill_chunk_tokens: int = 2_048
    memory_tokens: int = 1_300_000
    bytes_per_token: int = 327_680
    max_sequences: int = 256


class Boundary(NamedTuple):
    """A point in a prompt up to which a cached prefix can be reused."""

    mark: str
    tokens: int


class Sequence:
    """One request inside the engine."""

    def __init__(
        self,
        request: str,
        salt: str,
        boundaries: tuple[Boundary, ...],
        prompt_tokens: int,
        output_tokens: int,
        mark_after: Callable[[int], str],
    ) -> None:
        """Describes a request.

        Args:
            request: Id of the request.
            salt: Owner of the cached prefix; prefixes are shared only within a salt.
            boundaries: Points at which the prompt may be reused, shortest first.
            prompt_tokens: Length of the prompt.
            output_tokens: Tokens that will be generated.
            mark_after: Names the boundary behind the prompt and n generated tokens.
        """
        self.request = request
        self.salt = salt
        self.boundaries = boundaries
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.mark_after = mark_after
        self.cached_tokens = 0
        self.prefill_left = prompt_tokens
        self.produced = 0

    @property
    def reserved_tokens(self) -> int:
        """Tokens of memory taken while the request runs."""
        return self.prompt_tokens + self.output_tokens


class Cached(NamedTuple):
    """A prefix in the cache."""

    marks: frozenset[str]
    tokens: int


class CacheEvent(NamedTuple):
    """A change of the cache: kind is "stored" or "evicted"."""

    kind: str
    salt: str
    tokens: int


class Step(NamedTuple):
    """What one or more equal steps did.

    Attributes:
        duration_s: Time taken, in seconds.
        steps: Number of decoding steps taken.
        decoded: Sequences that got `steps` new tokens each.
        finished: Sequences that ended with this step.
    """

    duration_s: float
    steps: int
    decoded: list[Sequence]
    finished: list[Sequence]


class Engine:
    """State of one engine. Requests are admitted in order of arrival while memory lasts."""

    def __init__(self, rates: Rates) -> None:
        self.rates = rates
        self.waiting: deque[Sequence] = deque()
        self.prefilling: deque[Sequence] = deque()
        self.decoding: dict[str, Sequence] = {}
        self.cache: OrderedDict[str, Cached] = OrderedDict()
        self.cached_tokens = 0
        self.running_tokens = 0
        self.context_tokens = 0
        self.events: list[CacheEvent] = []

    @property
    def busy(self) -> bool:
        """Whether any request is waiting or running."""
        return bool(self.waiting or self.prefilling or self.decoding)

    @property
    def running(self) -> int:
        """Number of requests that hold memory."""
        return len(self.prefilling) + len(self.decoding)

    def submit(self, seq: Sequence) -> None:
        """Queues a request.

        Raises:
            ValueError: The request can never fit in memory, and would block all behind it.
        """
        if seq.reserved_tokens > self.rates.memory_tokens:
            raise ValueError(f"{seq.request} needs {seq.reserved_tokens} tokens of memory")
        self.waiting.append(seq)

    def cancel(self, request: str) -> Sequence | None:
        """Stops a request and caches what it has computed; None when it is not here."""
        seq = self.decoding.pop(request, None)
        if seq is not None:
            self.context_tokens -= seq.prompt_tokens + seq.produced
            self._retire(seq)
            return seq
        for queue in (self.waiting, self.prefilling):
            for seq in queue:
                if seq.request != request:
                    continue
                queue.remove(seq)
                if queue is self.prefilling:
                    self.running_tokens -= seq.reserved_tokens
                return seq
        return None

    def release(self, salt: str) -> int:
        """Drops a cached prefix and returns its tokens; 0 when there was none."""
        found = self.cache.pop(salt, None)
        if found is None:
            return 0
        self.cached_tokens -= found.tokens
        self.events.append(CacheEvent("evicted", salt, found.tokens))
        return found.tokens

    def store(self, salt: str, found: Cached) -> None:
        """Caches a prefix, evicting the least recently used ones to make room."""
        self.release(salt)
        free = self.rates.memory_tokens - self.running_tokens
        if found.tokens > free:
            return
        self._evict(free - found.tokens)
        self.cache[salt] = found
        self.cached_tokens += found.tokens
        self.events.append(CacheEvent("stored", salt, found.tokens))

    def step(self, limit_s: float = 0.0) -> Step:
        """Advances by one step, or by equal decoding steps for as long as limit_s allows."""
        self._admit()
        chunk = self._prefill()
        decoded = list(self.decoding.values())
        step_s = self._step_s(chunk, len(decoded))
        steps = 1
        if not chunk and decoded and limit_s > step_s:
            shortest = min(seq.output_tokens - seq.produced for seq in decoded)
            steps = max(1, min(shortest, math.floor(limit_s / step_s)))
        finished = self._decode(decoded, steps)
        self._start_decoding()
        return Step(step_s * steps, steps, decoded, finished)

    def _step_s(self, chunk: int, batch: int) -> float:
        rates = self.rates
        decode_s = rates.step_per_sequence_s * batch
        context_s = rates.step_per_context_token_s * self.context_tokens
        return rates.step_s + decode_s + context_s + chunk / rates.prefill_tokens_per_s

    def _admit(self) -> None:
        while self.waiting and self.running < self.rates.max_sequences:
            seq = self.waiting[0]
            if seq.reserved_tokens > self.rates.memory_tokens - self.running_tokens:
                return
            self.waiting.popleft()
            seq.cached_tokens = self._match(seq)
            seq.prefill_left = seq.prompt_tokens - seq.cached_tokens
            self.running_tokens += seq.reserved_tokens
            self._evict(self.rates.memory_tokens - self.running_tokens)
            self.prefilling.append(seq)

    def _match(self, seq: Sequence) -> int:
        found = self.cache.get(seq.salt)
        if found is None:
            return 0
        reusable = [b.tokens for b in seq.boundaries if b.mark in found.marks]
        if not reusable:
            return 0
        del self.cache[seq.salt]
        self.cached_tokens -= found.tokens
        return min(max(reusable), seq.prompt_tokens - 1)

    def _evict(self, room: int) -> None:
        while self.cached_tokens > room and self.cache:
            self.release(next(iter(self.cache)))

    def _prefill(self) -> int:
        left = self.rates.prefill_chunk_tokens
        for seq in self.prefilling:
            done = min(left, seq.prefill_left)
            seq.prefill_left -= done
            left -= done
            if left == 0:
                break
        return self.rates.prefill_chunk_tokens - left

    def _start_decoding(self) -> None:
        while self.prefilling and self.prefilling[0].prefill_left == 0:
            seq = self.prefilling.popleft()
            self.decoding[seq.request] = seq
            self.context_tokens += seq.prompt_tokens

    def _decode(self, decoded: list[Sequence], steps: int) -> list[Sequence]:
        finished = []
        self.context_tokens += steps * len(decoded)
        for seq in decoded:
            seq.produced += steps
            if seq.produced >= seq.output_tokens:
                finished.append(seq)
        for seq in finished:
            del self.decoding[seq.request]
            self.context_tokens -= seq.prompt_tokens + seq.produced
            self._retire(seq)
        return finished

    def _retire(self, seq: Sequence) -> None:
        self.running_tokens -= seq.reserved_tokens
        marks = frozenset(b.mark for b in seq.boundaries) | {seq.mark_after(seq.produced)}
        self.store(seq.salt, Cached(marks, seq.prompt_tokens + seq.produced))
