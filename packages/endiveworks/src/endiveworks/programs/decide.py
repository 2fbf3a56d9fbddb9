"""Decisions on programs: each returns the records to append, or the reason for a refusal."""

from collections.abc import Mapping
from typing import NamedTuple

import xxhash
from returns.result import Failure as Err
from returns.result import Result, Success

from ..config.bundle import Service, TenantSettings
from ..errors import Code, Failure
from .memory import ProgramMemory
from .records import (
    Call,
    CallClaimed,
    CallEnded,
    CallReleased,
    CallStarted,
    ProgramClosed,
    ProgramOpened,
    Record,
)
from .state import Partition, Program

CLAIM_STEP = "programs.claim"
_ANY_TENANT = "*"
UNLIMITED = ProgramMemory()


class OpenCommand(NamedTuple):
    """A caller's request to open a program."""

    tenant: str
    service: str
    class_name: str
    parent: str
    budget_tokens: int
    request_key: str
    at_s: float


class StartCommand(NamedTuple):
    """A caller's request to run a call, with the size of its prompt beyond the history."""

    program: str
    call: int
    tenant: str
    service: str
    operation: str
    request_key: str
    body: bytes
    new_prompt_tokens: int
    max_tokens: int


class Decision(NamedTuple):
    """Records to append, and the call whose response the caller follows, if any."""

    records: tuple[Record, ...]
    call: Call | None = None


def open_program(
    partition: Partition,
    req: OpenCommand,
    program: str,
    services: Mapping[str, Service],
    memory: ProgramMemory = UNLIMITED,
) -> Result[Decision, Failure]:
    """Opens a program under a new id, unless its idempotency key was used before."""
    step = "programs.open"
    if req.request_key and (req.tenant, req.request_key) in partition.opened_keys:
        return Success(Decision(()))
    service = services.get(req.service)
    if service is None:
        return _refuse(Code.UNKNOWN_SERVICE, step, f"service {req.service!r} does not exist")
    class_name = req.class_name or service.default_class
    if class_name not in service.classes:
        allowed = ", ".join(sorted(service.classes))
        return _refuse(Code.BAD_REQUEST, step, f"class {class_name!r} is not one of: {allowed}")
    settings = tenant_settings(service, req.tenant)
    if settings is None:
        detail = f"tenant {req.tenant!r} may not use service {req.service!r}"
        return _refuse(Code.WRONG_TENANT, step, detail)
    limit = settings.budget_tokens
    if req.budget_tokens < 0 or req.budget_tokens > limit:
        detail = f"budget_tokens is {req.budget_tokens}, but must be between 1 and {limit}"
        return _refuse(Code.BAD_REQUEST, step, detail)
    if req.parent:
        refusal = _check_parent(partition, req)
        if refusal is not None:
            return Err(refusal)
    no_room = memory.refuse_program(req.tenant)
    if no_room is not None:
        return Err(no_room)
    budget = req.budget_tokens or limit
    opened = ProgramOpened(
        program, req.tenant, class_name, req.parent, budget, req.request_key, req.at_s
    )
    return Success(Decision((opened,)))


def start_call(
    partition: Partition,
    req: StartCommand,
    services: Mapping[str, Service],
    memory: ProgramMemory = UNLIMITED,
) -> Result[Decision, Failure]:
    """Accepts the next call of a program, or returns the existing call that is repeated."""
    step = "programs.start"
    found = find_program(partition, req.program, req.tenant, step)
    if not isinstance(found, Success):
        return Err(found.failure())
    program = found.unwrap()
    digest = request_digest(req)
    existing = program.calls.get(req.call)
    if existing is not None:
        return _repeated_call(existing, req, digest)
    refusal = _check_next(program, req)
    if refusal is not None:
        return Err(refusal)
    service = services.get(req.service)
    if service is None:
        return _refuse(Code.UNKNOWN_SERVICE, step, f"service {req.service!r} does not exist")
    if tenant_settings(service, req.tenant) is None:
        detail = f"tenant {req.tenant!r} may not use service {req.service!r}"
        return _refuse(Code.WRONG_TENANT, step, detail)
    reserved = _tokens_to_reserve(program, service, req)
    available = _available_tokens(partition, req.program)
    if reserved > available:
        detail = f"the call may need {reserved} tokens and {available} are left"
        return _refuse(Code.BUDGET_EXCEEDED, step, detail)
    no_room = memory.refuse_call(req.tenant, len(req.body), program.stored_bytes)
    if no_room is not None:
        return Err(no_room)
    started = CallStarted(
        program=req.program,
        call=req.call,
        service=req.service,
        operation=req.operation,
        request_key=req.request_key,
        digest=digest,
        reserved_tokens=reserved,
        at_most_once=req.operation in service.at_most_once,
        body=req.body,
    )
    return Success(Decision((started,), Call(started)))


def claim_attempt(partition: Partition, claim: CallClaimed) -> Result[Decision, Failure]:
    """Claims the next attempt at a running call, if its tokens can be reserved."""
    call = _running_call(partition, claim.program, claim.call)
    if call is None or claim.attempt != partition.programs[claim.program].attempts + 1:
        detail = (
            f"attempt {claim.attempt} at call {claim.call} of {claim.program} is not the next one"
        )
        return _refuse(Code.CONFLICT, CLAIM_STEP, detail)
    available = _available_tokens(partition, claim.program)
    if claim.reserved_tokens > available:
        detail = f"another attempt may need {claim.reserved_tokens} tokens, {available} are left"
        return _refuse(Code.BUDGET_EXCEEDED, CLAIM_STEP, detail)
    return Success(Decision((claim,), call._replace(claims=(*call.claims, claim))))


