"""Raises the limit on open file descriptors at startup to what the settings require."""

import resource

from endiveworks.settings.flags import Values

_RESERVED_FILES = 256


def raise_file_limit(cfg: Values) -> str | None:
    """Raises the soft limit to what the settings require.

    Returns:
        An error message if the hard limit is too low for the settings, else None.
    """
    callers = cfg.integer("max_callers") if cfg.text("role") == "entry" else 0
    needed = callers + 2 * cfg.integer("max_connections") + _RESERVED_FILES
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard not in (resource.RLIM_INFINITY,) and needed > hard:
        return (
            f"--max_callers and --max_connections need {needed} open files, "
            f"and the hard limit of this process is {hard}."
        )
    if soft not in (resource.RLIM_INFINITY,) and needed > soft:
        resource.setrlimit(resource.RLIMIT_NOFILE, (needed, hard))
    return None
