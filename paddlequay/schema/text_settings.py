"""Parses settings files in protobuf text format, and checks their fields.

Every error is a `ConfigError` that names the file, the field, and the line if that can be found.
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
MAX_PARSE_ERROR_CHARS = 160
MAX_SHOWN_NAME_CHARS = 70  # in the error message for an invalid name


class FieldChecker:
    """Checks the fields of one settings file; fields that are not set have the value 0.

    Args:
        path: The file, for error messages.
        text: The contents of the file, in which the lines of invalid fields are searched.
    """

    def __init__(self, path: Path, text: str) -> None:
        self.path = path
        self.lines = text.split("\n")

    def error(self, field: str, why: str, value_text: str = "") -> ConfigError:
        """Returns the error to raise for an invalid field.

        Args:
            field: The dotted path of the field; the line is searched by the last name in it.
            why: What is wrong.
            value_text: The invalid value as the file may spell it, to tell lines with the same name apart.
        """
        line_number = self._find_line(field.split(".")[-1].split("[")[0], value_text)
        where = "" if line_number is None else f":{line_number}"
        return ConfigError(f"{self.path}{where}: {field}: {why}")

    def _find_line(self, name: str, value_text: str) -> int | None:
        """Returns the number of the first line with a name and a value, or the closest match."""
        numbered = list(enumerate(self.lines, 1))
        named = [number for number, line in numbered if line.split("#")[0].strip().startswith(name)]
        exact = [number for number in named if value_text and value_text in self.lines[number - 1]]
        containing = [
            number for number, line in numbered if name in line and value_text and value_text in line
        ]
        return next(iter(exact or containing or named), None)

    def positive(self, value: float, field: str, default: float, highest: float = math.inf) -> float:
        """Returns a finite number above 0 and up to `highest`, or the default if the field is not set."""
        if value == 0:
            return default
        if not 0 < value <= highest or math.isinf(value):
            raise self.error(field, f"expected a number above 0, got {value:g}", f"{value:g}")
        return value

    def between(self, value: float, field: str, default: float, lowest: float, highest: float) -> float:
        """Returns a number from `lowest` to `highest`, or the default if the field is not set."""
        if value == 0:
            return default
        if not lowest <= value <= highest:  # also true of NaN
            raise self.error(field, f"expected {lowest:g} to {highest:g}, got {value:g}", f"{value:g}")
        return value

    def address(self, value: str, field: str) -> Address:
        """Returns the host and port in a value of the form `host:port`."""
        try:
            return address(value, field)
        except ConfigError as error:
            raise self.error(field, str(error).split(": ", 1)[-1], value) from None

    def node_name(self, value: str, field: str) -> str:
        """Returns a name after checking that it has only letters, digits, hyphens and underscores."""
        if not NODE_NAME.fullmatch(value):
            why = f"expected 1 to 64 letters, digits, - and _, got {value[:MAX_SHOWN_NAME_CHARS]!r}"
            raise self.error(field, why, value)
        return value

    def unique_names(self, values: Iterable[str], field: str) -> None:
        """Checks that values are names and that none is repeated."""
        seen: set[str] = set()
        for value in values:
            self.node_name(value, field)
            if value in seen:
                raise self.error(field, f"{value!r} is used more than once", value)
            seen.add(value)


def read_text(path: Path, max_bytes: int) -> str:
    """Returns the text of a file; raises `ConfigError` if it is larger than `max_bytes` or no text."""
    try:
        with path.open("rb") as file:
            data = file.read(max_bytes + 1)
        if len(data) > max_bytes:
            raise ConfigError(f"{path}: the file is larger than {max_bytes} bytes")
        return data.decode()
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError:
        raise ConfigError(f"{path}: the file is not UTF-8 text") from None


def parse_settings(path: Path) -> tuple[schema.Settings, FieldChecker]:
    """Returns the message of a settings file, with the checker of its fields; raises `ConfigError`."""
    text = read_text(path, MAX_FILE_BYTES)
    message = schema.Settings()
    try:
        text_format.Parse(text, message)
    except text_format.ParseError as error:
        line = error.GetLine()
        where = f":{line}:{error.GetColumn()}" if line is not None else ""
        why = str(error).split(" : ", 1)[-1].strip().splitlines()[0][:MAX_PARSE_ERROR_CHARS]
        raise ConfigError(f"{path}{where}: {why}") from None
    return message, FieldChecker(path, text)


def parse_role(path: Path, role: str) -> tuple[schema.Settings, FieldChecker]:
    """Returns the message of a settings file of one role, such as `tier`; raises `ConfigError`."""
    message, checker = parse_settings(path)
    if message.WhichOneof("role") != role:
        raise ConfigError(f"{path}: expected {role} {{ ... }}")
    return message, checker
