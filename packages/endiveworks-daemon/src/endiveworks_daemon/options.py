"""The settings of endiveworksd."""

from endiveworks.settings.checks import (
    address,
    addresses,
    at_least,
    between,
    not_empty,
    optional_address,
)
from endiveworks.settings.flags import Flags, Values
from endiveworks.settings.shared import CTL_SETTINGS

ROLES = ("entry", "upstream")
LOG_LEVELS = ("debug", "info", "warning", "error")


def daemon_flags() -> Flags:
    """Returns the daemon's settings with their validation."""
    flags = Flags("endiveworksd", shared=CTL_SETTINGS)
    flags.define_choice("role", "", ROLES, "What this process is.")
    flags.define_string("host", "", "Name of this process, unique in the deployment.", not_empty)
    flags.define_string("region", "", "Region of the failure domain.", not_empty)
    flags.define_string("failure_domain", "", "Failure domain of this host.", not_empty)
    flags.define_string("kv", "127.0.0.1:2379", "Address of the key-value service.", address)
    flags.define_string(
        "host_list",
        "",
        "Address of the platform's list of live and leaving hosts; empty reads none.",
        optional_address,
    )
    flags.define_string("listen", "127.0.0.1:0", "Address for the other processes.", address)
    flags.define_string(
        "advertise",
        "",
        "Address that other processes use instead of --listen; empty for the same.",
        optional_address,
    )
    flags.define_string("admin", "127.0.0.1:0", "Address for operators.", address)
    flags.define_string("statsd", "", "Address of statsd; empty sends nothing.", optional_address)
    flags.define_choice("log_level", "info", LOG_LEVELS, "Lowest level logged.")
    flags.define_string(
        "seeds", "", "Addresses of peers to start from in an outage.", _optional_addresses
    )
    flags.define_float("lease_s", 10.0, "Time to live of the host's lease.", between(1.0, 600.0))
    flags.define_float("drain_s", 600.0, "Longest wait for work to end at a stop.", at_least(0.0))
    flags.define_integer(
        "max_connections", 4096, "Connections of other processes.", between(16, 65536)
    )
    _define_entry(flags)
    _define_lifetimes(flags)
    _define_upstream(flags)
    return flags


def role_errors(cfg: Values) -> tuple[str, ...]:
    """Returns an error message for each missing or invalid setting that the role requires."""
    if cfg.text("role") != "upstream":
        return ()
    errors = []
    if not cfg.text("service"):
        errors.append("--service (or ENDIVEWORKS_SERVICE): a value is required for an upstream.")
    url = cfg.text("upstream_url")
    host = url.removeprefix("http://").partition("/")[0]
    if not url.startswith("http://") or address(host) is not None:
        errors.append(
            f"--upstream_url (or ENDIVEWORKS_UPSTREAM_URL): {url!r} is not a URL with an IP number "
            "and port, such as http://127.0.0.1:8000."
        )
    return tuple(errors)


def _define_entry(flags: Flags) -> None:
    flags.define_string("http", "127.0.0.1:0", "Entry: address for callers.", address)
    flags.define_string("data_dir", "", "Entry: folder for journals; empty keeps none.")
    flags.define_integer("max_open", 256, "Entry: requests answered at once.", between(1, 4096))
    flags.define_integer(
        "max_body_bytes", 4 * 1024 * 1024, "Entry: largest request body.", between(1024, 2**30)
    )
    flags.define_integer(
        "max_callers", 2048, "Entry: open connections of callers.", between(16, 65536)
    )
    flags.define_integer(
        "caller_memory_mb",
        0,
        "Entry: memory that callers may take, in megabytes; 0 for a quarter of the host's.",
        between(0, 2**20),
    )
    flags.define_integer(
        "program_memory_mb",
        0,
        "Entry: memory that programs may take, in megabytes; 0 for a quarter of the host's.",
        between(0, 2**20),
    )
    flags.define_integer(
        "max_header_bytes", 16384, "Entry: largest request headers.", between(1024, 2**20)
    )
    flags.define_float(
        "request_s", 10.0, "Entry: time in which a request must arrive whole.", between(0.1, 600.0)
    )
    flags.define_integer(
        "caller_silence_s",
        30,
        "Entry: time after which an idle connection, or one whose caller does not read, is closed.",
        between(1, 3600),
    )
    flags.define_float(
        "patience_s", 20.0, "Entry: wait for a partition's next owner.", between(0.1, 600.0)
    )

    flags.define_string(
        "trace_file",
        "",
        "Entry: path of the traces to record, without prompts; empty records none.",
    )
    flags.define_float(
        "link_bytes_per_s",
        200_000.0,
        "Entry: bytes a second that this host may send between regions.",
        between(1.0, 1e12),
    )
    flags.define_float(
        "link_delay_s", 0.02, "Entry: one-way delay between regions.", between(0.0, 10.0)
    )
    flags.define_float(
        "prefill_tokens_per_s",
        20_000.0,
        "Prompt tokens that an engine computes in a second.",
        between(1.0, 1e9),
    )


def _define_lifetimes(flags: Flags) -> None:
    flags.define_float(
        "program_idle_s",
        86400.0,
        "Entry: seconds after which a program without a call is closed.",
        between(1.0, 30 * 86400.0),
    )


def _define_upstream(flags: Flags) -> None:
    flags.define_string("service", "", "Upstream: name of the service.")
    flags.define_string("upstream_url", "", "Upstream: URL of the engine or plain service.")
    flags.define_float(
        "transfer_tokens_per_s",
        60_000.0,
        "Upstream: tokens that an engine exports or imports in a second; 0 never exports.",
        between(0.0, 1e9),
    )
    flags.define_string(
        "order_guard",
        "",
        "Upstream: address bound by the one process of this host that may order the engine; "
        "empty binds none.",
        optional_address,
    )
    flags.define_integer("max_waiting", 1000, "Upstream: calls that may wait.", between(1, 10**6))
    flags.define_float(
        "silence_s",
        30.0,
        "Upstream: seconds without an event before a stream is given up.",
        between(0.1, 3600.0),
    )


def _optional_addresses(value: object) -> str | None:
    return addresses(value) if value else None
