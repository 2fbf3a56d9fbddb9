"""Token counts and deterministic answers."""

import json
import random
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

import xxhash
from endiveworks.replay.engine import Boundary

BYTES_PER_TOKEN = 4
_LETTERS = "abcdefghijklmnopqrstuvwxyz"


class Prompt(NamedTuple):
    """A prompt as the engine sees it.

    Attributes:
        tokens: Length in tokens.
        boundaries: Points at which a cached prefix can be reused.
        answer_seed: Decides the answer.
        given: Text of an answer that is to be continued; empty for a new answer.
        prefix_id_after: Returns the prefix id of the prompt followed by a piece of answer text.
    """

    tokens: int
    boundaries: tuple[Boundary, ...]
    answer_seed: int
    given: str
    prefix_id_after: Callable[[str], str]


def count_tokens(text: str) -> int:
    """Counts tokens, one for every four bytes begun."""
    return -(-len(text.encode()) // BYTES_PER_TOKEN)


def read_prompt(messages: Sequence[dict[str, Any]], seed: int, continues: bool) -> Prompt:
    """Hashes a list of chat messages into a prompt."""
    boundaries = []
    state = xxhash.xxh3_64(seed=seed)
    tokens = 0
    given = ""
    answer_seed = seed
    answered_at = len(messages) - 1 if continues else len(messages)
    for at, message in enumerate(messages):
        if at == answered_at:
            answer_seed = state.intdigest()
            given = _content(message)
        _feed(state, str(message.get("role", "")), _content(message))
        tokens += count_tokens(_content(message))
        boundaries.append(Boundary(state.hexdigest(), tokens))
    if not continues:
        answer_seed = state.intdigest()
    last = messages[-1]
    before = xxhash.xxh3_64(seed=seed)
    for message in messages[:-1] if continues else messages:
        _feed(before, str(message.get("role", "")), _content(message))
    role = str(last.get("role", "")) if continues else "assistant"

    def prefix_id_after(text: str) -> str:
        behind = before.copy()
        _feed(behind, role, given + text)
        return behind.hexdigest()

    return Prompt(tokens, tuple(boundaries), answer_seed, given, prefix_id_after)


def answer_pieces(answer_seed: int, given: str, natural_tokens: int, limit: int) -> list[str]:
    """Lists the tokens that follow the given text, at most limit of them.

    The whole answer depends on answer_seed alone, so a continued answer ends as it would have
    without the interruption.
    """
    source = random.Random(answer_seed)
    length = source.randint(max(1, natural_tokens // 2), max(1, natural_tokens * 3 // 2))
    pieces = ["".join(source.choices(_LETTERS, k=3)) + " " for _ in range(length)]
    begun = count_tokens(given)
    return pieces[begun : begun + limit]


def _content(message: dict[str, Any]) -> str:
    content = message.get("content") or ""
    return content if isinstance(content, str) else json.dumps(content, sort_keys=True)


def _feed(state: "xxhash.xxh3_64", role: str, content: str) -> None:
    state.update(f"{role}:{len(content)}:".encode())
    state.update(content.encode())
