"""Errors of the hierarchy, with what was wrong, where it was found and the value that was found there."""

from paddlequay.errors import PaddlequayError

MAX_SHOWN_CHARS = 60


class HierarchyError(PaddlequayError, ValueError):
    """A value that the hierarchy cannot use; its message is one line.

    Args:
        what: What is wrong, or what was expected.
        where: The item or field that holds the value; empty where the message needs none.
        value: The value that was found; None where the message shows none.
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
    """A fill path that cannot be read or whose signature does not hold, or an unusable signing key."""


class TopologyError(HierarchyError):
    """A topology, or a change to one, that cannot be used."""


class RequestFieldError(HierarchyError):
    """A field of a fill request that cannot be used."""
