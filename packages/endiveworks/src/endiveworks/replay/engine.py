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
    cost of a context token and, with the 430 GB that the weights leave free, the memory. The cost
    of a sequence makes a step of 120 sequences take 66 ms.

    Attributes:
        step_s: Base duration of a step, in seconds.
        step_per_sequence_s: Time that each decoding sequence adds to a step, in seconds.
        step_per_context_token_s: Time that each context token read adds to a step, in seconds.
        prefill_tokens_per_s: Prompt tokens prefilled per second.
        prefill_chunk_tokens: Maximum number of prompt tokens prefilled per step.
        memory_tokens: Capacity of KV memory, shared by running requests and cached prefixes.
        bytes_per_token: KV size of one token when exported, in bytes.
        max_sequences: Maximum number of sequences that run concurrently.
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
    """Position in a prompt, in tokens, up to which a cached prefix can be reused."""

    prefix_id: str
    tokens: int


class Sequence:
    """One request in the engine."""

    def __init__(
        self,
        request: str,
        salt: str,
        boundaries: tuple[Boundary, ...],
        prompt_tokens: int,
        output_tokens: int,
        prefix_id_after: Callable[[int], str],
    ) -> None:
        """Initializes a request.

        Args:
            request: Id of the request.
            salt: Cache salt; prefixes are reused only between requests with the same salt.
            boundaries: Positions up to which the prompt can be reused, shortest first.
            prompt_tokens: Length of the prompt, in tokens.
            output_tokens: Number of tokens that will be generated.
            prefix_id_after: Returns the prefix id of the prompt followed by n generated tokens.
        """
        self.request = request
        self.salt = salt
        self.boundaries = boundaries
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.prefix_id_after = prefix_id_after
        self.cached_tokens = 0
        self.prefill_remaining = prompt_tokens
        self.produced = 0

    @property
    def reserved_tokens(self) -> int:
        """Memory reserved while the request runs, in tokens."""
        return self.prompt_tokens + self.output_tokens


class CacheEntry(NamedTuple):
    """A cached prefix, with the ids of the boundaries it covers and its length in tokens."""

    prefix_ids: frozenset[str]
    tokens: int


class CacheEvent(NamedTuple):
    """A change to the cache; kind is "stored" or "evicted"."""

    kind: str
    salt: str
    tokens: int


class StepResult(NamedTuple):
    """Result of one or more identical steps.

    Attributes:
        duration_s: Total duration, in seconds.
        steps: Number of decoding steps taken.
        decoded: Sequences that each generated `steps` new tokens.
        finished: Sequences that completed in the last step.
    """

    duration_s: float
    steps: int
    decoded: list[Sequence]
    finished: list[Sequence]


class Engine:
    """State of one engine. Requests are admitted in order of arrival while they fit in memory."""

    def __init__(self, rates: Rates) -> None:
        self.rates = rates
        self.waiting: deque[Sequence] = deque()
        self.prefilling: deque[Sequence] = deque()
        self.decoding: dict[str, Sequence] = {}
        self.cache: OrderedDict[str, CacheEntry] = OrderedDict()
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
        """Number of requests that have memory reserved."""
        return len(self.prefilling) + len(self.decoding)

    def submit(self, seq: Sequence) -> None:
        """Queues a request.

        Raises:
            ValueError: The request exceeds the engine's memory, and would block every request
                behind it.
        """
        if seq.reserved_tokens > self.rates.memory_tokens:
            raise ValueError(
                f"request {seq.request} needs {seq.reserved_tokens} tokens of memory,"
                f" the engine has {self.rates.memory_tokens}"
            )
        self.waiting.append(seq)

    def cancel(self, request: str) -> Sequence | None:
        """Cancels a request and returns it, or None if it is unknown.

        The prefix of a request that was decoding is cached.
        """
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
        """Drops a cached prefix and returns its length in tokens, or 0 if there was none."""
        cached = self.cache.pop(salt, None)
        if cached is None:
            return 0
        self.cached_tokens -= cached.tokens
        self.events.append(CacheEvent("evicted", salt, cached.tokens))
        return cached.tokens

    def store(self, salt: str, cached: CacheEntry) -> None:
        """Caches a prefix, evicting the least recently used ones to make room.

        A prefix larger than the memory left by running requests is not cached.
        """
        self.release(salt)
        free = self.rates.memory_tokens - self.running_tokens
        if cached.tokens > free:
            return
        self._evict(free - cached.tokens)
        self.cache[salt] = cached
        self.cached_tokens += cached.tokens
        self.events.append(CacheEvent("stored", salt, cached.tokens))

    def step(self, limit_s: float = 0.0) -> StepResult:
        """Takes one step, or as many identical decoding steps as fit in limit_s."""
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
        return StepResult(step_s * steps, steps, decoded, finished)

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
            seq.prefill_remaining = seq.prompt_tokens - seq.cached_tokens
            self.running_tokens += seq.reserved_tokens
            self._evict(self.rates.memory_tokens - self.running_tokens)
            self.prefilling.append(seq)

    def _match(self, seq: Sequence) -> int:
        cached = self.cache.get(seq.salt)
        if cached is None:
            return 0
        reusable = [b.tokens for b in seq.boundaries if b.prefix_id in cached.prefix_ids]
        if not reusable:
            return 0
        del self.cache[seq.salt]
        self.cached_tokens -= cached.tokens
        return min(max(reusable), seq.prompt_tokens - 1)

    def _evict(self, limit_tokens: int) -> None:
        while self.cached_tokens > limit_tokens and self.cache:
            self.release(next(iter(self.cache)))

    def _prefill(self) -> int:
        remaining = self.rates.prefill_chunk_tokens
        for seq in self.prefilling:
            computed = min(remaining, seq.prefill_remaining)
            seq.prefill_remaining -= computed
            remaining -= computed
            if remaining == 0:
                break
        return self.rates.prefill_chunk_tokens - remaining

    def _start_decoding(self) -> None:
        while self.prefilling and self.prefilling[0].prefill_remaining == 0:
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
        prefix_ids = frozenset(b.prefix_id for b in seq.boundaries) | {
            seq.prefix_id_after(seq.produced)
        }
        self.store(seq.salt, CacheEntry(prefix_ids, seq.prompt_tokens + seq.produced))
