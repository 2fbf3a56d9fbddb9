"""Texts of libraries' errors without the bytes that they quote."""


def unquoted(error: Exception) -> str:
    """Returns the text of an error up to its first colon.

    What callers and replicas have sent stands behind it, and must not come into logs.
    """
    return str(error).partition(":")[0]
