"""Records the chat calls of this host's programs as traces for endivectl replay."""

import threading
import time
from collections import OrderedDict
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import NamedTuple

from endiveworks.calls.stream import FinalStatus
from endiveworks.config.bundle import Service
from endiveworks.errors import Failure
from endiveworks.members.member import Member
from endiveworks.programs.plan import PlacementRequest, Upstreams
from endiveworks.replay.engine import Rates
from endiveworks.replay.trace import Call, Header, ReplicaLocation, encode_call, encode_header
from returns.result import Result

_MAX_PROGRAMS = 65_536
_MODEL_KIND = "model"


class _ProgramHistory(NamedTuple):
    """Previous calls of a program.

    Attributes:
        calls: Number of chat calls that have completed.
        ended_s: Monotonic time in seconds when the last of them ended, or recording started.
        tool: Name of the last plain service called since the last chat call; empty for none.
    """

    calls: int
    ended_s: float
    tool: str


class TraceRecorder:
    """Writes one trace file per model service, at the given path with the service's name as suffix.

    Lines contain lengths, times and names, never prompt text. Each sub-agent is recorded as a
    separate program, and the header has the default values of Rates.

    Args:
        path: Path to which the service's name is appended.
        region: Region of this host.
        members: Returns the live processes by host.
    """

    def __init__(
        self, path: Path, region: str, members: Callable[[], Mapping[str, Member]]
    ) -> None:
        self._path = path
        self._region = region
        self._members = members
        self._lock = threading.Lock()
        self._started_s = time.monotonic()
        self._histories: OrderedDict[str, _ProgramHistory] = OrderedDict()
        self._sent_s: OrderedDict[str, float] = OrderedDict()

    def record_sent(self, req: PlacementRequest) -> None:
        """Records when a call is sent; later attempts keep the time of the first."""
        with self._lock:
            self._sent_s.setdefault(req.program, time.monotonic())
            if len(self._sent_s) > _MAX_PROGRAMS:
                self._sent_s.popitem(last=False)

    def record_ended(self, req: PlacementRequest, final_status: FinalStatus) -> None:
        """Records a completed call; a failed attempt is ignored."""
        if final_status.failure is not None:
            return
        with self._lock:
            now_s = time.monotonic()
            sent_s = self._sent_s.pop(req.program, now_s)
            history = self._histories.pop(req.program, _ProgramHistory(0, self._started_s, ""))
            if req.service.kind == _MODEL_KIND:
                self._write(
                    req.service, _trace_call(req, final_status, history, sent_s, self._region)
                )
                history = _ProgramHistory(history.calls + 1, now_s, "")
            else:
                history = history._replace(tool=req.service.name)
            self._histories[req.program] = history
            if len(self._histories) > _MAX_PROGRAMS:
                self._histories.popitem(last=False)

    def _write(self, service: Service, call: Call) -> None:
        path = self._path.with_name(f"{self._path.name}.{service.name}")
        is_new = not path.exists()
        with path.open("ab") as file:
            if is_new:
                file.write(encode_header(self._header(service)) + b"\n")
            file.write(encode_call(call) + b"\n")

    def _header(self, service: Service) -> Header:
        members = self._members().values()
        return Header(
            deployment=service.name,
            assumed="",
            seed=0,
            load=0.0,
            replicas=tuple(
                ReplicaLocation(m.host, m.region) for m in members if m.service == service.name
            ),
            rates=Rates(),
            tenants={name: terms.weight for name, terms in service.tenants.items()},
            classes=dict(service.classes),
            weights=service.weights,
            deadline_s=service.deadline_s,
            link_bytes_per_s=15e6 / 8,
            link_delay_s=0.02,
            outcomes={},
        )


def trace_upstreams(upstreams: Upstreams, recorder: TraceRecorder) -> Upstreams:
    """Wraps the functions to record traces of calls."""

    def choose(req: PlacementRequest) -> Result[Member, Failure]:
        recorder.record_sent(req)
        return upstreams.choose(req)

    def on_ended(host: str, req: PlacementRequest, final_status: FinalStatus) -> None:
        upstreams.on_ended(host, req, final_status)
        recorder.record_ended(req, final_status)

    return upstreams._replace(choose=choose, on_ended=on_ended)


def _trace_call(
    req: PlacementRequest,
    final_status: FinalStatus,
    history: _ProgramHistory,
    sent_s: float,
    region: str,
) -> Call:
    elapsed_s = round(max(0.0, sent_s - history.ended_s), 3)
    is_first = history.calls == 0
    return Call(
        program=req.program,
        call=history.calls,
        at_s=elapsed_s if is_first else 0.0,
        pause_s=0.0 if is_first else elapsed_s,
        tool=history.tool,
        new_tokens=max(1, final_status.prompt_tokens - req.history_tokens),
        output_tokens=max(1, final_status.completion_tokens),
        tenant=req.tenant,
        class_name=req.class_name,
        region=region,
    )
