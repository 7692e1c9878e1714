"""Writes log lines as key=value pairs to standard error."""

import logging
import sys
import time

MAX_VALUE_CHARS = 4000  # a longer value is cut in the middle, so that both ends are kept


class KeyValueFormatter(logging.Formatter):
    """Formats a record as `ts=... level=... part=... event=...`, followed by its fields."""

    def format(self, record: logging.LogRecord) -> str:
        """Returns a record as one line."""
        second = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        pairs = {
            "ts": f"{second}.{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "part": record.name.removeprefix("paddlequay."),
            "event": record.getMessage(),
            **getattr(record, "fields", {}),
        }
        if record.exc_info:
            pairs["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={quoted(value)}" for key, value in pairs.items())


def quoted(value: object) -> str:
    """Returns a value as text without line breaks, quoted unless it is one plain word, and shortened if long.

    The value may contain input from untrusted peers: it must neither break the line nor make it too long.
    """
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if len(text) > MAX_VALUE_CHARS:
        text = f"{text[: MAX_VALUE_CHARS // 2]} ... {text[-MAX_VALUE_CHARS // 2 :]}"
    if text and text.isprintable() and not any(c in text for c in ' "=\\'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + "".join(c if c.isprintable() else ascii(c)[1:-1] for c in escaped) + '"'


def set_up(level: int = logging.INFO) -> None:
    """Installs the program's only handler, which writes to standard error, and sets the log level."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)


def event(logger: logging.Logger, level: int, name: str, **fields: object) -> None:
    """Logs the event `name` with the given fields."""
    logger.log(level, name, extra={"fields": fields})
