"""Stand-in for a plain service, which logs every call that it executes.

Run as `python -m endiveworks_standins.plain --port=0 --log_file=FILE`. Every operation returns a
receipt with a number that increases with each execution.
"""

import argparse
import errno
import itertools
import json
import sys
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import Any, TextIO, TypedDict

from cheroot import wsgi

_THREADS = 64
_FAULTS_PATH = "/standin/faults"
_JSON = [("Content-Type", "application/json")]


class Faults(TypedDict, total=False):
    """Injected faults.

    Attributes:
        delay_ms: Delay between the execution and the response, in milliseconds.
        byte_ms: Delay before each byte of the response, in milliseconds.
        lose_answers: Whether connections are closed after the execution, without a response.
        status: Status of every response; 0 for success.
    """

    delay_ms: int
    byte_ms: int
    lose_answers: bool
    status: int


class PlainService:
    """Executes calls, and logs each before responding to it."""

    def __init__(self, log: TextIO) -> None:
        self._log = log
        self._lock = threading.Lock()
        self._receipts = itertools.count(1)
        self.faults: Faults = {}

    def execute(self, operation: str, key: str, body: bytes) -> bytes:
        """Executes a call and returns its receipt."""
        with self._lock:
            number = next(self._receipts)
            entry = {"n": number, "operation": operation, "key": key, "body": body.decode()}
            self._log.write(json.dumps(entry) + "\n")
            self._log.flush()
        return json.dumps({"receipt": number, "operation": operation}).encode()

    def app(self, environ: dict[str, Any], start_response: Callable[..., Any]) -> Iterable[bytes]:
        """Handles a request; the path is the operation."""
        body = environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))
        path = environ["PATH_INFO"]
        if path == _FAULTS_PATH:
            self.faults = json.loads(body)
            start_response("200 OK", _JSON)
            return [b"{}"]
        receipt = self.execute(path.strip("/"), environ.get("HTTP_IDEMPOTENCY_KEY", ""), body)
        time.sleep(self.faults.get("delay_ms", 0) / 1000)
        if self.faults.get("lose_answers"):
            # Without this errno the server would send an error response before closing.
            raise ConnectionAbortedError(
                errno.ECONNABORTED, "response dropped by an injected fault"
            )
        status = self.faults.get("status", 0)
        start_response(f"{status} Fault" if status else "200 OK", _JSON)
        byte_ms = self.faults.get("byte_ms", 0)
        return _slow_body(receipt, byte_ms / 1000) if byte_ms else [receipt]


def _slow_body(data: bytes, delay_s: float) -> Iterator[bytes]:
    for byte in data:
        time.sleep(delay_s)
        yield bytes([byte])


def main() -> None:
    """Serves until the process is terminated."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--log_file", type=Path, required=True)
    args = parser.parse_args()
    with args.log_file.open("a") as log:
        service = PlainService(log)
        httpd = wsgi.Server(("127.0.0.1", args.port), service.app, numthreads=_THREADS)
        httpd.prepare()
        address = f"127.0.0.1:{httpd.bind_addr[1]}"
        print(json.dumps({"event": "listening", "address": address}), file=sys.stderr, flush=True)
        httpd.serve()


if __name__ == "__main__":
    main()
