import json
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import Future
from functools import partial
from itertools import count
from typing import Any, NamedTuple

import pytest
from endiveworks_standins.callers import RepeatingThreads
from endiveworks_standins.fleet import wait_until
from pytest_bdd import given, parsers, scenarios, then, when

scenarios("outages.feature")

ENTRIES = ("entry-1", "entry-2", "entry-3")
WITHOUT_DISK = "entry-3"
# Shorter than the outage, so that calls are refused in it.
PATIENCE = "--patience_s=2"
PROGRAMS_AT_EACH = 2
SERVED_IN_OUTAGE = 20
PARTITIONS = 64


class Pending(NamedTuple):
    """An order that was sent to an entry."""

    entry: str
    request: Any
    answer: "Future[Any]"


class Load:
    """Programs that place one order after the other, at their owners, until they are stopped."""

    def __init__(self, deployment: Any, make_order: Any, owners: dict[str, str]) -> None:
        self.answers: dict[str, list[Any]] = {program: [] for program in owners}
        self._deployment = deployment
        self._make_order = make_order
        self._orders = RepeatingThreads(
            [partial(self._order, *each, count(3)) for each in owners.items()]
        )

    def _order(self, program: str, entry: str, numbers: Iterator[int]) -> None:
        order = self._make_order(program, next(numbers))
        self.answers[program].append(self._deployment.send(entry, order))

    def stop(self) -> None:
        self._orders.close()


class Outage:
    """What the steps hand to one another.

    Attributes:
        owners: Owner of each program before the outage.
        conversations: The programs by id.
        killed: The entry that was killed.
        pending: Orders that were sent in the outage.
        load: The programs in use, if any.
    """

    def __init__(self) -> None:
        self.owners: dict[str, str] = {}
        self.conversations: dict[str, Any] = {}
        self.killed = ""
        self.pending: list[Pending] = []
        self.load: Load | None = None

    def of(self, entry: str) -> list[str]:
        return [program for program, owner in self.owners.items() if owner == entry]

    def survivors(self) -> list[str]:
        return [entry for entry in ENTRIES if entry != self.killed]


@pytest.fixture
def outage() -> Any:
    started = Outage()
    yield started
    if started.load is not None:
        started.load.stop()


def send_orders(deployment: Any, outage: Outage, make_order: Any, programs: list[str]) -> None:
    survivors = outage.survivors()
    for number, program in enumerate(programs):
        entry = survivors[number % len(survivors)]
        req = make_order(program, 3)
        outage.pending.append(Pending(entry, req, deployment.in_background(entry, req)))


@given("a shop, an engine and three entries, the last without a data folder")
def _three_entries(deployment: Any) -> None:
    deployment.add_upstream("up-shop", "shop", deployment.start_plain("shop-1"))
    deployment.add_upstream("up-engine", "assistant", deployment.start_engine("engine-1"))
    for entry in ENTRIES:
        deployment.add_entry(entry, PATIENCE, disk=entry != WITHOUT_DISK)
    deployment.wait_settled()


@given("programs at each entry that have made a chat and an order")
def _programs(deployment: Any, outage: Outage, make_order: Any, converse: Any) -> None:
    for entry in ENTRIES * PROGRAMS_AT_EACH:
        program = deployment.open(entry, "assistant")
        outage.owners[program] = deployment.owner_of(program)
        talk = outage.conversations[program] = converse(deployment, program)
        talk.say(entry, f"a board for {program}")
        assert deployment.ask(entry, make_order(program, 2)).status == 200
    assert set(outage.owners.values()) == set(ENTRIES)


@when("the key-value service goes down")
def _down(deployment: Any) -> None:
    deployment.set_faults(deployment.kv_address, down=True)


@when("the key-value service is back")
def _back(deployment: Any) -> None:
    deployment.set_faults(deployment.kv_address)


@when("the programs of entry-1 and entry-2 are in use")
def _in_use(deployment: Any, outage: Outage, make_order: Any) -> None:
    owners = {program: owner for program, owner in outage.owners.items() if owner != WITHOUT_DISK}
    outage.load = Load(deployment, make_order, owners)


@when(parsers.parse("{entry} is killed"))
def _killed(deployment: Any, outage: Outage, entry: str) -> None:
    outage.killed = entry
    deployment.procs[entry].kill()


@when("the callers of its programs send orders to the other entries")
def _order_of_dead(deployment: Any, outage: Outage, make_order: Any) -> None:
    send_orders(deployment, outage, make_order, outage.of(outage.killed))


@when("the callers of the other programs send orders")
def _order_of_living(deployment: Any, outage: Outage, make_order: Any) -> None:
    others = [program for program, owner in outage.owners.items() if owner != outage.killed]
    send_orders(deployment, outage, make_order, others)


@then("each of these is refused with a time to ask again, and not as not run")
def _refused(outage: Outage) -> None:
    assert outage.pending
    for pending in outage.pending:
        answer = pending.answer.result()
        assert answer.status == 503, answer
        assert answer.problem["retry_after_s"] > 0, answer
        assert answer.problem["not_run"] is False, answer


@then("the programs in use are served")
def _served(outage: Outage) -> None:
    assert outage.load is not None
    for answers in outage.load.answers.values():
        before = len(answers)
        wait_until(lambda answers=answers, before=before: len(answers) > before + SERVED_IN_OUTAGE)


@then("each of these orders gets its receipt when it is asked again")
def _receipts(deployment: Any, outage: Outage) -> None:
    for pending in outage.pending:
        answer = deployment.ask(pending.entry, pending.request)
        executed = [
            line["n"]
            for line in deployment.orders()
            if line["body"] == pending.request.body.decode()
        ]
        assert answer.status == 200, answer
        assert executed == [json.loads(answer.body)["receipt"]]


@then("each program's next chat has its whole history")
def _histories(deployment: Any, outage: Outage) -> None:
    ordered = {pending.request.program for pending in outage.pending}
    if outage.load is not None:
        outage.load.stop()
    for program, talk in outage.conversations.items():
        in_use = outage.load.answers.get(program, []) if outage.load is not None else []
        talk.calls = 2 + len(in_use) + (program in ordered)
        before = list(talk.messages)
        talk.say(outage.survivors()[0], "and in gold?")
        assert talk.prompts()[-1] == [*before, talk.messages[-2]]


@then("no program in use was refused anything")
def _not_refused(outage: Outage) -> None:
    assert outage.load is not None
    for answers in outage.load.answers.values():
        assert not [answer for answer in answers if answer.status != 200]


@then("the shop has executed each order once")
def _once(deployment: Any, outage: Outage) -> None:
    bodies = Counter(line["body"] for line in deployment.orders())
    assert set(bodies.values()) == {1}
    in_use = outage.load.answers.values() if outage.load is not None else []
    asked = len(outage.owners) + len(outage.pending) + sum(map(len, in_use))
    assert len(bodies) == asked
