"""Command-line flags, each with an environment variable, validated before a process starts."""

import difflib
import sys
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from absl import flags as absl_flags
from returns.result import Failure as Failed
from returns.result import Result, Success

from .values import Values

ENV_PREFIX = "ENDIVEWORKS_"
EXIT_USAGE = 64

Check = Callable[[object], str | None]


class _Setting(NamedTuple):
    """The definition of a setting, with its parser and an optional check of its value."""

    name: str
    default: object
    help: str
    parser: absl_flags.ArgumentParser
    check: Check | None


class SettingDoc(NamedTuple):
    """A setting's name, default and help, for the documentation."""

    name: str
    default: object
    help: str


class _RawParser(absl_flags.ArgumentParser):
    """Leaves a flag's text unparsed, so that all errors can be reported together."""

    syntactic_help = ""

    def parse(self, argument: object) -> object:
        return argument


class Flags:
    """The settings that one program defines.

    Args:
        program: Name of the program in its help.
        shared: Settings defined by other programs of the project; their environment variables
            are accepted and ignored.
    """

    def __init__(self, program: str, shared: Sequence[str] = ()) -> None:
        self.program = program
        self._shared = frozenset(shared)
        self._settings: dict[str, _Setting] = {}

    def define_string(self, name: str, default: str, help: str, check: Check | None = None) -> None:
        """Defines a text setting."""
        self._define(_Setting(name, default, help, absl_flags.ArgumentParser(), check))

    def define_integer(
        self, name: str, default: int, help: str, check: Check | None = None
    ) -> None:
        """Defines an integer setting."""
        self._define(_Setting(name, default, help, absl_flags.IntegerParser(), check))

    def define_float(
        self, name: str, default: float, help: str, check: Check | None = None
    ) -> None:
        """Defines a floating-point setting."""
        self._define(_Setting(name, float(default), help, absl_flags.FloatParser(), check))

    def define_boolean(self, name: str, default: bool, help: str) -> None:
        """Defines a boolean setting, given as --name, --noname or --name=true."""
        self._define(_Setting(name, default, help, absl_flags.BooleanParser(), None))

    def define_choice(self, name: str, default: str, allowed: Sequence[str], help: str) -> None:
        """Defines a text setting with a fixed list of values; an empty default means required."""
        parser = absl_flags.EnumParser(list(allowed))
        text = f"{help} One of: {', '.join(allowed)}."
        self._define(_Setting(name, default, text, parser, None))

    def names(self) -> tuple[str, ...]:
        """Returns the names of all settings, in order of definition."""
        return tuple(self._settings)

    def setting_docs(self) -> tuple[SettingDoc, ...]:
        """Returns name, default and help of all settings, in order of definition."""
        return tuple(
            SettingDoc(setting.name, setting.default, setting.help)
            for setting in self._settings.values()
        )

    def help_text(self) -> str:
        """Returns the help for every setting, with its environment variable and default."""
        return f"usage: {self.program} [flags] [arguments]\n{self._flag_values().get_help()}"

    def parse(self, argv: Sequence[str], env: Mapping[str, str]) -> Result[Values, tuple[str, ...]]:
        """Returns the values, taken from the flag, the environment variable or the default.

        A flag overrides its environment variable, which overrides the default.

        Args:
            argv: The command line without the program name.
            env: The environment.

        Returns:
            The values, or every error found, one sentence each.
        """
        defaults = {setting.name: setting.default for setting in self._settings.values()}
        given, args, errors = self._read_argv(argv)
        if given.pop("help", "false") != "false":
            return Success(Values(defaults, help_requested=True))
        errors += self._unknown_variables(env)
        values = {}
        for setting in self._settings.values():
            value, error = _resolve(setting, given, env)
            values[setting.name] = value
            errors += [error] if error else []
        return Failed(tuple(errors)) if errors else Success(Values(values, args))

    def _define(self, setting: _Setting) -> None:
        if setting.name in self._settings:
            raise ValueError(f"setting {setting.name} is defined twice")
        self._settings[setting.name] = setting

    def _flag_values(self) -> absl_flags.FlagValues:
        registry = absl_flags.FlagValues()
        for setting in self._settings.values():
            _register(registry, setting, self.program)
        absl_flags.DEFINE_boolean(
            "help", False, "Show this help.", flag_values=registry, module_name=self.program
        )
        registry.set_gnu_getopt(True)
        return registry

    def _read_argv(self, argv: Sequence[str]) -> tuple[dict[str, str], list[str], list[str]]:
        """Returns the text of the flags given, the positional arguments and the errors."""
        registry = self._flag_values()
        try:
            rest = registry([self.program, *argv], known_only=True)[1:]
        except absl_flags.Error as exc:
            return {}, [], [f"{exc}."]
        given = {name: str(registry[name].value) for name in registry if registry[name].present}
        literal = list(argv[list(argv).index("--") + 1 :]) if "--" in argv else []
        parsed = rest[: len(rest) - len(literal)]
        unknown = [arg for arg in parsed if arg.startswith("-") and arg not in ("-", "--")]
        args = [arg for arg in parsed if arg not in unknown and arg != "--"] + literal
        return given, args, [self._unknown_flag(arg) for arg in unknown]

    def _unknown_flag(self, arg: str) -> str:
        name = arg.lstrip("-").split("=")[0]
        return f"Unknown flag --{name}{_hint(name, [*self._settings, 'help'], _flag_name)}"

    def _unknown_variables(self, env: Mapping[str, str]) -> list[str]:
        known = {*self._settings, *self._shared}
        found = {name for name in env if name.startswith(ENV_PREFIX)}
        unknown = sorted(found - {env_name(name) for name in known})
        return [
            f"Unknown environment variable {name}"
            f"{_hint(name.removeprefix(ENV_PREFIX).lower(), sorted(known), env_name)}"
            for name in unknown
        ]


