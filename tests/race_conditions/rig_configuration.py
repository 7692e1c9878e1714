"""A whole configuration, and ways to change and read it."""

import copy
import json
import math
from pathlib import Path
from typing import Any

from harness import SETTINGS

from paddlequay.config.loader import Config, read_config

CLASSES: list[dict[str, Any]] = [
    {"name": "hold", "aim": 0.3, "deadline": 1, "idempotency": "idempotency_key", "window": 0.3},
    {"name": "video", "aim": 0.6, "deadline": 3.0, "idempotency": "read_like", "window": 5.0},
    {"name": "charge", "aim": 0.7, "deadline": 3, "idempotency": "non_idempotent", "window": 5},
]
CLASSES[0] |= {"dedupScope": "zone", "worth": 1.0, "aimStretch": 2.0}
CLASSES[1] |= {"dedupScope": "all", "worth": 2.0, "aimStretch": 2.0, "lateWorth": 0.15, "streaming": False}
FULL: dict[str, Any] = copy.deepcopy(SETTINGS) | {
    "classes": CLASSES,
    "me": 0,
    "weights": "off",
    "discovery": "automatic",
    "domainType": "edge",
}
FULL["limits"] |= {"parallelTries": True, "peers": True, "maxOpen": 20000}
FULL["rules"] |= {"askWithin": 1.0, "stopSendingWithin": 0.5}
FULL["extra"] |= {
    "classFresh": [0.0, 8.0, 0.0],
    "staleFor": [0.0, 30.0, 0.0],
    "goesThrough": [True, False, True],
    "countByZone": [0, 1],
    "inletKbPerS": [0.0, 8000.0],
    "oneFlowKbPerS": 5700.0,
    "parentStartsAt": 0.1,
    "parentCold": 16.0,
    "parentBreaksAt": 2.0,
    "purgeSlack": 0.3,
}
WHOLE: dict[str, Any] = {
    "name": "n0",
    "listen": "127.0.0.1:6565",
    "console": "127.0.0.1:6566",
    "seed": "2a",
    "known": {"no": 0, "items": []},
    "limits": {"cores": 1.0, "sockets": 256, "memory_mb": 192},
    "bulletin": "127.0.0.1:8500",
    "peers": ["127.0.0.1:7946"],
    "peer_listen": "127.0.0.1:7946",
    "peers_all": "127.0.0.1:7947",
    "settings": FULL,
}
SPOILT: dict[str, Any] = {
    "null": None,
    "a truth": True,
    "below zero": -1,
    "a fraction below zero": -0.5,
    "zero": 0,
    "next to nothing": 1e-9,
    "huge": 10**400,
    "no number": math.nan,
    "without end": math.inf,
    "an empty text": "",
    "a text of lines": "a\nb" * 200,
    "an empty list": [],
    "a list of nothing": [None],
    "an empty object": {},
    "an object": {"x": 1},
}


def changed(path: tuple[Any, ...], value: Any = None, drop: bool = False) -> dict[str, Any]:
    """The whole configuration with another value at a path, or none."""
    made = copy.deepcopy(WHOLE)
    where: Any = made
    for step in path[:-1]:
        where = where[step]
    if drop:
        del where[path[-1]]
    else:
        where[path[-1]] = value
    return made


def read(folder: Path, data: Any) -> Config:
    file = folder / "config.json"
    file.write_text(data if isinstance(data, str) else json.dumps(data))
    return read_config({"ROUTER_CONFIG": str(file)}, peers=True)
