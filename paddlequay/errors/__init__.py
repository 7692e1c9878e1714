"""The errors of the program, in one small hierarchy.

Each message is one line that says what was wrong, where, and the value that was found.
"""


class PaddlequayError(Exception):
    """The base of all errors that this program raises for its callers to handle."""


class ConfigError(PaddlequayError, ValueError):
    """A configuration, a settings file or an option that cannot be used."""


class SettingsError(PaddlequayError, ValueError):
    """Platform settings that cannot be used, with the path of the field and what was expected there."""


class ProtocolError(PaddlequayError, ValueError):
    """Bytes or a message that do not follow a protocol; nothing after them on that connection can be read."""


class RecordError(PaddlequayError, ValueError):
    """A stored record that is torn, altered, or of another kind or format than the one asked for."""
