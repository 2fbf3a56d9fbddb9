"""Names that callers choose, in a form whose length is bounded, as keys of state that is kept."""

import hashlib

MAX_NAME_CHARS = 128  # Longer names are replaced by their hash.
_DIGEST_BYTES = 20


def bounded_name(name: str) -> str:
    """Returns the name, or the hash of one that is too long to be kept many times."""
    if len(name) <= MAX_NAME_CHARS:
        return name
    return f"#{hashlib.blake2b(name.encode(), digest_size=_DIGEST_BYTES).hexdigest()}"
