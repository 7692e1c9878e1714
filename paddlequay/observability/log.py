"""Log lines as key=value pairs on standard error."""

import logging
import sys
import time

VALUE_MOST = 4000  # characters of one value; a trace stands at its end


class KeyValueFormatter(logging.Formatter):
    """`ts=... level=... part=... event=...` and then the record's own fields."""

    def format(self, record: logging.LogRecord) -> str:
        """One record as a line."""
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
    """A value as one word, in quotes where it would not be one; of a long one, its two ends.

    What strangers send may stand in it: no line ends early by it, and none is longer than that.
    """
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if len(text) > VALUE_MOST:
        text = f"{text[: VALUE_MOST // 2]} ... {text[-VALUE_MOST // 2 :]}"
    if text and text.isprintable() and not any(c in text for c in ' "=\\'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + "".join(c if c.isprintable() else ascii(c)[1:-1] for c in escaped) + '"'


def set_up(level: int = logging.INFO) -> None:
    """One handler for the whole program."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)


def event(logger: logging.Logger, level: int, name: str, **fields: object) -> None:
    """Log `name` with its fields."""
    logger.log(level, name, extra={"fields": fields})
