"""The base classes of the program's errors.

Each message is one line that says what is wrong, where, and which value was found.
"""


class PaddlequayError(Exception):
    """The base of the errors that this program raises for callers to handle."""


class ConfigError(PaddlequayError, ValueError):
    """A configuration, a settings file or an option is invalid."""


class SettingsError(PaddlequayError, ValueError):
    """Platform settings are invalid; the message gives the path of the field and what was expected."""


class ProtocolError(PaddlequayError, ValueError):
    """Bytes or a message violate a protocol; nothing after them on that connection can be read."""


class RecordError(PaddlequayError, ValueError):
    """A stored record is incomplete or altered, or of another kind or format than the expected one."""
