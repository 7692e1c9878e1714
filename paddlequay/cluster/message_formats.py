"""The wire format of each message type's fields, derived from the annotations of its dataclass."""

from dataclasses import MISSING, dataclass, fields
from typing import Any, get_args, get_type_hints

from paddlequay.cluster.messages import MAX_FIELD_VALUE, MAX_TEXT_BYTES, IntRange, PeerMessage, PeerRange


@dataclass(frozen=True, slots=True)
class FieldFormat:
    """The values of a field: integers in a range, or text or bytes with at most `maximum` bytes."""

    type: type
    minimum: int
    maximum: int

    def accepts(self, value: object) -> bool:
        """Returns whether a value is valid for this field; a bool is not accepted as an integer."""
        if type(value) is not self.type:
            return False
        if isinstance(value, int):
            return self.minimum <= value <= self.maximum
        encoded = value.encode() if isinstance(value, str) else value
        return len(encoded) <= self.maximum  # type: ignore[arg-type]


@dataclass(frozen=True, slots=True)
class MessageFormat:
    """The wire format of one message type."""

    message_type: type[PeerMessage]
    field_names: tuple[str, ...]
    fields: tuple[FieldFormat, ...]
    required_count: int  # number of fields without a default, which come first


def field_format(annotation: Any, fleet_size: int) -> FieldFormat | None:
    """Returns the format of a field with this annotation; None if the annotation has no wire format."""
    if annotation in (str, bytes):
        return FieldFormat(annotation, 0, MAX_TEXT_BYTES)
    if annotation is int:
        return FieldFormat(int, 0, MAX_FIELD_VALUE)
    match get_args(annotation):
        case (type() as base, IntRange(minimum=minimum, maximum=maximum)) if base is int:
            return FieldFormat(int, minimum, maximum)
        case (type() as base, PeerRange()) if base is int:
            return FieldFormat(int, 0, fleet_size - 1)
    return None


def message_format(message_type: type[PeerMessage], fleet_size: int) -> MessageFormat:
    """Returns the format of a message type. Raises `TypeError` for a field without a wire format."""
    hints = get_type_hints(message_type, include_extras=True)
    declared_fields = fields(message_type)  # type: ignore[arg-type]
    field_names = tuple(field.name for field in declared_fields)
    formats = []
    for name in field_names:
        format_ = field_format(hints[name], fleet_size)
        if format_ is None:
            raise TypeError(
                f"{message_type.__name__}.{name}: the annotation {hints[name]} has no wire format"
            )
        formats.append(format_)
    required_count = sum(field.default is MISSING for field in declared_fields)
    return MessageFormat(message_type, field_names, tuple(formats), required_count)
