"""Token counts and deterministic response text."""

import json
import random
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

import xxhash
from endiveworks.replay.engine import Boundary

BYTES_PER_TOKEN = 4
_LETTERS = "abcdefghijklmnopqrstuvwxyz"


class Prompt(NamedTuple):
    """A prompt reduced to its length and prefix ids.

    Attributes:
        tokens: Length, in tokens.
        boundaries: Positions up to which a cached prefix can be reused.
        response_seed: Seed that determines the response text.
        continued_text: Text of a partial response to continue; empty for a new response.
        prefix_id_after: Returns the prefix id of the prompt followed by a piece of answer text.
    """

    tokens: int
    boundaries: tuple[Boundary, ...]
    response_seed: int
    continued_text: str
    prefix_id_after: Callable[[str], str]


def count_tokens(text: str) -> int:
    """Returns the number of tokens in a text: its UTF-8 bytes divided by 4, rounded up."""
    return -(-len(text.encode()) // BYTES_PER_TOKEN)


def hash_prompt(messages: Sequence[dict[str, Any]], seed: int, continues: bool) -> Prompt:
    """Hashes chat messages into a prompt; `continues` marks the last one as a partial response."""
    boundaries = []
    state = xxhash.xxh3_64(seed=seed)
    tokens = 0
    continued_text = ""
    response_seed = seed
    response_index = len(messages) - 1 if continues else len(messages)
    for index, message in enumerate(messages):
        if index == response_index:
            response_seed = state.intdigest()
            continued_text = _content(message)
        _update_hash(state, str(message.get("role", "")), _content(message))
        tokens += count_tokens(_content(message))
        boundaries.append(Boundary(state.hexdigest(), tokens))
    if not continues:
        response_seed = state.intdigest()
    last = messages[-1]
    prompt_state = xxhash.xxh3_64(seed=seed)
    for message in messages[:-1] if continues else messages:
        _update_hash(prompt_state, str(message.get("role", "")), _content(message))
    role = str(last.get("role", "")) if continues else "assistant"

    def prefix_id_after(text: str) -> str:
        state_after = prompt_state.copy()
        _update_hash(state_after, role, continued_text + text)
        return state_after.hexdigest()

    return Prompt(tokens, tuple(boundaries), response_seed, continued_text, prefix_id_after)


def response_pieces(
    response_seed: int, continued_text: str, mean_tokens: int, limit: int
) -> list[str]:
    """Returns the tokens that follow continued_text, at most limit of them.

    The full response depends on response_seed alone, so a continued response ends the same way as
    an uninterrupted one.
    """
    rng = random.Random(response_seed)
    length = rng.randint(max(1, mean_tokens // 2), max(1, mean_tokens * 3 // 2))
    pieces = ["".join(rng.choices(_LETTERS, k=3)) + " " for _ in range(length)]
    skipped = count_tokens(continued_text)
    return pieces[skipped : skipped + limit]


def _content(message: dict[str, Any]) -> str:
    content = message.get("content") or ""
    return content if isinstance(content, str) else json.dumps(content, sort_keys=True)


def _update_hash(state: "xxhash.xxh3_64", role: str, content: str) -> None:
    state.update(f"{role}:{len(content)}:".encode())
    state.update(content.encode())
