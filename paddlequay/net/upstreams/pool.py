"""The pool of connections to all caches, parents and the origin, grouped by instance."""

import asyncio
from collections.abc import Iterable

from paddlequay.config.limits import Limits
from paddlequay.lifecycle.operator_state import EJECTED_PREFIX
from paddlequay.net.upstreams.connection import UpstreamConnection
from paddlequay.net.upstreams.connection_reader import ConnectionReader
from paddlequay.net.upstreams.instance import UpstreamInstance
from paddlequay.observability.counters import Counters
from paddlequay.policy.failure_detector import LatencyDistribution, MeanLatency
from paddlequay.protocol.endpoint_watch import Endpoint
from paddlequay.requests.exchange import Exchange
from paddlequay.requests.messages import AttemptResult, UpstreamAttempt
from paddlequay.requests.quotas import ProcessQuotas
from paddlequay.routing.interface import MemberState, Outcome

TYPICAL_LATENCY_SAMPLES = 200.0  # weight of the mean latency of all members, in answers
WARM_UP_POLL_S = 0.01


class ConnectionPool:
    """Sends the attempts of the exchange over the connections to all instances.

    Attributes:
        instances: The instances of the listed members, by name.
        removed_instances: The instances no longer listed that still have connections.
        latencies: The distribution of the latencies of recent answers, by class.
        typical_latency: The mean latency of recent answers of all instances.
        tasks: The tasks of the connections.
    """

    def __init__(self, exchange: Exchange, quotas: ProcessQuotas, limits: Limits, counters: Counters) -> None:
        self.exchange = exchange
        self.quotas = quotas
        self.limits = limits
        self.counters = counters
        self.instances: dict[str, UpstreamInstance] = {}
        self.removed_instances: list[UpstreamInstance] = []
        self.latencies = LatencyDistribution(limits.assumed_latency, exchange.router.classes)
        self.typical_latency = MeanLatency(max_samples=TYPICAL_LATENCY_SAMPLES)
        self.tasks: set[asyncio.Task[None]] = set()
        exchange.attempts.upstreams = self
        exchange.operator_state.on_change.append(self.override_changed)

    def now(self) -> float:
        """Returns the time in monotonic seconds."""
        return self.exchange.scheduler.monotonic()

    def spawn(self, connection: UpstreamConnection) -> None:
        """Starts the task that runs a connection until its end."""
        task = asyncio.ensure_future(ConnectionReader(connection).run())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def update_endpoints(self, endpoints: Iterable[Endpoint], full: bool) -> None:
        """Applies a complete endpoint list (`full`) or changes to it.

        Instances are told apart by name and start time, because a cache may have the address of a removed
        one.
        """
        endpoints = tuple(endpoints)
        if full:
            for name in self.instances.keys() - {endpoint.member.name for endpoint in endpoints}:
                self.remove(name)
        for endpoint in endpoints:
            name = endpoint.member.name
            known = self.instances.get(name)
            if endpoint.member.state is MemberState.REMOVED:
                self.remove(name)
            elif known is None:
                self.instances[name] = UpstreamInstance(self, endpoint)
            elif known.is_replaced_by(endpoint):
                self.remove(name, replaced=True)
                self.instances[name] = UpstreamInstance(self, endpoint)

    def remove(self, name: str, replaced: bool = False) -> None:
        """Removes an instance and closes its idle connections; if it was `replaced`, also those in use.

        A replaced instance has ended and can no longer answer; only bytes received before are still read.
        """
        instance = self.instances.pop(name, None)
        if instance is None:
            return
        instance.removed = True
        instance.restarted = replaced
        self.removed_instances.append(instance)
        for connection in instance.connections[:]:
            if connection.is_idle or (replaced and not connection.has_unread):
                connection.stream.close()

    def override_changed(self, name: str) -> None:
        """Closes the idle and unresponsive connections of a cache that operators eject or readmit."""
        if not name.startswith(EJECTED_PREFIX):
            return
        instance = self.instances.get(name.removeprefix(EJECTED_PREFIX))
        if instance is None:
            return
        for connection in instance.connections[:]:
            if connection.is_idle or (connection.unresponsive and not connection.has_unread):
                connection.stream.close()

    def all_instances(self) -> list[UpstreamInstance]:
        """Returns the listed instances, then the removed ones that still have connections."""
        return [*self.instances.values(), *self.removed_instances]

    def connections(self) -> list[UpstreamConnection]:
        """Returns all connections of all instances."""
        return [connection for instance in self.all_instances() for connection in instance.connections]

    async def warm_up(self, names: Iterable[str]) -> None:
        """Opens a connection to each of these members; waits until each is established or has failed."""
        opened = []
        for instance in [self.instances[name] for name in names if name in self.instances]:
            if not instance.connections and self.has_capacity() and (connection := instance.connect()):
                opened.append(connection)
        while any(not each.is_up and not each.stream.closed() for each in opened):
            await asyncio.sleep(WARM_UP_POLL_S)

    def close_excess_idle(self) -> None:
        """Closes idle connections while the quota is exceeded, the longest idle first."""
        connections = self.connections()
        idle = [connection for connection in connections if connection.is_idle]
        idle.sort(key=lambda connection: connection.last_used_at)
        excess = max(0, len(connections) - self.quotas.cache_connections)
        for connection in idle[:excess]:
            connection.stream.close()

    def has_capacity(self) -> bool:
        """Returns whether one more connection may be opened, closing an idle one if needed."""
        return len(self.connections()) < self.quotas.cache_connections or self.close_idle()

    def close_idle(self) -> bool:
        """Closes the connection that has been idle for longest; returns whether there was one."""
        idle = [each for each in self.connections() if each.is_idle and not each.stream.closed()]
        if not idle:
            return False
        min(idle, key=lambda connection: connection.last_used_at).stream.close()
        return True

    def start(self, attempt: UpstreamAttempt) -> None:
        """Sends an attempt to its target; ends it as not sent if the target is not listed."""
        instance = self.instances.get(attempt.fetch.target)
        if instance is None:
            self.exchange.attempts.end(attempt, AttemptResult(Outcome.NOT_SENT))
            return
        instance.start(attempt)

    def close_unresponsive(self) -> None:
        """Closes connections that no longer answer; called at each heartbeat."""
        now = self.now()
        for instance in self.all_instances():
            instance.close_unresponsive(now)

    def sweep(self) -> None:
        """Closes idle connections and forgets removed instances without connections; called periodically."""
        now = self.now()
        self.close_excess_idle()
        for instance in self.all_instances():
            instance.sweep(now)
        self.removed_instances = [instance for instance in self.removed_instances if instance.connections]
