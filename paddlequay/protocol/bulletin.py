"""The bulletin: numbered lines of JSON in, `after N` out. Knows no socket."""

import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from paddlequay.interface import Member, State

STATES = {"in_service": State.READY, "terminating": State.DRAINING, "terminated": State.GONE}


class MalformedError(ValueError):
    """A line that is neither an event nor a heartbeat."""


@dataclass(frozen=True, slots=True)
class Listed:
    """A member with the address at which it listens."""

    member: Member
    address: tuple[str, int]


@dataclass(frozen=True, slots=True)
class Roster:
    """News of the list."""

    number: int
    full: bool
    listed: tuple[Listed, ...]


@dataclass(frozen=True, slots=True)
class Recall:
    """A purge of an object, or of a whole group; `issued` in Unix seconds."""

    number: int
    issued: float
    key: int | None
    group: int | None


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The number of the last event there is."""

    number: int


News = Roster | Recall | Heartbeat


def after(number: int) -> bytes:
    return f"after {number}\n".encode()


def read_listed(item: Mapping[str, Any]) -> Listed:
    state = STATES[item["lifecycle"]]
    # What has gone needs no address any more.
    at = item.get("hostPort", ":0") if state is State.GONE else item["hostPort"]
    host, _, port = at.rpartition(":")
    started = item.get("startedAtMs") or 0
    weight = item.get("weight")
    return Listed(
        Member(
            name=str(item["instanceId"]),
            zone=item.get("zone"),
            kind=item.get("machineType"),
            cell=item.get("cell"),
            state=state,
            weight=None if weight is None else float(weight),
            started=float(started) / 1000.0,
        ),
        (host, int(port)),
    )


def read_news(item: Any) -> News:
    """One event, or a heartbeat: a number, plain or as an object with nothing else."""
    try:
        if isinstance(item, int):
            return Heartbeat(item)
        number = int(item["no"])
        if item.keys() == {"no"}:
            # The bulletin writes its heartbeat as an object too; read as a broken event, it ended the
            # connection every second.
            return Heartbeat(number)
        if "roster" in item:
            roster = item["roster"]
            listed = tuple(map(read_listed, roster["instances"]))
            return Roster(number, bool(roster.get("reset")) or number == 1, listed)
        recall = item["recall"]
        key, lot = recall.get("item"), recall.get("lot")
        if (key is None) == (lot is None):
            raise MalformedError("a purge names an object or a group")
        return Recall(
            number,
            float(recall["issued"]) / 1000.0,
            None if key is None else int(key, 16),
            None if lot is None else int(lot),
        )
    except MalformedError:
        raise
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise MalformedError(f"{type(error).__name__} {error} in {str(item)[:120]}") from None


class Reader:
    """Takes bytes as they come and gives whole lines' news."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[News]:
        self.buffer += data
        *lines, rest = self.buffer.split(b"\n")
        self.buffer = rest
        if len(rest) > self.most:
            raise MalformedError("a line is longer than allowed")
        for line in lines:
            if not line.strip():
                continue
            try:
                item = json.loads(line)
            except ValueError as error:
                raise MalformedError(str(error)) from None
            yield read_news(item)
