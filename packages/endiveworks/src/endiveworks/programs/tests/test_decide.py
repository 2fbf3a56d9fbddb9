from endiveworks.config.bundle import CostWeights, Service, TenantSettings
from endiveworks.engines.chat_format import assemble
from endiveworks.errors import Code
from endiveworks.programs.decide import (
    Decision,
    OpenCommand,
    StartCommand,
    claim_attempt,
    close_idle,
    close_program,
    end_call,
    open_program,
    release_call,
    start_call,
)
from endiveworks.programs.records import (
    CallClaimed,
    CallEnded,
    CallReleased,
    Outcome,
    decode,
    encode,
)
from endiveworks.programs.state import Partition, apply, snapshot
from returns.result import Result, Success

ROOT = "0001-root"
CHILD = "0001-child"
BODY = b'{"model":"m","messages":[{"role":"user","content":"hello"}]}'
EVENTS = b'data: {"choices":[{"delta":{"content":"hi"}}],"usage":{"prompt_tokens":5}}\n\n'


def service(kind: str = "model") -> Service:
    return Service(
        name="m",
        kind=kind,
        model="m1",
        classes={"front": 0, "back": 1},
        default_class="front",
        tenants={"*": TenantSettings(1.0, 1000), "vip": TenantSettings(2.0, 5000)},
        at_most_once=frozenset({"order"}),
        checks_fencing=True,
        weights=CostWeights(1.0, 1.0),
        deadline_s=10.0,
        max_tokens=100,
        slots=2,
    )


SERVICES = {"m": service(), "shop": service("plain")._replace(name="shop")}


def apply_decision(state: Partition, outcome: Result[Decision, object]) -> Decision:
    decision = outcome.unwrap()
    for record in decision.records:
        apply(state, record)
    return decision


def add_program(state: Partition, program: str = ROOT, parent: str = "", budget: int = 500) -> None:
    req = OpenCommand("t", "m", "", parent, budget, "", 1.0)
    apply_decision(state, open_program(state, req, program, SERVICES))


def start(
    number: int = 1, program: str = ROOT, body: bytes = BODY, tokens: int = 50
) -> StartCommand:
    return StartCommand(program, number, "t", "m", "chat", "", body, 10, tokens)


def ended(number: int = 1, program: str = ROOT, spent: int = 20) -> CallEnded:
    response = assemble(EVENTS)
    kind = "text/event-stream"
    return CallEnded(
        program, number, Outcome.DONE, 200, kind, response, spent, spent - 5, 5, 0, "u", 2.0
    )


def code_of(outcome: Result[Decision, object]) -> Code:
    failure = outcome.failure()
    assert failure.not_run
    return failure.code


class TestOpen:
    def test_uses_the_default_class_and_the_maximum_budget(self) -> None:
        state = Partition()
        req = OpenCommand("t", "m", "", "", 0, "", 1.0)
        apply_decision(state, open_program(state, req, ROOT, SERVICES))
        assert state.programs[ROOT].opened.class_name == "front"
        assert state.programs[ROOT].budget_tokens == 1000

    def test_a_repeated_key_opens_nothing_new(self) -> None:
        state = Partition()
        req = OpenCommand("t", "m", "", "", 0, "key", 1.0)
        apply_decision(state, open_program(state, req, ROOT, SERVICES))
        again = apply_decision(state, open_program(state, req, "0001-other", SERVICES))
        assert again.records == ()
        assert state.opened_keys["t", "key"] == ROOT

    def test_refuses_invalid_requests(self) -> None:
        state = Partition()
        base = OpenCommand("t", "m", "", "", 0, "", 1.0)
        cases = {
            Code.UNKNOWN_SERVICE: base._replace(service="none"),
            Code.BAD_REQUEST: base._replace(budget_tokens=1001),
            Code.UNKNOWN_PROGRAM: base._replace(parent="0001-none"),
        }
        for code, req in cases.items():
            assert code_of(open_program(state, req, ROOT, SERVICES)) is code
        unknown_class = base._replace(class_name="none")
        assert code_of(open_program(state, unknown_class, ROOT, SERVICES)) is Code.BAD_REQUEST

    def test_a_parent_of_another_tenant_is_refused(self) -> None:
        state = Partition()
        add_program(state)
        req = OpenCommand("vip", "m", "", ROOT, 0, "", 1.0)
        assert code_of(open_program(state, req, CHILD, SERVICES)) is Code.WRONG_TENANT


