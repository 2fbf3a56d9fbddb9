"""Bounds on what callers name: ids of requests and programs, and parts of prompts."""

import pytest
from endiveworks.gateway.names import MAX_NAME_CHARS, bounded_name
from endiveworks.gateway.prefixes import (
    MAX_CACHED_PARTS,
    MAX_PROMPT_PARTS,
    PromptCache,
    PromptPart,
    bounded_parts,
)


class TestNames:
    """Ids of up to 16 kB each were kept as keys on disks and entries."""

    @pytest.mark.parametrize("name", ["", "a", "x" * MAX_NAME_CHARS])
    def test_a_name_of_usual_length_is_kept(self, name: str) -> None:
        assert bounded_name(name) == name

    def test_a_long_name_has_a_short_form_of_its_own(self) -> None:
        names = ["x" * 16_000, "x" * 15_999 + "y", "x" * (MAX_NAME_CHARS + 1)]
        found = [bounded_name(name) for name in names]
        assert len(set(found)) == 3 and max(map(len, found)) <= MAX_NAME_CHARS
        assert [bounded_name(name) for name in found] == found


class TestParts:
    def test_the_parts_of_a_usual_prompt_are_told_apart(self) -> None:
        pairs = [(f"k{number}", number) for number in range(MAX_PROMPT_PARTS - 1)]
        assert bounded_parts(pairs) == tuple(PromptPart(*pair) for pair in pairs)

    def test_the_rest_of_a_prompt_with_many_parts_counts_as_one(self) -> None:
        pairs = [(f"k{number}", 1) for number in range(4_000)]
        parts = bounded_parts(pairs)
        assert len(parts) == MAX_PROMPT_PARTS
        assert sum(part.tokens for part in parts) == 4_000
        assert bounded_parts([*pairs[:-1], ("other", 1)])[-1].key != parts[-1].key

    def test_a_cache_is_bounded_by_its_parts_as_well(self) -> None:
        """Parts of one token, or of none, filled an entry's memory."""
        cache = PromptCache(10**9)
        for number in range(2 * MAX_CACHED_PARTS):
            cache.add([PromptPart(f"k{number}", 0)])
        cache.add([PromptPart("last", 5)])
        assert cache.cached_tokens([PromptPart("last", 5)]) == 5
        assert len(cache._parts) == MAX_CACHED_PARTS
