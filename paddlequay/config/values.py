"""Reads single values of a configuration and checks them; errors name the path and the value."""

from collections.abc import Mapping
from typing import Any

from paddlequay.errors import ConfigError

Address = tuple[str, int]

MAX_NUMBER = 1e9  # larger numbers are mistakes, and may make a mean infinite
MAX_PORT = 65_535
MAX_ERROR_CHARS = 300
MAX_QUOTED_CHARS = 60  # the part of an invalid value that an error message quotes


def one_line(error: object) -> str:
    """Returns the text of an error as one line of at most `MAX_ERROR_CHARS` characters."""
    return " ".join(str(error).split())[:MAX_ERROR_CHARS]


def abbreviated(value: object) -> str:
    """Returns the representation of an invalid value, cut to `MAX_QUOTED_CHARS` characters."""
    return repr(value)[:MAX_QUOTED_CHARS]


def address(text: Any, name: str) -> Address:
    """Returns the host and the port of an address `host:port`. Raises `ConfigError`."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not (colon and host and port.isdecimal() and 0 <= int(port) <= MAX_PORT):
        raise ConfigError(f"{name}: expected host:port, got {abbreviated(text)}")
    return host, int(port)


def section(data: Mapping[str, Any], path: str) -> Mapping[str, Any]:
    """Returns the object at a dotted path; empty if there is none. Raises `ConfigError` for another type."""
    value: Any = data
    for step in path.split("."):
        value = value.get(step)
        if value is None:
            return {}
        if not isinstance(value, dict):
            raise ConfigError(f"{path}: expected an object, got {abbreviated(value)}")
    found: Mapping[str, Any] = value
    return found


def positive(data: Mapping[str, Any], path: str, default: float, lowest: float = 0.0) -> float:
    """Returns the number at a dotted path, or the default if there is none.

    Args:
        data: The configuration.
        path: The names of the objects and of the value, separated by dots.
        default: Returned if there is no value.
        lowest: The lowest valid number; if it is 0, the number must be above 0.

    Raises:
        ConfigError: If the value is not a number, or out of bounds.
    """
    parent, _, name = path.rpartition(".")
    value = section(data, parent).get(name)
    if value is None:
        return default
    is_number = not isinstance(value, bool) and isinstance(value, int | float)
    if not (is_number and 0 < value <= MAX_NUMBER and value >= lowest):
        wanted = f"of {lowest:g} or more" if lowest else "above 0"
        raise ConfigError(f"{path}: expected a number {wanted}, got {abbreviated(value)}")
    return float(value)


def text(data: Mapping[str, Any], name: str, default: str) -> str:
    """Returns the non-empty text of a name, or the default if there is none. Raises `ConfigError`."""
    value = data.get(name)
    if value is None:
        return default
    if not (isinstance(value, str) and value):
        raise ConfigError(f"{name}: expected a text, got {abbreviated(value)}")
    return value
