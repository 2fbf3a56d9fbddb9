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
from .loop import EngineLoop, Log, Options
from .orders import LoadedState, Orders

_RATES = Rates()
_OPTIONS = Options()

_PORT = flags.DEFINE_integer("port", 0, "Port to listen on; 0 lets the system choose.")
_LOG_FILE = flags.DEFINE_string("log_file", "", "File that each executed request is logged to.")
_THREADS = flags.DEFINE_integer("threads", 256, "Number of streams served concurrently.")
_MEAN_TOKENS = flags.DEFINE_integer("answer_tokens", 64, "Mean length of a response, in tokens.")
_FENCING = flags.DEFINE_bool("check_fencing", False, "Refuse orders with a stale fencing number.")
_LOAD_S = flags.DEFINE_float("load_s", 0.0, "Time to load weights, in seconds.")
_MODEL = flags.DEFINE_string("model", "", "Model loaded at startup; empty serves every model.")
_VERSION = flags.DEFINE_string("model_version", "", "Version loaded at startup.")


def _define_flag(name: str, default: float | int) -> None:
    text = f"Value of {name}; see Rates and Options."
    if isinstance(default, int):
        flags.DEFINE_integer(name, default, text)
    else:
        flags.DEFINE_float(name, default, text)


for _fields in (_RATES, _OPTIONS):
    for _name, _default in _fields._asdict().items():
        _define_flag(_name, _default)


def _from_flags(defaults: Any) -> Any:
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
    loop = EngineLoop(_from_flags(_RATES), _from_flags(_OPTIONS), log)
    threading.Thread(target=loop.run, daemon=True).start()
    loaded = LoadedState(_MODEL.value, _VERSION.value)
    orders = Orders(_FENCING.value, _LOAD_S.value, loaded, log, loop.interrupt)
    wsgi_app = make_app(loop, orders, _MEAN_TOKENS.value)
    server = wsgi.Server(("127.0.0.1", _PORT.value), wsgi_app, numthreads=_THREADS.value)
    server.prepare()
    host, port = server.bind_addr
    line = json.dumps({"event": "listening", "address": f"{host}:{port}"})
    print(line, file=sys.stderr, flush=True)
    server.serve()


if __name__ == "__main__":
    app.run(main)