class TestOrder:
    def test_the_next_call_waits_for_the_end_of_the_last(self) -> None:
        state = Partition()
        add_program(state)
        apply_decision(state, start_call(state, start(1), SERVICES))
        assert code_of(start_call(state, start(2), SERVICES)) is Code.CALL_OUT_OF_ORDER
        apply_decision(state, end_call(state, ended(1)))
        apply_decision(state, start_call(state, start(2), SERVICES))

    def test_a_gap_is_refused(self) -> None:
        state = Partition()
        add_program(state)
        assert code_of(start_call(state, start(2), SERVICES)) is Code.CALL_OUT_OF_ORDER

    def test_a_repeat_returns_the_first_response(self) -> None:
        state = Partition()
        add_program(state)
        apply_decision(state, start_call(state, start(1), SERVICES))
        apply_decision(state, end_call(state, ended(1)))
        again = apply_decision(state, start_call(state, start(1), SERVICES))
        assert again.records == ()
        assert again.call is not None and again.call.ended == ended(1)

    def test_a_repeat_with_another_body_is_refused(self) -> None:
        state = Partition()
        add_program(state)
        apply_decision(state, start_call(state, start(1), SERVICES))
        other = start(1, body=BODY.replace(b"hello", b"other"))
        assert code_of(start_call(state, other, SERVICES)) is Code.CALL_MISMATCH

    def test_an_ended_call_keeps_its_response(self) -> None:
        state = Partition()
        add_program(state)
        apply_decision(state, start_call(state, start(1), SERVICES))
        apply_decision(state, end_call(state, ended(1)))
        assert code_of(end_call(state, ended(1, spent=99))) is Code.CONFLICT

    def test_another_tenant_may_not_call(self) -> None:
        state = Partition()
        add_program(state)
        req = start(1)._replace(tenant="vip")
        assert code_of(start_call(state, req, SERVICES)) is Code.WRONG_TENANT

    def test_a_closed_program_accepts_no_call(self) -> None:
        state = Partition()
        add_program(state)
        add_program(state, CHILD, ROOT)
        apply_decision(state, close_program(state, ROOT, "t", "done", 3.0))
        assert code_of(start_call(state, start(1), SERVICES)) is Code.PROGRAM_CLOSED
        assert code_of(start_call(state, start(1, CHILD), SERVICES)) is Code.PROGRAM_CLOSED


class TestHistory:
    def test_grows_by_the_request_and_the_response(self) -> None:
        state = Partition()
        add_program(state)
        apply_decision(state, start_call(state, start(1), SERVICES))
        apply_decision(state, end_call(state, ended(1)))
        first, second = state.programs[ROOT].messages
        assert first == b'{"role":"user","content":"hello"}'
        assert second == b'{"role":"assistant","content":"hi"}'


