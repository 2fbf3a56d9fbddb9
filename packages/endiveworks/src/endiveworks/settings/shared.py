"""Names of all settings by program, so that one program knows the variables of the other."""

DAEMON_SETTINGS: tuple[str, ...] = ()

CTL_SETTINGS = (
    "kv",
    "admins",
    "format",
    "timeout_s",
    "publisher",
    "histograms",
    "limit",
)
