"""What the fields of each message may hold on the wire, derived from the annotations of its dataclass."""

from dataclasses import MISSING, dataclass, fields
from typing import Any, get_args, get_type_hints

from paddlequay.cluster.messages import MAX_FIELD_VALUE, MAX_TEXT_BYTES, IntRange, PeerMessage, PeerRange


@dataclass(frozen=True, slots=True)
class FieldFormat:
    """A field: whole numbers in a range, or a text or bytes up to a length in bytes."""

    type: type
    minimum: int
    maximum: int

    def accepts(self, value: object) -> bool:
        """Returns whether a field may hold a value; a bool is no number."""
        if type(value) is not self.type:
            return False
        if isinstance(value, int):
            return self.minimum <= value <= self.maximum
        encoded = value.encode() if isinstance(value, str) else value
        return len(encoded) <= self.maximum  # type: ignore[arg-type]


@dataclass(frozen=True, slots=True)
class MessageFormat:
    """A kind of message."""

    message_type: type[PeerMessage]
    names: tuple[str, ...]
    fields: tuple[FieldFormat, ...]
    required_count: int  # fields without a default, which come first


def field_format(annotation: Any, fleet_size: int) -> FieldFormat | None:
    """Returns what a field with this annotation may hold; None for an annotation without a format."""
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
    """Returns the format of a message type; raises `TypeError` for a field without a format."""
    hints = get_type_hints(message_type, include_extras=True)
    declared = fields(message_type)  # type: ignore[arg-type]
    names = tuple(field.name for field in declared)
    formats = []
    for name in names:
        found = field_format(hints[name], fleet_size)
        if found is None:
            raise TypeError(f"{message_type.__name__}.{name}: {hints[name]} has no format on the wire")
        formats.append(found)
    required_count = sum(field.default is MISSING for field in declared)
    return MessageFormat(message_type, names, tuple(formats), required_count)
