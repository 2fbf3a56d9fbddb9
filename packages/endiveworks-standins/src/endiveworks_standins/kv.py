"""Stand-in for the platform's key-value service and host list, with faults set over HTTP."""

import contextlib
import json
import select
import socket
import sys
import threading
import time
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any

from absl import app, flags
from cheroot import wsgi

from . import kv_api
from .kv_state import Faults, HostList, State

PROGRESS_PERIOD_S = 5.0
_SOCKET_CHECK_S = 0.5
_LEASE_PERIOD_S = 0.1
_WATCH = "watch"
_REFUSED = "refused"
_LOST = "lost"

Environ = Mapping[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class SocketGateway(wsgi.Gateway_10):
    """Passes the socket to the application, which closes connections to simulate faults."""

    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        """Returns the WSGI environment of the request, with its socket."""
        return {**super().get_environ(), "standin.socket": self.req.conn.socket}


def serve(port: int, threads: int) -> wsgi.Server:
    """Returns a server that is bound to a loopback port and ready to start."""
    state = State()
    server = wsgi.Server(("127.0.0.1", port), _application(state), numthreads=threads)
    server.gateway = SocketGateway
    server.timeout = PROGRESS_PERIOD_S * 4
    server.prepare()
    threading.Thread(target=_expire_leases, args=(state,), daemon=True).start()
    return server


def _application(state: State) -> Callable[[Environ, StartResponse], Iterable[bytes]]:
    handlers = kv_api.handlers(state.store)

    def respond(environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        if path.startswith("/standin/") or path == "/hosts":
            return _send_response(start_response, 200, _control(state, path, _body(environ)))
        if state.faults.down:
            _count(state, _REFUSED)
            return close_connection(environ, start_response)
        time.sleep(state.faults.delay_ms / 1000)
        if path == "/v3/watch":
            return _watch(state, environ, start_response)
        if path not in handlers:
            return _send_response(start_response, 404, {"error": f"no such path: {path}"})
        kind, handle = handlers[path]
        return _handle(state, environ, start_response, kind, handle)

    return respond


def _handle(
    state: State,
    environ: Environ,
    start_response: StartResponse,
    kind: str,
    handle: Callable[[kv_api.Body], kv_api.Body],
) -> Iterable[bytes]:
    _count(state, kind)
    state.store.expire(time.monotonic())
    try:
        response = handle(_body(environ))
    except (KeyError, LookupError, ValueError) as exc:
        return _send_response(start_response, 400, {"error": str(exc), "code": 3})
    if kind == "txn" and _next_lost_response(state):
        return close_connection(environ, start_response)
    parts = _send_response(start_response, 200, response)
    with state.lock:
        state.sent_bytes += sum(map(len, parts))
    return parts


def _watch(state: State, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
    key, end, start = kv_api.watch_range(_body(environ))
    with state.lock:
        state.calls[_WATCH] += 1
        state.watches_opened += 1
        number = state.watches_opened
    start_response("200 OK", [("Content-Type", "application/json")])
    return _messages(state, environ["standin.socket"], number, (key, end, start))


def _messages(
    state: State, sock: socket.socket, number: int, watch_range: tuple[bytes, bytes, int]
) -> Iterator[bytes]:
    store = state.store
    key, end, start = watch_range
    next_revision = start or store.revision + 1
    with _count_waiting(state):
        if next_revision < store.oldest_event:
            compacted = str(store.oldest_event)
            yield _line(kv_api.watch_message(store, [], canceled=True, compact_revision=compacted))
            return
        yield _line(kv_api.watch_message(store, [], created=True))
        progress_at = time.monotonic() + PROGRESS_PERIOD_S
        while not (state.faults.down or _closed(sock)):
            with store.changed:
                events = store.events_from(next_revision, key, end)
                next_revision = store.revision + 1
                if not events:
                    store.changed.wait(_SOCKET_CHECK_S)
            if state.faults.silent_watches or number <= state.silenced_before:
                continue
            if events or time.monotonic() > progress_at:
                progress_at = time.monotonic() + PROGRESS_PERIOD_S
                yield _line(kv_api.watch_message(store, events))
    _shut_down(sock)


@contextlib.contextmanager
def _count_waiting(state: State) -> Iterator[None]:
    with state.lock:
        state.watches_waiting += 1
    try:
        yield
    finally:
        with state.lock:
            state.watches_waiting -= 1


def _count(state: State, kind: str) -> None:
    with state.lock:
        state.calls[kind] += 1


def _control(state: State, path: str, body: kv_api.Body) -> Any:
    if path == "/hosts":
        return _served_hosts(state)
    if path == "/standin/counters":
        return _counters(state)
    if path == "/standin/hosts":
        state.host_lists.append(HostList(time.monotonic(), list(body["hosts"])))
    elif path == "/standin/compact":
        state.store.compact()
    elif path == "/standin/faults":
        state.faults = Faults(**body)
        if state.faults.silent_watches:
            state.silenced_before = state.watches_opened
    return state.faults._asdict()


def _counters(state: State) -> Mapping[str, Any]:
    with state.lock:
        return {
            "calls": dict(state.calls),
            "watches_waiting": state.watches_waiting,
            "sent_bytes": state.sent_bytes,
        }


def _served_hosts(state: State) -> list[dict[str, str]]:
    as_of = time.monotonic() - state.faults.hosts_lag_ms / 1000
    return [listed for listed in state.host_lists if listed.set_at <= as_of][-1].hosts


def _next_lost_response(state: State) -> bool:
    with state.lock:
        remaining = state.faults.lose_answers
        if remaining > 0:
            state.calls[_LOST] += 1
            state.faults = state.faults._replace(lose_answers=remaining - 1)
        return remaining > 0


def close_connection(environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
    """Closes the connection, so that the response that the server still sends is lost."""
    _shut_down(environ["standin.socket"])
    return _send_response(start_response, 503, {})


def _shut_down(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)


def _closed(sock: socket.socket) -> bool:
    try:
        readable, _, _ = select.select([sock], [], [], 0)
        return bool(readable) and sock.recv(1, socket.MSG_PEEK) == b""
    except (OSError, ValueError):
        return True


def _body(environ: Environ) -> kv_api.Body:
    length = int(environ.get("CONTENT_LENGTH") or 0)
    body: kv_api.Body = json.loads(environ["wsgi.input"].read(length) or b"{}")
    return body


def _send_response(start_response: StartResponse, status: int, body: Any) -> list[bytes]:
    data = json.dumps(body).encode()
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(data)))]
    start_response(f"{status} {'OK' if status == 200 else 'Error'}", headers)
    return [data]


def _line(message: kv_api.Body) -> bytes:
    return json.dumps(message).encode() + b"\n"


def _expire_leases(state: State) -> None:
    while True:
        time.sleep(_LEASE_PERIOD_S)
        state.store.expire(time.monotonic())


def _main(_: list[str]) -> None:
    server = serve(flags.FLAGS.port, flags.FLAGS.threads)
    host, port = server.bind_addr
    listening = {"event": "listening", "address": f"{host}:{port}"}
    print(json.dumps(listening), file=sys.stderr, flush=True)
    server.serve()


def run() -> None:
    """Runs the stand-in until it is terminated by a signal."""
    flags.DEFINE_integer("port", 0, "Port to listen on; 0 lets the system choose.")
    flags.DEFINE_integer("threads", 64, "Number of calls and watches served concurrently.")
    app.run(_main)


if __name__ == "__main__":
    run()
