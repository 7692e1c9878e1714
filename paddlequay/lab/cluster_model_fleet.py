"""A simulated fleet of production cluster nodes in virtual time.

Each router is a `cluster.node.ClusterNode` with its wire and outbox. The simulation calls it as
`net/cluster/peer_transport.py` does: for one datagram at a time, and for one timer. Datagrams are bytes. Each
machine's clock has its own rate (within the drift) and offset, and continues while its process is stalled.
All random draws come from one seed.
"""

import random
import time
from collections import Counter
from collections.abc import Callable, Sequence

from paddlequay.cluster.node import ClusterEvent, ClusterNode
from paddlequay.cluster.outbox import Datagram
from paddlequay.cluster.settings import ClusterSettings
from paddlequay.cluster.types import NEVER, Fleet, Peer
from paddlequay.cluster.wire import VERSION, Codec, Header, RejectReason
from paddlequay.lab.cluster_model_network import LinkModel, SimulatedNetwork
from paddlequay.lab.cluster_model_router import CallScheduler, History, SimulatedRouter

START_UNIX_S = 1_700_000_000.0  # Unix time at true time 0
MAX_UNIX_OFFSET_S = 0.2  # largest error of a machine's Unix time at its first start
MAX_CLOCK_OFFSET_S = 1e6
MIN_TIMER_S = 0.001  # shortest time between two calls of the timer, as in net/cluster/peer_transport.py
READ_S = 0.0002  # time that a process takes to read a datagram from its socket buffer
WAKE_SPREAD_S = 0.001  # longest time from the end of a stall to the next call of the process
MAX_BUFFERED_DATAGRAMS = 256  # a kernel buffer of 208 KiB, at about 800 bytes a datagram
ZONES = ("east", "west", "south")

Observer = Callable[[SimulatedRouter, Sequence[ClusterEvent]], None]


