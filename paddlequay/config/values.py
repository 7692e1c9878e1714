"""Single values of a configuration, each read with its bounds; errors name the place and the value."""

from collections.abc import Mapping
from typing import Any

from paddlequay.errors import ConfigError

Address = tuple[str, int]

MAX_FIGURE = 1e9  # of any figure: what is beyond is a mistake, and would end as an infinity in some mean


def one_line(why: object) -> str:
    """An error of another part, as one line of at most 300 characters."""
    return " ".join(str(why).split())[:300]


def abbreviated(value: object) -> str:
    """A value that cannot be used, in at most 60 characters."""
    return repr(value)[:60]


def address(text: Any, name: str) -> Address:
    """`host:port` as a pair; raises `ConfigError`."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not (colon and host and port.isdecimal() and 0 <= int(port) < 65536):
        raise ConfigError(f"{name}: expected host:port, got {abbreviated(text)}")
    return host, int(port)


def section(data: Mapping[str, Any], path: str) -> Mapping[str, Any]:
    """The object at a dotted path; empty where there is none. Raises `ConfigError` for another type."""
    where: Any = data
    for step in path.split("."):
        where = where.get(step)
        if where is None:
            return {}
        if not isinstance(where, dict):
            raise ConfigError(f"{path}: expected an object, got {abbreviated(where)}")
    found: Mapping[str, Any] = where
    return found


def positive(data: Mapping[str, Any], path: str, default: float, lowest: float = 0.0) -> float:
    """A figure above 0, at least `lowest` and at most `MAX_FIGURE`, at a dotted path; or the default.

    Raises `ConfigError`.
    """
    parent, _, name = path.rpartition(".")
    value = section(data, parent).get(name)
    if value is None:
        return default
    number = not isinstance(value, bool) and isinstance(value, int | float)
    if not (number and 0 < value <= MAX_FIGURE and value >= lowest):
        wanted = f"of {lowest:g} or more" if lowest else "above 0"
        raise ConfigError(f"{path}: expected a number {wanted}, got {abbreviated(value)}")
    return float(value)


def text(data: Mapping[str, Any], name: str, default: str) -> str:
    """A text that is not empty, or the default; raises `ConfigError`."""
    value = data.get(name)
    if value is None:
        return default
    if not (isinstance(value, str) and value):
        raise ConfigError(f"{name}: expected a text, got {abbreviated(value)}")
    return value