def end_call(partition: Partition, ended: CallEnded) -> Result[Decision, Failure]:
    """Records the final response of a running call; an ended call keeps its response."""
    call = _running_call(partition, ended.program, ended.call)
    if call is None:
        detail = f"call {ended.call} of {ended.program} is not running"
        return _refuse(Code.CONFLICT, "programs.end", detail)
    return Success(Decision((ended,), call._replace(ended=ended)))


def release_call(partition: Partition, released: CallReleased) -> Result[Decision, Failure]:
    """Removes a running call that has no final response."""
    if _running_call(partition, released.program, released.call) is None:
        detail = f"call {released.call} of {released.program} is not running"
        return _refuse(Code.CONFLICT, "programs.release", detail)
    return Success(Decision((released,)))


def close_program(
    partition: Partition, program: str, tenant: str, reason: str, at_s: float
) -> Result[Decision, Failure]:
    """Closes a program and the programs of its sub-agents, except those closed before."""
    found = find_program(partition, program, tenant, "programs.close")
    if not isinstance(found, Success):
        return Err(found.failure())
    target = found.unwrap()
    open_programs = (other for other in partition.programs.values() if not other.closed)
    records = [
        ProgramClosed(other.opened.program, reason, at_s)
        for other in open_programs
        if target in partition.with_ancestors(other.opened.program)
    ]
    return Success(Decision(tuple(records)))


def close_idle(
    partition: Partition, idle_cutoff_s: float, at_s: float
) -> Result[Decision, Failure]:
    """Closes programs whose callers are gone, to free what is held for them.

    A program stays open while it or one of its sub-agents runs a call or was active recently.

    Args:
        partition: State of the partition.
        idle_cutoff_s: Programs whose last activity is before this time are idle, in seconds
            since the Unix epoch.
        at_s: Current time, in seconds since the Unix epoch.
    """
    open_programs = [program for program in partition.programs.values() if program.closed is None]
    needed: set[str] = set()
    for program in open_programs:
        if program.running is not None or program.active_at_s >= idle_cutoff_s:
            needed.update(
                found.opened.program for found in partition.with_ancestors(program.opened.program)
            )
    names = [program.opened.program for program in open_programs]
    records = [ProgramClosed(name, "idle", at_s) for name in names if name not in needed]
    return Success(Decision(tuple(records)))


def find_program(
    partition: Partition, program: str, tenant: str, step: str
) -> Result[Program, Failure]:
    """Returns a tenant's program, or UNKNOWN_PROGRAM or WRONG_TENANT at the given step."""
    found = partition.programs.get(program)
    if found is None:
        detail = f"program {program} does not exist"
        return Err(Failure(Code.UNKNOWN_PROGRAM, step, "", detail, not_run=True))
    if found.opened.tenant != tenant:
        detail = "the program belongs to another tenant"
        return Err(Failure(Code.WRONG_TENANT, step, "", detail, not_run=True))
    return Success(found)


def tenant_settings(service: Service, tenant: str) -> TenantSettings | None:
    """Returns a tenant's settings for a service, or None when the tenant may not use it."""
    return service.tenants.get(tenant, service.tenants.get(_ANY_TENANT))


def request_digest(req: StartCommand) -> str:
    """Returns a hash that is equal for equal requests."""
    hashed = xxhash.xxh3_128()
    for part in (req.service, req.operation, req.request_key):
        hashed.update(part.encode() + b"\0")
    hashed.update(req.body)
    return hashed.hexdigest()


def _available_tokens(partition: Partition, program: str) -> int:
    return min(found.budget_tokens for found in partition.with_ancestors(program))


def _tokens_to_reserve(program: Program, service: Service, req: StartCommand) -> int:
    if service.kind != "model":
        return 0
    return program.history_tokens + req.new_prompt_tokens + req.max_tokens


def _check_parent(partition: Partition, req: OpenCommand) -> Failure | None:
    step = "programs.open"
    parent = partition.programs.get(req.parent)
    if parent is None:
        return Failure(Code.UNKNOWN_PROGRAM, step, "", f"parent {req.parent} does not exist", True)
    if parent.opened.tenant != req.tenant:
        detail = "the parent belongs to another tenant"
        return Failure(Code.WRONG_TENANT, step, "", detail, True)
    if parent.closed:
        detail = f"the parent is closed: {parent.closed.reason}"
        return Failure(Code.PROGRAM_CLOSED, step, "", detail, True)
    return None


def _check_next(program: Program, req: StartCommand) -> Failure | None:
    step = "programs.start"
    if program.closed:
        detail = f"the program is closed: {program.closed.reason}"
        return Failure(Code.PROGRAM_CLOSED, step, "", detail, True)
    if req.call != program.next_call:
        detail = f"call {req.call} was sent, but the next call is {program.next_call}"
        return Failure(Code.CALL_OUT_OF_ORDER, step, "", detail, True)
    running = program.running
    if running is not None:
        detail = f"call {running.started.call} has not ended"
        return Failure(Code.CALL_OUT_OF_ORDER, step, "", detail, True)
    return None


def _repeated_call(existing: Call, req: StartCommand, digest: str) -> Result[Decision, Failure]:
    if existing.started.digest != digest:
        detail = f"call {req.call} was made before with a different request"
        return _refuse(Code.CALL_MISMATCH, "programs.start", detail)
    return Success(Decision((), existing))


def _running_call(partition: Partition, program: str, number: int) -> Call | None:
    found = partition.programs.get(program)
    call = found.calls.get(number) if found is not None else None
    return call if call is not None and call.ended is None else None


def _refuse(code: Code, step: str, detail: str) -> Result[Decision, Failure]:
    return Err(Failure(code, step, "", detail, not_run=True))
