"""Formats the log records of the sub-commands as key=value lines, with structlog."""

import logging
import sys
from typing import Any

import structlog
from structlog.typing import EventDict


def add_fields(_: Any, __: str, event: EventDict) -> EventDict:
    """Adds the module name and the fields that `log.event` put into a record, and shortens numbers."""
    record: logging.LogRecord = event["_record"]
    event["part"] = record.name.removeprefix("paddlequay.")
    event.update(getattr(record, "fields", {}))
    for name, value in event.items():
        if isinstance(value, float):
            event[name] = f"{value:.6g}"
    return event


def set_up(level: int = logging.INFO) -> None:
    """Installs the only log handler of the program, which writes to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            processors=[
                structlog.stdlib.add_log_level,
                add_fields,
                structlog.processors.TimeStamper(fmt="iso", utc=True, key="ts"),
                structlog.stdlib.ProcessorFormatter.remove_processors_meta,
                structlog.processors.format_exc_info,
                structlog.processors.LogfmtRenderer(
                    key_order=["ts", "level", "part", "event"], bool_as_flag=False
                ),
            ]
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
