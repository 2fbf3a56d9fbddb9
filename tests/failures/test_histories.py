from concurrent.futures import Future
from typing import Any

import pytest
from endiveworks_standins.fleet import wait_until
from pytest_bdd import given, parsers, scenarios, then, when

scenarios("histories.feature")

ENTRIES = ("entry-1", "entry-2")


@pytest.fixture
def talks() -> list[Any]:
    return []


def asked(deployment: Any) -> list[dict[str, Any]]:
    return [line for line in deployment.executed("engine-1") if line["event"] == "asked"]


def run_turns(deployment: Any, talks: list[Any], turns: int) -> list["Future[None]"]:
    """Has all conversations make turns at once, each turn at the other entry than the last."""

    def run(talk: Any) -> None:
        for turn in range(turns):
            text = f"turn {turn} of {talk.program}"
            talk.say(ENTRIES[turn % 2], text, ENTRIES[1 - turn % 2])

    return [deployment.callers.submit(run, talk) for talk in talks]


@given("an engine that takes its time, and two entries")
def _engine(deployment: Any) -> None:
    address = deployment.start_engine("engine-1", "--step_s=0.02")
    deployment.add_upstream("up-engine", "assistant", address)
    for entry in ENTRIES:
        deployment.add_entry(entry)
    deployment.wait_settled()


@given("a program and a sub-agent at each entry")
def _programs(deployment: Any, converse: Any, talks: list[Any]) -> None:
    for entry in ENTRIES:
        program = deployment.open(entry, "assistant")
        child = deployment.open(entry, "assistant", parent=program)
        talks += [converse(deployment, program), converse(deployment, child)]


@when(parsers.parse("all of them make {turns:d} turns at once, at the two entries in turn"))
def _run(deployment: Any, talks: list[Any], turns: int) -> None:
    for running in run_turns(deployment, talks, turns):
        running.result()


@when(
    parsers.parse(
        "all of them make {turns:d} turns at once, and {entry} is killed after the second of each"
    )
)
def _run_and_kill(deployment: Any, talks: list[Any], turns: int, entry: str) -> None:
    pending = run_turns(deployment, talks, turns)
    wait_until(lambda: all(talk.calls >= 2 for talk in talks))
    deployment.procs[entry].kill()
    assert not all(running.done() for running in pending)
    for running in pending:
        running.result()


@then("each prompt that the engine was sent is one program's whole history")
def _whole(deployment: Any, talks: list[Any]) -> None:
    assert {line["salt"] for line in asked(deployment)} == {talk.program for talk in talks}
    for talk in talks:
        turns = set()
        for prompt in talk.prompts():
            turn = sum(message["role"] == "user" for message in prompt)
            turns.add(turn)
            check_prompt(prompt, talk.messages[: 2 * turn])
        assert turns == set(range(1, talk.calls + 1))


def check_prompt(prompt: list[dict[str, str]], said: list[dict[str, str]]) -> None:
    """Checks a prompt against what was said up to its answer, of which it may hold a beginning."""
    *before, answer = said
    given = prompt[len(before) :]
    assert prompt[: len(before)] == before
    assert len(given) <= 1
    assert all(each["role"] == "assistant" for each in given)
    assert all(answer["content"].startswith(each["content"]) for each in given)