def env_name(name: str) -> str:
    """Returns the environment variable of a setting."""
    return ENV_PREFIX + name.upper()


def load(flags: Flags, argv: Sequence[str], env: Mapping[str, str]) -> Values:
    """Returns the values, or exits: with status 0 after --help, 64 after printing the errors."""
    outcome = flags.parse(argv, env)
    if isinstance(outcome, Success):
        values = outcome.unwrap()
        if not values.help_requested:
            return values
        print(flags.help_text())
        raise SystemExit(0)
    for error in outcome.failure():
        print(f"{flags.program}: {error}", file=sys.stderr)
    raise SystemExit(EXIT_USAGE)


def _register(registry: absl_flags.FlagValues, setting: _Setting, program: str) -> None:
    text = f"{setting.help} Environment: {env_name(setting.name)}. Default: {setting.default!r}."
    flag = absl_flags.Flag(
        _RawParser(),
        None,
        setting.name,
        None,
        text,
        boolean=isinstance(setting.default, bool),
    )
    absl_flags.DEFINE_flag(flag, registry, module_name=program)


def _resolve(
    setting: _Setting, given: Mapping[str, str], env: Mapping[str, str]
) -> tuple[object, str | None]:
    """Returns the value of one setting, and an error sentence or None when it is valid."""
    variable = env_name(setting.name)
    if setting.name in given:
        source, text = f"--{setting.name}", given[setting.name]
    elif variable in env:
        source, text = variable, env[variable]
    else:
        source, text = f"--{setting.name} (or {variable})", None
    if text is None:
        return setting.default, _check(setting, source, setting.default)
    try:
        value = setting.parser.parse(text)
    except ValueError as exc:
        return setting.default, f"{source}: {text!r} is not valid: {exc}."
    return value, _check(setting, source, value)


def _check(setting: _Setting, source: str, value: object) -> str | None:
    if isinstance(setting.parser, absl_flags.EnumParser) and not value:
        return f"{source}: a value is required: {', '.join(setting.parser.enum_values)}."
    problem = setting.check(value) if setting.check else None
    return f"{source}: {problem}" if problem else None


def _hint(name: str, known: Sequence[str], show: Callable[[str], str]) -> str:
    """Returns the end of an error about an unknown name, with the closest known name if any."""
    matches = difflib.get_close_matches(name, known, n=1)
    return f"; did you mean {show(matches[0])}?" if matches else "."


def _flag_name(name: str) -> str:
    return f"--{name}"
