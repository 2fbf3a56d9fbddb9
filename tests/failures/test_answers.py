import json
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import urllib3
from pytest_bdd import given, parsers, scenarios, then, when

scenarios("answers.feature")

MAX_TOKENS = 60
EVENT = b"data: "
LAST_EVENT = b"data: [DONE]"


class Received(NamedTuple):
    """What a caller received: the text, whether the stream says it is whole, and the prompt."""

    text: str
    whole: bool
    prompt: str


def no_action() -> None:
    """Lets the answer flow."""


def ask(
    deployment: Any, entry: str, prompt: str, after_first: Callable[[], None] = no_action
) -> Received:
    program = deployment.open(entry, "assistant")
    url = f"http://{deployment.entries[entry]}/v1/chat/completions"
    headers = {
        "Endive-Tenant": "signs",
        "Endive-Program": program,
        "Endive-Call": "1",
        "Idempotency-Key": "k",
        "Content-Type": "application/json",
    }
    text, whole, acted = "", False, False
    try:
        resp = deployment.http.request(
            "POST",
            url,
            body=request_of(prompt, stream=True),
            headers=headers,
            retries=False,
            preload_content=False,
            timeout=60.0,
        )
        for line in lines_of(resp):
            if line == LAST_EVENT:
                whole = True
            elif line.startswith(EVENT):
                text += text_of(line)
            if text and not acted:
                acted = True
                after_first()
    except (urllib3.exceptions.HTTPError, OSError):
        whole = False
    return Received(text, whole, prompt)


def request_of(prompt: str, stream: bool) -> bytes:
    body = {
        "model": "assistant",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": MAX_TOKENS,
        "stream": stream,
    }
    return json.dumps(body).encode()


def lines_of(resp: Any) -> Iterator[bytes]:
    rest = b""
    for part in resp.stream(1024):
        *lines, rest = (rest + part).split(b"\n")
        yield from lines


def text_of(line: bytes) -> str:
    event = json.loads(line.removeprefix(EVENT))
    choices = event.get("choices") or [{}]
    return str(choices[0].get("delta", {}).get("content", ""))


def own_answer(deployment: Any, prompt: str) -> str:
    """Returns the engine's answer to a prompt, asked for without the system."""
    deployment.set_faults(deployment.upstreams["up-engine"])
    url = f"http://{deployment.upstreams['up-engine']}/v1/chat/completions"
    resp = deployment.http.request("POST", url, body=request_of(prompt, stream=False), timeout=60.0)
    return str(json.loads(resp.data)["choices"][0]["message"]["content"])


@given("an engine and two entries")
def _engine(deployment: Any) -> None:
    address = deployment.start_engine("engine-1")
    deployment.add_upstream("up-engine", "assistant", address)
    deployment.add_entry("entry-1")
    deployment.add_entry("entry-2")


@given(parsers.parse("the engine cuts the next {streams:d} streams after {events:d} events"))
def _cut(deployment: Any, streams: int, events: int) -> None:
    engine = deployment.upstreams["up-engine"]
    deployment.set_faults(engine, cut_streams=streams, cut_after_events=events)


@when("a program asks for a streamed answer", target_fixture="received")
def _ask(deployment: Any) -> list[Received]:
    return [ask(deployment, "entry-1", "one fascia board")]


@when(
    "a program asks for a streamed answer and the engine restarts after its first tokens",
    target_fixture="received",
)
def _ask_and_restart(deployment: Any) -> list[Received]:
    engine = deployment.upstreams["up-engine"]
    return [
        ask(
            deployment,
            "entry-1",
            "a fascia board and a restart",
            lambda: deployment.set_faults(engine, restart=True),
        )
    ]


@when(
    "a program asks for a streamed answer and the entry is killed after its first tokens",
    target_fixture="received",
)
def _ask_and_kill(deployment: Any) -> list[Received]:
    kill = deployment.procs["entry-1"].kill
    return [ask(deployment, "entry-1", "a fascia board and a kill", kill)]


@when(
    parsers.parse("{count:d} programs ask for streamed answers at once at both entries"),
    target_fixture="received",
)
def _ask_many(deployment: Any, count: int) -> list[Received]:
    entries = [f"entry-{1 + number % 2}" for number in range(count)]
    pending = [
        deployment.callers.submit(ask, deployment, entry, f"board number {number}")
        for number, entry in enumerate(entries)
    ]
    return [fut.result(60.0) for fut in pending]


@then("the answer is the engine's own, whole and without repeats")
@then("each answer is the engine's own to that program's prompt")
def _own(deployment: Any, received: list[Received]) -> None:
    for answer in received:
        own = own_answer(deployment, answer.prompt)
        assert answer.whole
        assert answer.text == own, "\n".join(map(str, deployment.executed("engine-1")))


@then("the answer is the engine's own, or it is marked as broken")
def _own_or_broken(deployment: Any, received: list[Received]) -> None:
    for answer in received:
        own = own_answer(deployment, answer.prompt)
        assert answer.text and own.startswith(answer.text)
        assert answer.text == own or not answer.whole


@then(parsers.parse("the engine has cut {count:d} streams"))
def _has_cut(deployment: Any, count: int) -> None:
    sent = [line for line in deployment.executed("engine-1") if line["event"] == "sent"]
    assert len([line for line in sent if line["cut"]]) == count
