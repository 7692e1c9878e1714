"""A simulation of a zone of routers with live channels, and of the tier that they fill, in virtual time.

Leases and channels are the production code; each router has its own clock. Messages are lost, delayed or
blocked; processes stop, resume and die. Only the world knows the true time. It measures for how long more
than one router may fill a bundle, and for how long no router may.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

from paddlequay.cluster.channels import Channels
from paddlequay.cluster.leases import Leases
from paddlequay.cluster.messages import PeerMessage, Prepare
from paddlequay.cluster.prefetch import Prefetch
from paddlequay.cluster.settings import ChannelRule
from paddlequay.cluster.types import Action, ClusterBounds, Fleet, LogEvent, Peer, SendMessage
from paddlequay.hierarchy.fencing_tokens import FencingTokens

BOUNDS = ClusterBounds()
STEP_S = 0.01  # of true time; measurements are accurate to two steps
PART_INTERVAL_S = 0.4  # between two parts of a channel
SLOW_LINK_DELAY_S = 1.0
ACCEPTORS = (0, 1, 2)
CACHE = 99  # digest of the one cache that all parts are filled into


@dataclass(slots=True)
class Process:
    """One process of a router; `clock_rate` is in seconds of its clock per true second."""

    leases: Leases
    channels: Channels
    clock: float
    clock_rate: float
    stopped: bool = False
    dead: bool = False

    @property
    def is_running(self) -> bool:
        """Whether the process is neither stopped nor dead."""
        return not (self.stopped or self.dead)


@dataclass(slots=True)
class Measurement:
    """The measurements of one bundle, in seconds of true time."""

    max_owners: int = 0
    overlap_s: float = 0.0  # the longest time with more than one owner
    gap_s: float = 0.0  # the longest time without an owner, after the first
    overlap_since: float | None = None
    gap_since: float | None = None
    was_owned: bool = False

    def record(self, owners: int, now: float) -> None:
        """Records how many routers could fill the bundle at `now`."""
        self.max_owners = max(self.max_owners, owners)
        self.was_owned |= owners > 0
        self.overlap_since = condition_since(self.overlap_since, owners > 1, now)
        self.gap_since = condition_since(self.gap_since, owners == 0 and self.was_owned, now)
        if self.overlap_since is not None:
            self.overlap_s = max(self.overlap_s, now - self.overlap_since + STEP_S)
        if self.gap_since is not None:
            self.gap_s = max(self.gap_s, now - self.gap_since + STEP_S)


def condition_since(since: float | None, holds: bool, now: float) -> float | None:
    """Returns the time since which a condition has held without interruption, None if it does not hold."""
    if not holds:
        return None
    return now if since is None else since


@dataclass(slots=True)
class Fill:
    """A prefetch that reached the tier; `accepted` is False if the tier has seen a later term."""

    at: float
    router: Peer
    prefetch: Prefetch
    accepted: bool


class ChannelWorld:
    """The routers, the links between them, and the cache tier."""

    def __init__(
        self,
        seed: int,
        size: int = 5,
        names: tuple[str, ...] = ("live",),
        loss_ratio: float = 0.0,
        delay_s: tuple[float, float] = (0.001, 0.05),
        rule: ChannelRule | None = None,
    ) -> None:
        """Creates a zone in which clients read all channels at all routers.

        Args:
            seed: The seed of all random draws.
            size: The number of routers.
            names: The names of the live channels.
            loss_ratio: The share of messages that are lost.
            delay_s: The range of a message's delay, in seconds.
            rule: The settings of channels; None means class `video` in one bundle.
        """
        self.rng = random.Random(seed)
        self.rule = rule or ChannelRule(("video",), bundles=1)
        self.names = names
        self.loss_ratio = loss_ratio
        self.delay_s = delay_s
        self.time = 0.0
        self.blocked_links: set[tuple[Peer, Peer]] = set()
        self.slow_links: set[tuple[Peer, Peer]] = set()
        self.pending: list[tuple[float, Callable[[], None]]] = []
        self.tier = FencingTokens()
        self.fills: list[Fill] = []
        self.elections: list[tuple[float, Peer]] = []  # when an election began, and which router began it
        self.readers = set(range(size))
        self.before_report: Callable[[Peer], None] = (
            lambda router: None
        )  # called between a fill and its report
        self.measurements = [Measurement() for _ in range(self.rule.bundles)]
        self.processes = [self.make_process(router, size) for router in range(size)]

    def make_process(self, router: Peer, size: int) -> Process:
        """Creates the process of a router, with its own clock."""
        clock = self.rng.uniform(0, 1000)
        rate = self.rng.choice((0.95, 1.05, self.rng.uniform(0.95, 1.05)))
        fleet = Fleet(router, size, ACCEPTORS, "here")
        leases = Leases(fleet, BOUNDS, random.Random(self.rng.getrandbits(64)), clock)
        rng = random.Random(self.rng.getrandbits(64))
        channels = Channels(fleet, BOUNDS, self.rule, leases, rng, clock)
        return Process(leases, channels, clock, rate)

    def call_later(self, delay_s: float, call: Callable[[], None]) -> None:
        """Schedules a call after a delay in true seconds."""
        self.pending.append((self.time + delay_s, call))

    def apply(self, router: Peer, actions: list[Action]) -> None:
        """Executes the actions that a router's leases or channels returned."""
        process = self.processes[router]
        queue = list(actions)
        while queue:
            action = queue.pop(0)
            if isinstance(action, SendMessage):
                self.send_message(router, action)
            elif not isinstance(action, LogEvent):
                queue += process.channels.handle_event(action, process.clock)

    def send_message(self, router: Peer, action: SendMessage) -> None:
        """Sends a message to its receivers; records an election when its first Prepare is sent."""
        first_acceptor = next(peer for peer in ACCEPTORS if peer != router)
        if isinstance(action.message, Prepare) and action.to == first_acceptor:
            self.elections.append((self.time, router))
        receivers = [action.to] if action.to is not None else range(len(self.processes))
        counter = self.processes[router].leases.highest_counter
        for receiver in receivers:
            self.send(router, receiver, action.message, counter)

    def send(self, sender: Peer, receiver: Peer, message: PeerMessage, counter: int) -> None:
        """Sends a message over a link, on which it may be lost, and is delayed otherwise."""
        if (sender, receiver) in self.blocked_links or receiver == sender:
            return
        if self.rng.random() < self.loss_ratio:
            return
        is_slow = (sender, receiver) in self.slow_links
        delay_s = SLOW_LINK_DELAY_S if is_slow else self.rng.uniform(*self.delay_s)
        self.call_later(delay_s, lambda: self.deliver(sender, receiver, message, counter))

    def deliver(self, sender: Peer, receiver: Peer, message: PeerMessage, counter: int) -> None:
        """Delivers a message to its receiver, as soon as the receiver is not stopped."""
        process = self.processes[receiver]
        if process.stopped:
            self.call_later(STEP_S, lambda: self.deliver(sender, receiver, message, counter))
            return
        if process.dead or (sender, receiver) in self.blocked_links:
            return
        process.leases.observe_counter(counter)
        is_for_leases = isinstance(message, process.leases.HANDLED_MESSAGES)
        part = process.leases if is_for_leases else process.channels
        self.apply(receiver, part.handle_message(sender, 0, message, process.clock))

    def read(self, router: Peer, name: str, part: int) -> None:
        """Handles a client's read of a part at a router; due prefetches are written shortly after."""
        process = self.processes[router]
        if not process.is_running or router not in self.readers:
            return
        for prefetch in process.channels.record_read(name, "video", part, process.clock):
            self.write_later(router, prefetch, self.rng.uniform(0, 0.03))

    def write_later(self, router: Peer, prefetch: Prefetch, delay_s: float) -> None:
        """Has a router write a prefetch after a delay."""
        self.call_later(delay_s, lambda: self.write(router, prefetch))

    def write(self, router: Peer, prefetch: Prefetch) -> None:
        """Has a router write a prefetch, once it is not stopped, if it still may."""
        process = self.processes[router]
        if process.stopped:
            self.write_later(router, prefetch, STEP_S)
            return
        if process.dead:
            return
        if process.channels.writable_term(prefetch, process.clock) is None:
            process.channels.prefetch_failed(prefetch, process.clock)
            return
        self.call_later(self.rng.uniform(0.005, 0.05), lambda: self.arrive(router, prefetch))

    def arrive(self, router: Peer, prefetch: Prefetch) -> None:
        """Fills a prefetch into the tier, which rejects a superseded term, and has the router report it."""
        accepted = self.tier.accepts(prefetch.channel, prefetch.term, self.time)
        self.fills.append(Fill(self.time, router, prefetch, accepted))
        if accepted:
            self.before_report(router)
            self.report(router, prefetch)

    def report(self, router: Peer, prefetch: Prefetch) -> None:
        """Has a router report a filled part, once it is not stopped."""
        process = self.processes[router]
        if process.stopped:
            self.call_later(STEP_S, lambda: self.report(router, prefetch))
        elif not process.dead:
            self.apply(router, process.channels.prefetch_succeeded(prefetch, CACHE, process.clock))

    def run(self, seconds: float, is_done: Callable[[], bool] = lambda: False) -> bool:
        """Advances true time by `seconds`; returns True as soon as `is_done` does."""
        for _ in range(round(seconds / STEP_S)):
            if is_done():
                return True
            self.step()
        return is_done()

    def step(self) -> None:
        """Advances true time by one step, in which reads, due calls, ticks and the measurement happen."""
        before = self.time
        self.time += STEP_S
        if int(before / PART_INTERVAL_S) != int(self.time / PART_INTERVAL_S):
            self.schedule_reads(int(self.time / PART_INTERVAL_S))
        due = [event for event in self.pending if event[0] <= self.time]
        self.pending = [event for event in self.pending if event[0] > self.time]
        for process in self.processes:
            process.clock += STEP_S * process.clock_rate
        for _, call in sorted(due, key=lambda event: event[0]):
            call()
        for router, process in enumerate(self.processes):
            if process.is_running:
                self.tick(router, process)
        for number, measurement in enumerate(self.measurements):
            measurement.record(len(self.owners(number)), self.time)

    def schedule_reads(self, part: int) -> None:
        """Schedules a read of a new part of each channel at each router."""
        for name in self.names:
            for router in range(len(self.processes)):
                self.schedule_read(router, name, part)

    def schedule_read(self, router: Peer, name: str, part: int) -> None:
        """Schedules a read of a part at a router within half a part interval."""
        delay_s = self.rng.uniform(0, PART_INTERVAL_S / 2)
        self.call_later(delay_s, lambda: self.read(router, name, part))

    def tick(self, router: Peer, process: Process) -> None:
        """Ticks the leases and the channels of a router if they are due."""
        for part in (process.leases, process.channels):
            if part.due() <= process.clock:
                self.apply(router, part.tick(process.clock))

    def owners(self, number: int = 0) -> list[Peer]:
        """Returns the routers that may fill a bundle at this instant."""
        owners = []
        for router, process in enumerate(self.processes):
            bundles = process.channels.bundles
            term = bundles.active_term(bundles.all[number], process.clock)
            if process.is_running and term is not None:
                owners.append(router)
        return owners

    def settle(self) -> Peer:
        """Runs until the first bundle has one owner with followers, which can hand it over with an overlap.

        Resets the measurements, and returns the owner.
        """
        assert self.run(8.0, lambda: len(self.owners()) == 1)
        owner = self.owners()[0]
        self.run(2.5)
        assert self.owners() == [owner]
        self.measurements = [Measurement(was_owned=True) for _ in self.measurements]
        return owner

    def has_moved_from(self, owner: Peer) -> bool:
        """Returns whether the first bundle is owned by another router than `owner`."""
        return bool(self.owners()) and owner not in self.owners()

    def isolate(self, router: Peer) -> None:
        """Blocks all links between a router and the others."""
        for other in range(len(self.processes)):
            if other != router:
                self.blocked_links |= {(router, other), (other, router)}
