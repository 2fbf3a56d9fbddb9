import json
from concurrent.futures import wait
from typing import Any

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

scenarios("budgets.feature")

MOST_CALLS = 60
MAX_TOKENS = 40


class Spender:
    """A program that calls the model until a call is refused."""

    def __init__(self, deployment: Any, program: str) -> None:
        self.deployment = deployment
        self.program = program
        self.answers: list[Any] = []

    def spend(self) -> None:
        for call in range(1, MOST_CALLS):
            body = {
                "model": "assistant",
                "messages": [{"role": "user", "content": f"call {call} of {self.program}"}],
                "max_tokens": MAX_TOKENS,
            }
            headers = {
                "Endive-Program": self.program,
                "Endive-Call": str(call),
                "Idempotency-Key": f"k{call}",
            }
            path = "/v1/chat/completions"
            data = json.dumps(body).encode()
            answer = self.deployment.post("entry-1", path, headers, data)
            self.answers.append(answer)
            if answer.status != 200:
                return


@pytest.fixture
def spenders() -> list[Spender]:
    return []


@given("an engine and an entry")
def _engine(deployment: Any) -> None:
    deployment.add_upstream("up-engine", "assistant", deployment.start_engine("engine-1"))
    deployment.add_entry("entry-1")


@given(parsers.parse("a program with a budget of {tokens:d} tokens"))
def _program(deployment: Any, world: Any, spenders: list[Spender], tokens: int) -> None:
    world.program = deployment.open("entry-1", "assistant", tokens)
    spenders.append(Spender(deployment, world.program))


@given(parsers.parse("{count:d} sub-agents that draw on it"))
def _sub_agents(deployment: Any, world: Any, spenders: list[Spender], count: int) -> None:
    spenders.clear()
    for _ in range(count):
        child = deployment.open("entry-1", "assistant", 1500, parent=world.program)
        spenders.append(Spender(deployment, child))


@given(parsers.parse("the engine reports {tokens:d} tokens more than it generates"))
def _overcharge(deployment: Any, tokens: int) -> None:
    deployment.set_faults(deployment.upstreams["up-engine"], extra_tokens=tokens)


@when("the program calls the model until it is refused")
def _spend(spenders: list[Spender]) -> None:
    spenders[0].spend()


@when("all sub-agents call the model at once until they are refused")
def _race(deployment: Any, spenders: list[Spender]) -> None:
    wait([deployment.callers.submit(spender.spend) for spender in spenders])


@then("the last call was refused for its budget and not run")
@then("each was refused for its budget and not run")
def _refused(spenders: list[Spender]) -> None:
    for spender in spenders:
        last = spender.answers[-1]
        assert last.code == "budget_exceeded", last
        assert last.problem["not_run"] is True
        assert all(answer.status == 200 for answer in spender.answers[:-1])


@then(parsers.parse("the program has made {count:d} call"))
def _calls(deployment: Any, spenders: list[Spender], count: int) -> None:
    assert len(spenders[0].answers) - 1 == count
    assert len(deployment.finished()) == count


@then(
    parsers.parse(
        "the engine has used at most {tokens:d} tokens for the program and its sub-agents"
    )
)
def _used(deployment: Any, tokens: int) -> None:
    calls = deployment.finished()
    used = sum(call["prompt_tokens"] + call["completion_tokens"] for call in calls)
    assert calls and used <= tokens
