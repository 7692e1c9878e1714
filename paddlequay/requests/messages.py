"""The terms in which a front, the exchange and the caches' side speak of requests: in no protocol's.

Records and protocols alone; who owns and changes them is `exchange.py`.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from paddlequay.routing.interface import Fetch, Member, Note, Outcome

Buffer = bytes | bytearray | memoryview


class Verdict(Enum):
    """What a final answer says."""

    SERVED = "served"
    UNCHANGED = "unchanged"  # the client's own copy is the one
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Stamp:
    """Which copy an answer carries: its tag, the Unix second at which the origin gave it out, its group."""

    tag: str
    minted: float
    group: int | None = None


@dataclass(slots=True)
class Ask:
    """A client's request in no protocol's terms; `name` is the object as passed on, `key` its number."""

    id: str
    class_name: str
    ttl: float
    name: str
    key: int
    part: int | None
    group: int | None
    body: Buffer = b""
    known: str | None = None
    retry: bool = False
    dedupe: str | None = None  # by which caches tell repeats of a keyed request; passed on as it is
    tenant: str | None = None  # where the front tells it
    fill: int | None = None  # a fill of a node in the hierarchy: its number,
    extra: Callable[[str], Mapping[str, str]] | None = None  # and what it tells a target beside the order


@dataclass(slots=True)
class Reply:
    """The final answer."""

    verdict: Verdict
    body: Buffer = b""
    retry_in: float | None = None
    stamp: "Stamp | None" = None  # of the copy that was served
    note: Note | None = None  # of the last attempt, where none was served
    source: str = ""  # whose answer was served


@dataclass(slots=True)
class Order:
    """What an attempt tells its target, as it stands at the moment of writing."""

    id: str
    class_name: str
    name: str
    part: int | None
    body: Buffer
    known: str | None
    dedupe: str | None
    budget: float
    source: str | None
    keep: int
    max_age: float | None
    join: bool
    only_held: bool
    renew: bool
    extra: Mapping[str, str]


@dataclass(slots=True)
class End:
    """How an attempt ended."""

    outcome: Outcome
    body: Buffer = b""
    unchanged: bool = False
    note: Note | None = None
    waited: float | None = None
    load: tuple[tuple[str, float], ...] = ()
    silent: bool = False
    stamp: Stamp | None = None
    hint: str = ""


NOTHING: Mapping[str, str] = {}


class Timer(Protocol):
    """A timer that can be taken back."""

    def cancel(self) -> None: ...


class Scheduler(Protocol):
    """The clocks and timers: `monotonic` for durations, `unix` for the times of the rules."""

    def monotonic(self) -> float: ...
    def unix(self) -> float: ...
    def later(self, delay: float, call: Callable[[], None]) -> Timer: ...


class Carrier(Protocol):
    """What has taken charge of an attempt, such as a connection; says whether it was silent since."""

    @property
    def unread(self) -> bool:
        """Whether something has come that was not looked at yet."""
        ...

    def abandon(self, attempt: "Attempt") -> bool: ...


class Caches(Protocol):
    """The side that carries attempts to caches; it names itself or a part of it as their carrier."""

    def start(self, attempt: "Attempt") -> None: ...


class Watch(Protocol):
    """What looks on and may say no: what the fleet has decided together. Each call answers at once.

    Where it is absent the exchange goes its ordinary way.
    """

    def asked(self, item: "Open", left: float) -> float | None:
        """A request is about to be taken in: None, or the seconds for which the client is to stay away."""
        ...

    def writing(self, attempt: "Attempt", left: float) -> Note | None:
        """An attempt is about to be written: None, or the note under which it counts as refused."""
        ...

    def ended(self, attempt: "Attempt", end: "End") -> None:
        """An attempt has ended, written or not."""
        ...

    def over(self, item: "Open") -> None:
        """A request that was taken in has its final answer, or its client has left."""
        ...


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt: waiting to be written, out, or over."""

    owner: "Open"
    number: int
    fetch: Fetch
    began: float
    expires: float
    timer: Timer | None = None
    carrier: Carrier | None = None
    written: float | None = None
    over: bool = False
    once: bool = False  # what may have run is never sent again
    decided: tuple[Member | None, ...] = ()  # target and source as listed when they were chosen

    @property
    def id(self) -> str:
        return self.owner.ask.id


@dataclass(slots=True, eq=False)
class Open:
    """A request that is owed its final answer."""

    serial: str
    ask: Ask
    reply: Callable[[Reply], None]
    taken: float
    deadline: float
    gone: Callable[[], bool] | None = None  # whether its client has left, of which nobody may have told yet
    guard: Timer | None = None
    attempts: list[Attempt] = field(default_factory=list)
    note: Note | None = None
