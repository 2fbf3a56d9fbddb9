"""The validated values of settings."""

from collections.abc import Mapping, Sequence


class Values:
    """The values after parsing and validation.

    Attributes:
        args: Positional arguments, in order.
        help_requested: Whether --help was given; all values are then the defaults.
    """

    def __init__(
        self, values: Mapping[str, object], args: Sequence[str] = (), help_requested: bool = False
    ) -> None:
        self._values = dict(values)
        self.args = tuple(args)
        self.help_requested = help_requested

    def text(self, name: str) -> str:
        """Returns the value of a string or choice setting."""
        value = self._values[name]
        assert isinstance(value, str), name
        return value

    def integer(self, name: str) -> int:
        """Returns the value of an integer setting."""
        value = self._values[name]
        assert isinstance(value, int), name
        return value

    def number(self, name: str) -> float:
        """Returns the value of a float setting."""
        value = self._values[name]
        assert isinstance(value, float), name
        return value

    def flag(self, name: str) -> bool:
        """Returns the value of a boolean setting."""
        value = self._values[name]
        assert isinstance(value, bool), name
        return value