class TestBudget:
    def test_a_call_reserves_its_maximum_and_is_charged_its_use(self) -> None:
        state = Partition()
        add_program(state, budget=100)
        apply_decision(state, start_call(state, start(1), SERVICES))
        assert state.programs[ROOT].budget_tokens == 40
        apply_decision(state, end_call(state, ended(1, spent=20)))
        assert state.programs[ROOT].budget_tokens == 80

    def test_a_call_that_may_exceed_the_budget_is_refused(self) -> None:
        state = Partition()
        add_program(state, budget=59)
        assert code_of(start_call(state, start(1), SERVICES)) is Code.BUDGET_EXCEEDED

    def test_sub_agents_are_charged_to_their_parent(self) -> None:
        state = Partition()
        add_program(state, budget=100)
        add_program(state, CHILD, ROOT, 100)
        apply_decision(state, start_call(state, start(1, CHILD), SERVICES))
        assert state.programs[ROOT].budget_tokens == 40
        assert code_of(start_call(state, start(1), SERVICES)) is Code.BUDGET_EXCEEDED

    def test_a_sub_agent_has_a_limit_of_its_own(self) -> None:
        state = Partition()
        add_program(state, budget=500)
        add_program(state, CHILD, ROOT, 30)
        assert code_of(start_call(state, start(1, CHILD), SERVICES)) is Code.BUDGET_EXCEEDED

    def test_another_attempt_needs_tokens_of_its_own(self) -> None:
        state = Partition()
        add_program(state, budget=100)
        apply_decision(state, start_call(state, start(1), SERVICES))
        apply_decision(state, claim_attempt(state, CallClaimed(ROOT, 1, 1, "u", 7, 0, False)))
        second = CallClaimed(ROOT, 1, 2, "v", 8, 60, True)
        assert code_of(claim_attempt(state, second)) is Code.BUDGET_EXCEEDED

    def test_a_released_call_returns_unspent_tokens(self) -> None:
        state = Partition()
        add_program(state, budget=100)
        apply_decision(state, start_call(state, start(1), SERVICES))
        apply_decision(state, release_call(state, CallReleased(ROOT, 1, 10)))
        assert state.programs[ROOT].budget_tokens == 90
        apply_decision(state, start_call(state, start(1), SERVICES))

    def test_attempt_numbers_are_never_reused(self) -> None:
        state = Partition()
        add_program(state)
        claim = CallClaimed(ROOT, 1, 1, "u", 7, 0, False)
        apply_decision(state, start_call(state, start(1), SERVICES))
        apply_decision(state, claim_attempt(state, claim))
        apply_decision(state, release_call(state, CallReleased(ROOT, 1, 0)))
        apply_decision(state, start_call(state, start(1), SERVICES))
        assert code_of(claim_attempt(state, claim)) is Code.CONFLICT
        assert isinstance(claim_attempt(state, claim._replace(attempt=2)), Success)

    def test_a_plain_call_reserves_nothing(self) -> None:
        state = Partition()
        add_program(state, budget=1)
        req = start(1)._replace(service="shop", operation="order")
        decision = apply_decision(state, start_call(state, req, SERVICES))
        assert decision.call is not None and decision.call.started.at_most_once
        assert decision.call.reserved_tokens == 0


class TestIdle:
    def test_programs_without_a_caller_are_closed(self) -> None:
        state = Partition()
        add_program(state)
        apply_decision(state, close_idle(state, 100.0, 200.0))
        closed = state.programs[ROOT].closed
        assert closed is not None and closed.reason == "idle"

    def test_a_parent_stays_open_while_a_sub_agent_runs_a_call(self) -> None:
        state = Partition()
        add_program(state)
        add_program(state, CHILD, ROOT)
        apply_decision(state, start_call(state, start(1, CHILD), SERVICES))
        assert apply_decision(state, close_idle(state, 100.0, 200.0)).records == ()


class TestSnapshot:
    def test_rebuilds_the_same_state(self) -> None:
        state = Partition()
        add_program(state)
        add_program(state, CHILD, ROOT, 100)
        apply_decision(state, start_call(state, start(1), SERVICES))
        apply_decision(state, end_call(state, ended(1)))
        apply_decision(state, start_call(state, start(2), SERVICES))
        apply_decision(state, claim_attempt(state, CallClaimed(ROOT, 2, 1, "u", 7, 0, False)))
        apply_decision(state, close_program(state, CHILD, "t", "done", 3.0))
        records = snapshot(state, 0.0)
        rebuilt = Partition()
        for record in records:
            apply(rebuilt, decode(encode(record)).unwrap())
        assert snapshot(rebuilt, 0.0) == records
        assert rebuilt.programs[ROOT].running == state.programs[ROOT].running
        assert rebuilt.opened_keys == state.opened_keys

    def test_removes_programs_closed_long_ago(self) -> None:
        state = Partition()
        add_program(state)
        apply_decision(state, close_program(state, ROOT, "t", "done", 3.0))
        assert snapshot(state, 3.0)
        assert snapshot(state, 3.5) == []
        assert state.programs == {}
