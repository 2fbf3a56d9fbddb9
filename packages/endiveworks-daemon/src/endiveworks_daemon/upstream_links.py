"""How owners reach the processes beside upstreams."""

import time
from collections.abc import Callable, Mapping
from typing import TypeVar

from endiveworks.calls.messages import CallKey, Doubt, Job
from endiveworks.calls.pull import Want, pull_to_end
from endiveworks.calls.stream import Piece
from endiveworks.errors import Code, Failure
from endiveworks.links.client import Peers
from endiveworks.members.member import Member
from endiveworks.programs.plan import Upstreams
from endiveworks.wire.faults import from_fault
from endiveworks.wire.gen import ttypes
from endiveworks.wire.streams import read_reply
from returns.result import Failure as Err
from returns.result import Result, Success

from .choice import Report
from .identity import Identity
from .node import ANSWER_TIMEOUT_S, puller, read_answer

T = TypeVar("T")


def upstream_links(
    identity: Identity,
    peers: Peers,
    members: Callable[[], Mapping[str, Member]],
    choose: Callable[..., Result[Member, Failure]],
    done: Callable[..., None],
    contacted: Callable[[Member, Failure | None], None] = lambda member, failure: None,
    reported: Callable[[str, Report], None] = lambda host, report: None,
) -> Upstreams:
    """Returns the functions that owners call.

    Args:
        identity: This process.
        peers: Connections to processes beside upstreams.
        members: Returns the live processes by host.
        choose: Chooses the upstream process for a call.
        done: Is told that an attempt has ended.
        contacted: Is told the outcome of each contact with a process.
        reported: Takes the load that a process reports as it answers a call.
    """
    pull = puller(peers, identity.origin)

    def noted(member: Member, outcome: Result[T, Failure]) -> Result[T, Failure]:
        contacted(member, None if isinstance(outcome, Success) else outcome.failure())
        return outcome

    def submit(member: Member, job: Job) -> Result[None, Failure]:
        req = _dispatch(job)
        call = peers.call_once if job.at_most_once else peers.call
        asked_s = time.monotonic()
        answered = call(
            member.address,
            "upstream.submit",
            ANSWER_TIMEOUT_S,
            lambda client: client.submit(identity.origin(), req),
        )
        if isinstance(answered, Success) and answered.unwrap().load is not None:
            load = answered.unwrap().load
            reported(member.host, Report(asked_s, load.running, load.queued))
        accepted = noted(member, answered.bind(_accepted))
        return accepted if job.at_most_once else accepted.alt(_unless_restarted)

    def read(host: str, key: CallKey, offset: int, wait_s: float) -> Result[Piece, Failure]:
        step, want = "upstream.read", Want(key, offset)
        member = members().get(host)
        if member is None:
            return Err(_gone(host, step))
        answered = read_answer(peers, identity.origin, member.address, step, want, wait_s)
        return noted(member, answered).bind(read_reply)

    def tail(
        host: str, want: Want, take: Callable[[Piece], None], each_second: Callable[[], None]
    ) -> Result[Piece, Failure]:
        member = members().get(host)
        if member is None:
            return Err(_gone(host, "upstream.tail"))
        return pull_to_end(pull, member.address, want, take, each_second)

    def revoke(host: str, key: CallKey, incarnation: int, epoch: int) -> Result[Doubt, Failure]:
        member = members().get(host)
        if member is None:
            return Err(_gone(host, "upstream.revoke"))
        answered = peers.call(
            member.address,
            "upstream.revoke",
            ANSWER_TIMEOUT_S,
            lambda client: client.revoke(
                identity.origin(), ttypes.CallKey(*key), incarnation, epoch
            ),
        )
        return answered.map(lambda reply: Doubt(reply.state))

    return Upstreams(choose, submit, read, tail, revoke, done)


def _accepted(reply: ttypes.SubmitReply) -> Result[None, Failure]:
    return Success(None) if reply.fault is None else Err(from_fault(reply.fault))


def _unless_restarted(refusal: Failure) -> Failure:
    """Returns the refusal of a request that may have been repeated.

    A process that restarted in between can't tell whether the first request ran.
    """
    return refusal._replace(not_run=refusal.not_run and refusal.code is not Code.CONFLICT)


def _dispatch(job: Job) -> ttypes.Dispatch:
    return ttypes.Dispatch(
        key=ttypes.CallKey(*job.key),
        epoch=job.epoch,
        incarnation=job.incarnation,
        tenant=job.tenant,
        service_name=job.service,
        operation=job.operation,
        class_name=job.class_name,
        at_most_once=job.at_most_once,
        attained_tokens=job.attained_tokens,
        deadline_ms=int(job.deadline_s * 1000),
        prompt_tokens=job.prompt_tokens,
        max_tokens=job.max_tokens,
        body=job.body,
    )


def _gone(host: str, step: str) -> Failure:
    return Failure(Code.UNREACHABLE, step, host, "the host is not in the deployment")
