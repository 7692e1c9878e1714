"""Parses settings files in protobuf text format, and checks their fields.

Every error is a `ConfigError` that names the file, the line if it can be found, and the field.
"""

import math
from collections.abc import Iterable
from pathlib import Path

from google.protobuf import text_format

from paddlequay.config.values import Address, address
from paddlequay.errors import ConfigError
from paddlequay.hierarchy.topology import NODE_NAME
from paddlequay.schema import paddlequay_pb2 as schema

MAX_FILE_BYTES = 1024 * 1024
MAX_PARSE_ERROR_SIZE = 160  # characters of the parser's message
MAX_SHOWN_NAME_SIZE = 70  # characters of a wrong name


class FieldChecker:
    """Checks the fields of one settings file; a field that is left out has the value 0.

    Args:
        path: The file, for error messages.
        text: Its contents, in which the line of a field is searched.
    """

    def __init__(self, path: Path, text: str) -> None:
        self.path = path
        self.lines = text.split("\n")

    def error(self, field: str, why: str, shown: str = "") -> ConfigError:
        """Returns the error of a field.

        Args:
            field: The dotted path of the field; its last name is searched in the text.
            why: What is wrong.
            shown: The wrong value as it may stand in the text, to tell several lines apart.
        """
        found = self._find_line(field.split(".")[-1].split("[")[0], shown)
        where = "" if found is None else f":{found}"
        return ConfigError(f"{self.path}{where}: {field}: {why}")

    def _find_line(self, name: str, shown: str) -> int | None:
        """Returns the first line that begins with a name and holds the value shown, or the closest match."""
        numbered = list(enumerate(self.lines, 1))
        named = [number for number, line in numbered if line.split("#")[0].strip().startswith(name)]
        exact = [number for number in named if shown and shown in self.lines[number - 1]]
        beside = [number for number, line in numbered if name in line and shown and shown in line]
        return next(iter(exact or beside or named), None)

    def positive(self, value: float, field: str, default: float, highest: float = math.inf) -> float:
        """Returns a finite number above 0 and up to `highest`, or the default if it is left out."""
        if value == 0:
            return default
        if not 0 < value <= highest or math.isinf(value):
            raise self.error(field, f"expected a number above 0, got {value:g}", f"{value:g}")
        return value

    def between(self, value: float, field: str, default: float, lowest: float, highest: float) -> float:
        """Returns a number from `lowest` to `highest`, or the default if it is left out."""
        if value == 0:
            return default
        if not lowest <= value <= highest:  # also true of NaN
            raise self.error(field, f"expected {lowest:g} to {highest:g}, got {value:g}", f"{value:g}")
        return value

    def address(self, value: str, field: str) -> Address:
        """Returns the host and port of a text."""
        try:
            return address(value, field)
        except ConfigError as error:
            raise self.error(field, str(error).split(": ", 1)[-1], value) from None

    def node_name(self, value: str, field: str) -> str:
        """Returns a name of letters, digits, hyphens and underscores."""
        if not NODE_NAME.fullmatch(value):
            why = f"expected 1 to 64 letters, digits, - and _, got {value[:MAX_SHOWN_NAME_SIZE]!r}"
            raise self.error(field, why, value)
        return value

    def unique_names(self, values: Iterable[str], field: str) -> None:
        """Checks that values are names and that none is repeated."""
        seen: set[str] = set()
        for value in values:
            self.node_name(value, field)
            if value in seen:
                raise self.error(field, f"{value!r} stands there twice", value)
            seen.add(value)


def read_text(path: Path, max_bytes: int) -> str:
    """Returns the text of a file of at most `max_bytes` bytes; raises `ConfigError`."""
    try:
        with path.open("rb") as file:
            data = file.read(max_bytes + 1)
        if len(data) > max_bytes:
            raise ConfigError(f"{path}: more than {max_bytes} bytes")
        return data.decode()
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError:
        raise ConfigError(f"{path}: not UTF-8") from None


def parse_settings(path: Path) -> tuple[schema.Settings, FieldChecker]:
    """Returns the message of a settings file, with the checker of its fields; raises `ConfigError`."""
    text = read_text(path, MAX_FILE_BYTES)
    message = schema.Settings()
    try:
        text_format.Parse(text, message)
    except text_format.ParseError as error:
        line = error.GetLine()
        where = f":{line}:{error.GetColumn()}" if line is not None else ""
        why = str(error).split(" : ", 1)[-1].strip().splitlines()[0][:MAX_PARSE_ERROR_SIZE]
        raise ConfigError(f"{path}{where}: {why}") from None
    return message, FieldChecker(path, text)


def parse_role(path: Path, role: str) -> tuple[schema.Settings, FieldChecker]:
    """Returns the message of a settings file of one role, such as `tier`; raises `ConfigError`."""
    message, checker = parse_settings(path)
    if message.WhichOneof("role") != role:
        raise ConfigError(f"{path}: expected {role} {{ ... }}")
    return message, checker
