"""How many sockets the process may have, and what share of them each use may take."""

import resource

# Descriptors that are left to files.
RESERVED_FILES = 200
# Share of the sockets for callers. As many are left for the replicas that serve their requests, for
# disks, other hosts and the key-value service.
CALLERS_SHARE = 0.5
# Share of the sockets that idle connections to replicas may take.
IDLE_UPSTREAM_SHARE = 0.25


def max_sockets(max_fds: int) -> int:
    """Returns the most sockets that the process may open.

    Args:
        max_fds: Limit on its descriptors by the settings; 0 for none.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    limits = [limit for limit in (max_fds, soft) if limit > 0]
    return max(2, min(limits, default=RESERVED_FILES) - RESERVED_FILES)
