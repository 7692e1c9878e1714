"""What the decisions keep of members, objects and requests: records alone, which decide nothing.

Each field is written by one part of `paddlequay/policy/`, named beside it.
"""

import math
from dataclasses import dataclass, field
from enum import Enum

from paddlequay.routing.slow_start import Bucket
from paddlequay.routing.interface import Member, Repeat, Request, RequestClass, State


class Tier(Enum):
    """Where a member stands between clients and the store of everything."""

    EDGE = 0
    PARENT = 1
    ORIGIN = 2


@dataclass(slots=True)
class Server:
    """What the router knows and believes of one member of its list. Times are seconds of its clock."""

    # members.py
    entry: Member
    tier: Tier
    since: float
    back_at: float | None = None  # believed to have started anew then: the list has not said so yet
    # health.py
    failures: int = 0
    failed_at: float = -math.inf
    skipped: bool = False
    ok_at: float = -math.inf
    trial_at: float = 0.0
    trial: str | None = None
    fits: float | None = None  # transfers at full pace that its way out bears, where that is told
    # limits.py: work out there, and the limit of it, in mean requests
    limit: float = 0.0
    out: float = 0.0
    late: float = 0.0
    heard_at: float = -math.inf
    cut_at: float = -math.inf
    room_at: float = -math.inf
    # cold.py, by whoever sends
    bucket: Bucket = field(default_factory=Bucket)

    @property
    def ready(self) -> bool:
        """False from the moment that the list says otherwise: drains are kept at once."""
        return self.entry.state in (None, State.READY)

    @property
    def started(self) -> float | None:
        """Its last start, as told or as believed."""
        return self.entry.started if self.back_at is None else self.back_at


@dataclass(slots=True)
class Seen:
    """The aging memory of one part of an object: how often it was read, and who holds it (hotness.py)."""

    read_at: float
    reads: float = 0.0
    holders: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class Attempt:
    """One attempt that is out, or was (attempts.py)."""

    target: Server
    source: Server
    sent: float
    fills: bool
    repeat: Repeat | None = None  # what binds further ones while this may have run
    over: bool = False


@dataclass(slots=True)
class Open:
    """A request that is owed its final answer; `work` and `cost` are seconds and mean requests."""

    # router.py, with `settle`
    request: Request
    kind: RequestClass
    deadline: float
    work: float
    cost: float
    luck: float
    seen: Seen
    hot: bool
    streaming: bool = False
    # attempts.py
    attempts: list[Attempt] = field(default_factory=list)
    may_have_run: Attempt | None = None
    # answers.py
    failed: list[str] = field(default_factory=list)
    errors: int = 0
    lost: bool = False
    lacking: bool = False  # no source has it, or none can get at it
    # attempts.py
    poor: bool = False
    # ladder.py
    link_full: bool = False
    held_only: bool = False

    @property
    def cacheable(self) -> bool:
        return not (self.kind.uncacheable or self.request.write)

    def settle(self, number: int) -> Attempt | None:
        """The attempt of that number, over from now on; None if it was, or never began."""
        if number >= len(self.attempts) or self.attempts[number].over:
            return None
        self.attempts[number].over = True
        return self.attempts[number]

    def same_group(self, server: Server) -> bool:
        """Whether the server drops repeats of what may have run already, by the class's word."""
        return self.repeat is None or self.repeat.beside(server.entry)

    @property
    def repeat(self) -> Repeat | None:
        """What binds a further attempt; None while none may have run, and where repeats are free."""
        return None if self.may_have_run is None else self.may_have_run.repeat

    @property
    def waiting(self) -> Attempt | None:
        """The attempt that is out, while nothing of its answer has come."""
        last = self.attempts[-1] if self.attempts and not self.streaming else None
        return None if last is None or last.over else last

    @property
    def unfillable(self) -> bool:
        """What its home holds may still do, but no source is asked again."""
        return self.lacking or self.poor or self.link_full
