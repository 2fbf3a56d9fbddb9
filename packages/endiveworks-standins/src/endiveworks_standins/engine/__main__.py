"""Runs the engine stand-in as a process."""

import json
import sys
import threading
import time
from typing import Any

from absl import app, flags
from cheroot import wsgi
from endiveworks.replay.engine import Rates

from .http import make_app
from .loop import Log, Loop, Options
from .orders import Loaded, Orders

_RATES = Rates()
_OPTIONS = Options()

_PORT = flags.DEFINE_integer("port", 0, "Port to listen on; 0 lets the system choose.")
_LOG_FILE = flags.DEFINE_string("log_file", "", "File that each executed request is logged to.")
_THREADS = flags.DEFINE_integer("threads", 256, "Streams served at once.")
_NATURAL = flags.DEFINE_integer("answer_tokens", 64, "Mean length of an answer, in tokens.")
_FENCING = flags.DEFINE_bool("check_fencing", False, "Refuse orders with an old fencing number.")
_LOAD_S = flags.DEFINE_float("load_s", 0.0, "Time that a load of weights takes.")
_MODEL = flags.DEFINE_string("model", "", "Model loaded at the start; empty answers for any.")
_VERSION = flags.DEFINE_string("model_version", "", "Version loaded at the start.")


def _define(name: str, default: float | int) -> None:
    text = f"The {name} of the engine; see Rates and Options."
    if isinstance(default, int):
        flags.DEFINE_integer(name, default, text)
    else:
        flags.DEFINE_float(name, default, text)


for _fields in (_RATES, _OPTIONS):
    for _name, _default in _fields._asdict().items():
        _define(_name, _default)


def _values(defaults: Any) -> Any:
    return defaults._replace(**{name: flags.FLAGS[name].value for name in defaults._fields})


def _open_log(path: str) -> Log:
    if not path:
        return lambda event, **fields: None
    file = open(path, "a", buffering=1, encoding="utf-8")  # noqa: SIM115 (open until exit)
    lock = threading.Lock()

    def log(event: str, **fields: object) -> None:
        line = json.dumps({"event": event, "at": time.time(), **fields})
        with lock:
            file.write(line + "\n")

    return log


def main(argv: list[str]) -> None:
    """Serves until the process is killed."""
    del argv
    log = _open_log(_LOG_FILE.value)
    loop = Loop(_values(_RATES), _values(_OPTIONS), log)
    threading.Thread(target=loop.run, daemon=True).start()
    loaded = Loaded(_MODEL.value, _VERSION.value)
    orders = Orders(_FENCING.value, _LOAD_S.value, loaded, log, loop.interrupt)
    wsgi_app = make_app(loop, orders, _NATURAL.value)
    server = wsgi.Server(("127.0.0.1", _PORT.value), wsgi_app, numthreads=_THREADS.value)
    server.prepare()
    host, port = server.bind_addr
    line = json.dumps({"event": "listening", "address": f"{host}:{port}"})
    print(line, file=sys.stderr, flush=True)
    server.serve()


if __name__ == "__main__":
    app.run(main)
