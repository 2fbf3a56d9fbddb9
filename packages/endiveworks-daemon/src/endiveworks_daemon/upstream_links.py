"""Calls from owners to upstream processes."""

import time
from collections.abc import Callable, Mapping
from typing import TypeVar

from endiveworks.calls.messages import CallKey, Job, RevokeOutcome
from endiveworks.calls.poll_client import ReadRequest, read_to_end
from endiveworks.calls.stream import Chunk
from endiveworks.errors import Code, Failure
from endiveworks.links.client import Peers
from endiveworks.members.member import Member
from endiveworks.programs.plan import Upstreams
from endiveworks.wire.faults import from_fault
from endiveworks.wire.gen import ttypes
from endiveworks.wire.streams import from_reply
from returns.result import Failure as Err
from returns.result import Result, Success

from .identity import Identity
from .node import REPLY_TIMEOUT_S, make_poll_client, read_response
from .upstream_selector import LoadReport

T = TypeVar("T")


def upstream_links(
    identity: Identity,
    peers: Peers,
    members: Callable[[], Mapping[str, Member]],
    choose: Callable[..., Result[Member, Failure]],
    on_ended: Callable[..., None],
    on_outcome: Callable[[Member, Failure | None], None] = lambda member, failure: None,
    on_report: Callable[[str, LoadReport], None] = lambda host, report: None,
) -> Upstreams:
    """Returns the functions through which owners reach the upstream processes.

    Args:
        identity: This process.
        peers: Connections to upstream processes.
        members: Returns the live processes by host.
        choose: Chooses the upstream process for a call.
        on_ended: Called when an attempt has ended.
        on_outcome: Called with the outcome of each request to a process.
        on_report: Called with the load that a process reports in its reply to a submitted attempt.
    """
    poll_client = make_poll_client(peers, identity.origin)

    def report_outcome(member: Member, outcome: Result[T, Failure]) -> Result[T, Failure]:
        on_outcome(member, None if isinstance(outcome, Success) else outcome.failure())
        return outcome

    def submit(member: Member, job: Job) -> Result[None, Failure]:
        req = _dispatch(job)
        call = peers.call_once if job.at_most_once else peers.call
        requested_at_s = time.monotonic()
        outcome = call(
            member.address,
            "upstream.submit",
            REPLY_TIMEOUT_S,
            lambda client: client.submit(identity.origin(), req),
        )
        if isinstance(outcome, Success) and outcome.unwrap().load is not None:
            load = outcome.unwrap().load
            on_report(member.host, LoadReport(requested_at_s, load.running, load.queued))
        accepted = report_outcome(member, outcome.bind(_check_reply))
        return accepted if job.at_most_once else accepted.alt(_clear_not_run_on_conflict)

    def read(host: str, key: CallKey, offset: int, wait_s: float) -> Result[Chunk, Failure]:
        step, read_req = "upstream.read", ReadRequest(key, offset)
        member = members().get(host)
        if member is None:
            return Err(_unknown_host(host, step))
        outcome = read_response(peers, identity.origin, member.address, step, read_req, wait_s)
        return report_outcome(member, outcome).bind(from_reply)

    def tail(
        host: str,
        read_req: ReadRequest,
        on_chunk: Callable[[Chunk], None],
        each_second: Callable[[], None],
    ) -> Result[Chunk, Failure]:
        member = members().get(host)
        if member is None:
            return Err(_unknown_host(host, "upstream.tail"))
        return read_to_end(poll_client, member.address, read_req, on_chunk, each_second)

    def revoke(
        host: str, key: CallKey, incarnation: int, epoch: int
    ) -> Result[RevokeOutcome, Failure]:
        member = members().get(host)
        if member is None:
            return Err(_unknown_host(host, "upstream.revoke"))
        outcome = peers.call(
            member.address,
            "upstream.revoke",
            REPLY_TIMEOUT_S,
            lambda client: client.revoke(
                identity.origin(), ttypes.CallKey(*key), incarnation, epoch
            ),
        )
        return outcome.map(lambda reply: RevokeOutcome(reply.state))

    return Upstreams(choose, submit, read, tail, revoke, on_ended)


def _check_reply(reply: ttypes.SubmitReply) -> Result[None, Failure]:
    return Success(None) if reply.fault is None else Err(from_fault(reply.fault))


def _clear_not_run_on_conflict(refusal: Failure) -> Failure:
    """Returns a refusal without not_run if an earlier try of the request may have run.

    A process that restarted between the tries can't tell whether the first one ran.
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


def _unknown_host(host: str, step: str) -> Failure:
    return Failure(Code.UNREACHABLE, step, host, "the host is not in the deployment")
