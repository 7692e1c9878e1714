"""Processes of one router in virtual time, with endpoint watch, membership and the link of a hot restart."""

import asyncio
import contextlib
import tempfile
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

from rig_clients import SETTINGS
from test_interceptor import NoTimer

from paddlequay.config.limits import Limits
from paddlequay.discovery.reports import MembershipLimits, SourceRule
from paddlequay.lifecycle.operator_state import OperatorState
from paddlequay.net.endpoints.endpoint_watch import EndpointWatch
from paddlequay.net.endpoints.event_handover import EventHandover
from paddlequay.net.endpoints.members import MemberSources
from paddlequay.net.upstreams.pool import ConnectionPool
from paddlequay.observability.counters import Counters
from paddlequay.policy import Router
from paddlequay.protocol.endpoint_watch import Endpoint, EndpointList
from paddlequay.protocol.hot_restart import (
    InheritedMembers,
    KnownEvents,
    LinkMessage,
    LinkParser,
    ListChanges,
    NewEvent,
    pack,
)
from paddlequay.protocol.known_events import format_event
from paddlequay.requests.exchange import Exchange
from paddlequay.requests.messages import Timer
from paddlequay.requests.quotas import ProcessQuotas
from paddlequay.routing.interface import Member, MemberState
from paddlequay.schema.discovery import DiscoverySettings

START_S = 1_000_000.0
FIRST_PORT = 1000
NEVER_SILENT_S = 1e9
RULES = (
    SourceRule("list", silent_after=NEVER_SILENT_S),
    SourceRule("dns", silent_after=NEVER_SILENT_S),
)
# Any omission is a mass removal, and no member is held back for flapping.
LIMITS = MembershipLimits(mass_share=0.0, min_mass=1, confirm_after=30.0, max_flaps=100_000)


class VirtualClock:
    """The time of all processes, in Unix seconds."""

    def __init__(self) -> None:
        self.now = START_S

    def monotonic(self) -> float:
        return self.now

    def unix(self) -> float:
        return self.now

    def call_later(self, delay: float, callback: Callable[[], None]) -> Timer:
        return NoTimer()


class ProcessFactory:
    """Makes processes that share a clock."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.clock = VirtualClock()

    def make(
        self,
        known: dict[str, Any],
        rules: tuple[SourceRule, ...] | None = RULES,
        limits: MembershipLimits = LIMITS,
    ) -> "MemberProcess":
        """Returns a process that starts with the known events of a configuration.

        Args:
            known: The known events.
            rules: The sources of the membership; None for a process that applies its list directly.
            limits: The limits of the membership.
        """
        return MemberProcess(self, known, rules, limits)


class MemberProcess:
    """The parts of one process that know members."""

    def __init__(
        self,
        factory: ProcessFactory,
        known: dict[str, Any],
        rules: tuple[SourceRule, ...] | None,
        limits: MembershipLimits,
    ) -> None:
        self.clock = factory.clock
        counters, process_limits = Counters(), Limits()
        quotas = ProcessQuotas(process_limits)
        operator_state = OperatorState(factory.folder / "overrides")
        router = Router(SETTINGS, 1)
        exchange = Exchange(router, operator_state, quotas, process_limits, self.clock, counters)
        pool = ConnectionPool(exchange, quotas, process_limits, counters)
        self.exchange = exchange
        self.watch = EndpointWatch(("127.0.0.1", 1), exchange, pool, process_limits, counters)
        self.sources: MemberSources | None = None
        if rules is not None:
            settings = DiscoverySettings(rules, (), (), None, limits)
            self.sources = MemberSources(settings, self.watch, exchange, pool, counters, "n0")
        self.known = known
        self.watch.start_from(known)
        self.handover = EventHandover(self.watch, lambda: known)

    def tell(self, event: EndpointList) -> None:
        """Delivers the next event of the endpoint list."""
        self.watch.handle(event)

    def tick(self) -> None:
        """Applies the changes that come with time."""
        if self.sources is not None:
            self.sources.tick()

    def states(self) -> dict[str, MemberState | None]:
        """Returns the state of each member as requests see it."""
        return {name: member.state for name, member in self.exchange.members.items()}

    def ready_ports(self) -> set[int]:
        """Returns the ports of the members that get requests."""
        instances = self.watch.pool.instances
        return {
            instances[name].address[1] for name, state in self.states().items() if state is MemberState.READY
        }

    def receive(self, message: LinkMessage) -> None:
        """Handles a message of the other process."""
        match message:
            case KnownEvents():
                self.handover.receive_known(message)
            case InheritedMembers():
                self.handover.receive_members(message)
            case ListChanges():
                self.handover.receive_changes(message)
            case NewEvent():
                self.handover.receive_new(message.event)


class Pipe:
    """One direction of a link: what is sent is packed, parsed and received at once.

    Attributes:
        passes: Returns whether a message comes through.
        sent: The messages that were sent.
    """

    def __init__(self, receiver: MemberProcess, passes: Callable[[LinkMessage], bool] | None = None) -> None:
        self.receiver = receiver
        self.passes = passes or (lambda message: True)
        self.parser = LinkParser(Limits().max_link_line)
        self.sent: list[LinkMessage] = []

    def send(self, message: LinkMessage) -> None:
        for received in self.parser.feed(pack(message)):
            self.sent.append(received)
            if self.passes(received):
                self.receiver.receive(received)


def link(
    older: MemberProcess,
    newer: MemberProcess,
    passes: Callable[[LinkMessage], bool] | None = None,
    exchanges_members: bool = True,
) -> tuple[Pipe, Pipe]:
    """Opens the link between a process and its successor; returns the pipes to the older and to the newer.

    Args:
        older: The predecessor.
        newer: The successor.
        passes: Returns whether a message to the newer one comes through.
        exchanges_members: Whether both are processes of a version that exchanges members.
    """
    to_older, to_newer = Pipe(older), Pipe(newer, passes)
    newer.handover.open(to_older, older.handover.sequence, False, exchanges_members)
    older.handover.open(to_newer, newer.handover.sequence, True, exchanges_members)
    return to_older, to_newer


def unlink(older: MemberProcess, newer: MemberProcess, pipes: tuple[Pipe, Pipe]) -> None:
    """Closes the link."""
    older.handover.close(pipes[1])
    newer.handover.close(pipes[0])


def endpoint(number: int, state: MemberState = MemberState.READY, port: int | None = None) -> Endpoint:
    """Returns the endpoint of the cache with a number."""
    name = f"b{number}"
    if state is MemberState.REMOVED:
        return Endpoint(Member(name=name, state=state), ("", 0))
    member = Member(name, "here", "box", 0, state, 1.0, 0.0)
    return Endpoint(member, ("127.0.0.1", FIRST_PORT + number if port is None else port))


def known_events(*events: EndpointList, **also: Any) -> dict[str, Any]:
    """Returns events as a configuration holds them."""
    return {"no": len(events), "items": [format_event(event) for event in events], **also}


@contextlib.contextmanager
def process_factory() -> Iterator[ProcessFactory]:
    """Makes processes on an event loop that does not run."""
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    with tempfile.TemporaryDirectory() as folder:
        yield ProcessFactory(Path(folder))
    loop.close()