class FleetSimulation:
    """A fleet of `size` routers that start within a second. Observers receive the events of each call.

    Args:
        seed: the seed of all random draws.
        settings: the cluster's settings, which all routers share.
        size: the number of routers.
        links: the delay, loss and duplication on links.
        max_request_s: the longest time that a request takes.
        configure: changes a machine before its first process starts.
        node_class: the class of the routers' nodes.
        max_clock_drift: the largest deviation of a clock's rate from 1; None: as the settings allow.
    """

    def __init__(
        self,
        seed: int,
        settings: ClusterSettings,
        size: int,
        links: LinkModel | None = None,
        max_request_s: float = 0.5,
        configure: Callable[[SimulatedRouter], None] = lambda router: None,
        node_class: type[ClusterNode] = ClusterNode,
        max_clock_drift: float | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.settings = settings
        self.size = size
        self.max_request_s = max_request_s
        self._node_class = node_class
        self.scheduler = CallScheduler()
        self.message_counts: Counter[str] = Counter()  # by type, while `counts_messages`
        self.counts_messages = False
        self.rejected: Counter[str] = Counter()
        self.observers: list[Observer] = []
        self.history = History()
        self._foreign_codec = Codec("elsewhere", size)
        self._codec = Codec(settings.name, size)
        drift = settings.bounds.drift_ratio if max_clock_drift is None else max_clock_drift
        self.routers = [self._make_router(number, drift) for number in range(size)]
        self.network = SimulatedNetwork(
            self.scheduler, self.rng, links or LinkModel(), self.routers, self.deliver, self.log_event
        )
        for router in self.routers:
            configure(router)
            self.schedule(self.rng.random(), self.start_process, router, True)

    def _make_router(self, number: Peer, drift: float) -> SimulatedRouter:
        clock_rate = 1 + self.rng.uniform(-drift, drift)
        clock_offset_s = self.rng.uniform(0, MAX_CLOCK_OFFSET_S)
        return SimulatedRouter(number, ZONES[number % len(ZONES)], clock_rate, clock_offset_s)

    @property
    def now(self) -> float:
        """Returns the true time in seconds."""
        return self.scheduler.now

    def schedule(self, when: float, call: Callable[..., None], *arguments: object) -> None:
        """Schedules a call at a true time."""
        self.scheduler.schedule(when, call, *arguments)

    def run(self, until: float) -> None:
        """Runs the simulation until a true time."""
        self.scheduler.run(until)

    def log_event(self, *values: object) -> None:
        """Adds an event at the present time to the history."""
        self.history.add(self.now, values)

    def start_process(self, router: SimulatedRouter, is_first: bool = False) -> None:
        """Starts a new process without any state."""
        router.process_count += 1
        unix_offset_s = self.rng.uniform(-MAX_UNIX_OFFSET_S, MAX_UNIX_OFFSET_S)
        start_unix_s = START_UNIX_S + self.now + unix_offset_s * is_first
        fleet = Fleet(router.number, self.size, self.settings.acceptors, router.zone)
        seed = self.rng.getrandbits(48)
        local_now = router.local_time(self.now)
        router.node = self._node_class(
            self.settings, fleet, start_unix_s, seed, local_now, self.max_request_s, is_first
        )
        router.socket_buffer.clear()
        router.stalled_until = 0.0
        router.next_call_at = NEVER
        self.log_event("start", router.number, router.process_count)
        self.flush(router, ())

    def kill_process(self, router: SimulatedRouter) -> None:
        """Ends a router's process at once."""
        self.log_event("kill", router.number)
        router.node = None
        router.socket_buffer.clear()

    def stall(self, router: SimulatedRouter, seconds: float) -> None:
        """Stalls a process; its clock continues, and its socket still receives datagrams."""
        self.log_event("stop", router.number, seconds)
        router.stalled_until = max(router.stalled_until, self.now + seconds)

    def _schedule_call(self, router: SimulatedRouter, when: float) -> None:
        if when < router.next_call_at:
            router.next_call_at = when
            self.schedule(when, self._call, router, router.process_count, when)

    def _call(self, router: SimulatedRouter, process_count: int, when: float) -> None:
        """Calls the timer or handles a buffered datagram; if both are due, a random one comes first."""
        is_obsolete = router.process_count != process_count or router.next_call_at != when
        if is_obsolete or router.node is None:
            return
        router.next_call_at = NEVER
        ready_at = router.next_run_time(self.now)
        if ready_at > self.now:
            self._schedule_call(router, ready_at + self.rng.random() * WAKE_SPREAD_S)
            return
        events: Sequence[ClusterEvent] = ()
        began_ns = time.process_time_ns()
        local_now = router.local_time(self.now)
        is_due = router.node.due() <= local_now
        if router.socket_buffer and (not is_due or self.rng.random() < 0.5):
            events = self._read(router, router.node, *router.socket_buffer.popleft())
        elif is_due:
            events = router.node.tick(local_now)
        router.cpu_ns += time.process_time_ns() - began_ns
        self.flush(router, events)

    def deliver(self, router: SimulatedRouter, data: bytes, sender: Peer) -> None:
        """Delivers a datagram to a router's process, or buffers it while the process does not run."""
        if router.node is None:
            self.network.lost["killed"] += 1
        elif router.socket_buffer or router.next_run_time(self.now) > self.now:
            self._buffer(router, data, sender)
        else:
            began_ns = time.process_time_ns()
            events = self._read(router, router.node, data, sender)
            router.cpu_ns += time.process_time_ns() - began_ns
            self.flush(router, events)

    def _buffer(self, router: SimulatedRouter, data: bytes, sender: Peer) -> None:
        if len(router.socket_buffer) >= MAX_BUFFERED_DATAGRAMS:
            self.network.lost["full"] += 1
            return
        router.socket_buffer.append((data, sender))
        self._schedule_call(router, max(router.next_run_time(self.now), self.now))

    def _read(
        self, router: SimulatedRouter, node: ClusterNode, data: bytes, sender: Peer
    ) -> Sequence[ClusterEvent]:
        received = node.wire.read(data, sender)
        if isinstance(received, RejectReason):
            self.rejected[received.value] += 1
            return ()
        header = received.header
        return node.handle_datagram(header.sender, header, received.messages, router.local_time(self.now))

    def flush(self, router: SimulatedRouter, events: Sequence[ClusterEvent]) -> None:
        """Reports the events of a call, sends the outbox's datagrams, and schedules the next call."""
        node = router.node
        assert node is not None
        for event in events:
            self.log_event(router.number, event)
        for observe in self.observers:
            observe(router, events)
        began_ns = time.process_time_ns()
        datagrams = node.outbox.take(router.local_time(self.now))
        due = min(node.due(), node.outbox.due())
        router.cpu_ns += time.process_time_ns() - began_ns
        for datagram in datagrams:
            self._send(router, datagram)
        if due != NEVER:
            self._schedule_call(router, max(self.now + MIN_TIMER_S, router.true_time(due)))
        if router.socket_buffer:
            self._schedule_call(router, self.now + READ_S)

    def _send(self, router: SimulatedRouter, datagram: Datagram) -> None:
        if self.counts_messages:
            self._count_messages(datagram)
        if datagram.to is not None:
            self.network.transmit(router, self.routers[datagram.to], datagram.data)
            return
        for other in self.routers:
            if other is not router:
                self.network.transmit(router, other, datagram.data)

    def _count_messages(self, datagram: Datagram) -> None:
        receiver_count = self.size - 1 if datagram.to is None else 1
        for message in self._codec.read(datagram.data).messages:
            self.message_counts[type(message).__name__] += receiver_count
        self.message_counts["datagrams"] += receiver_count

    def inject_foreign(self, router: SimulatedRouter, per_s: float, until: float) -> None:
        """Delivers datagrams of another cluster to a router, from peers' addresses, until a true time."""
        if self.now >= until:
            return
        sender = self.rng.randrange(self.size)
        header = Header(VERSION, sender, 1 << 56, self.rng.getrandbits(20), 1)
        self.deliver(router, self._foreign_codec.pack(header, ()), sender)
        next_at = self.now + self.rng.expovariate(per_s)
        self.schedule(next_at, self.inject_foreign, router, per_s, until)
