"""Errors of the hierarchy: what is wrong, in which item or field, and the value found there."""

from paddlequay.errors import PaddlequayError

MAX_SHOWN_CHARS = 60


class HierarchyError(PaddlequayError, ValueError):
    """A value that the hierarchy cannot use; its message is one line.

    Args:
        what: What is wrong, or what was expected.
        where: The item or field that holds the value; empty to leave it out of the message.
        value: The value that was found; None to leave it out of the message.
    """

    def __init__(self, what: str, where: str = "", value: object = None) -> None:
        self.what = what
        self.where = where
        self.value = value
        message = f"{where}: {what}" if where else what
        if value is not None:
            message += f", got {str(value)[:MAX_SHOWN_CHARS]!r}"
        super().__init__(message)


class FillPathError(HierarchyError):
    """A fill path that is malformed or has an invalid signature, or a signing key that cannot be used."""


class TopologyError(HierarchyError):
    """A topology, or a change to one, that cannot be used."""


class RequestFieldError(HierarchyError):
    """A field of a fill request that cannot be used."""
