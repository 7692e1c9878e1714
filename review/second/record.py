"""The record of a case: one line for everything that was sent, answered or run."""

import time
from pathlib import Path


class Record:
    """Writes `record.txt` of a case. Times are Unix seconds."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")

    def say(self, kind: str, **fields: object) -> None:
        """Writes one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{time.time():.4f} {kind} {text}\n")
        self.file.flush()
