"""What becomes of the list's word in pool, exchange and membership where putting it in force breaks off."""

import asyncio
import errno
from collections.abc import Iterable
from pathlib import Path
from typing import Any, cast

import pytest
from rig_endpoints import entry, roster
from test_interceptor import create_exchange

from paddlequay.discovery.reports import MembershipLimits, SourceRule
from paddlequay.discovery.resolver_types import SendQuery
from paddlequay.net.endpoints import dns
from paddlequay.net.endpoints.endpoint_watch import EndpointWatch
from paddlequay.net.endpoints.members import MemberSources
from paddlequay.net.upstreams.pool import ConnectionPool
from paddlequay.observability.counters import Counters
from paddlequay.protocol.endpoint_watch import Endpoint, EndpointWatchError, WatchHeartbeat, parse_event
from paddlequay.requests.exchange import Exchange
from paddlequay.routing.interface import MemberState
from paddlequay.schema.discovery import DiscoverySettings

TERMINATING = "terminating"


class Breaking(ConnectionPool):
    """Breaks off in the middle of a list, after some of it is in force, or always where a member is named."""

    broken = 0
    poison: str | None = None

    def update_endpoints(self, listed: Iterable[Endpoint], full: bool) -> None:
        listed = tuple(listed)
        if any(entry.member.name == self.poison for entry in listed):
            raise RuntimeError("fails always")
        if self.broken:
            self.broken -= 1
            super().update_endpoints(listed[:1], full)
            raise RuntimeError("breaks off")
        super().update_endpoints(listed, full)


def followed(tmp_path: Path) -> tuple[EndpointWatch, Exchange, Breaking]:
    exchange, _, _ = create_exchange(tmp_path)
    pool = Breaking(exchange, exchange.intake.quotas, exchange.limits, exchange.counters)
    follower = EndpointWatch(("127.0.0.1", 1), exchange, pool, exchange.limits, exchange.counters)
    follower.start_from({"no": 1, "items": [roster(1, entry("a"), entry("b", hostPort="10.0.0.2:80"))]})
    return follower, exchange, pool


def discovered(tmp_path: Path, most: int = 100) -> tuple[EndpointWatch, Exchange, Breaking, MemberSources]:
    """The same with the list as a source of the membership."""
    exchange, _, _ = create_exchange(tmp_path)
    pool = Breaking(exchange, exchange.intake.quotas, exchange.limits, exchange.counters)
    follower = EndpointWatch(("127.0.0.1", 1), exchange, pool, exchange.limits, exchange.counters)
    settings = DiscoverySettings((SourceRule("list"),), (), (), None, MembershipLimits(max_members=most))
    members = MemberSources(settings, follower, exchange, pool, exchange.counters, "n0")
    follower.start_from({"no": 1, "items": [roster(1, entry("a"), entry("b", hostPort="10.0.0.2:80"))]})
    return follower, exchange, pool, members


def tell(follower: EndpointWatch, item: Any) -> None:
    """Each event as often as it is asked for anew."""
    while follower.last_number < item["no"]:
        try:
            news = parse_event(item)
            assert not isinstance(news, WatchHeartbeat)
            follower.handle(news)
        except EndpointWatchError:
            follower.failed_watches += 1


def states(exchange: Exchange) -> dict[str, MemberState | None]:
    return {name: member.state for name, member in exchange.members.items() if name in ("a", "b", "c")}


@pytest.mark.parametrize("discovery", [False, True])
def test_an_update_interrupted_in_the_pool_applies_completely_at_the_next_attempt(
    tmp_path: Path, discovery: bool
) -> None:
    """The membership has it after the first try, and told nothing of it at the second."""
    follower, exchange, pool = discovered(tmp_path)[:3] if discovery else followed(tmp_path)
    pool.broken = 1
    words = [
        entry("c", hostPort="10.0.0.3:80"),
        entry("a", lifecycle=TERMINATING),
        entry("b", lifecycle="terminated"),
    ]
    tell(follower, roster(2, *words))
    assert states(exchange) == {"a": MemberState.DRAINING, "c": MemberState.READY}
    assert pool.instances.keys() == {"a", "c"}
    assert exchange.counters.counts["members_errors" if discovery else "endpoint_watch_errors"] == 1


@pytest.mark.parametrize("discovery", [False, True])
def test_a_member_that_always_fails_affects_no_other_and_still_drains(
    tmp_path: Path, discovery: bool
) -> None:
    follower, exchange, pool = discovered(tmp_path)[:3] if discovery else followed(tmp_path)
    pool.poison = "b"
    words = [entry("c", hostPort="10.0.0.3:80"), entry("b", lifecycle=TERMINATING, hostPort="10.0.0.2:80")]
    tell(follower, roster(2, *words))
    assert states(exchange) == {"a": MemberState.READY, "b": MemberState.DRAINING, "c": MemberState.READY}
    tell(follower, roster(3, entry("a", lifecycle="terminated")))
    assert states(exchange) == {"b": MemberState.DRAINING, "c": MemberState.READY}
    follower.on_heartbeat()
    pool.poison = None
    follower.on_heartbeat()
    assert pool.instances.keys() == {"b", "c"}


@pytest.mark.parametrize("discovery", [False, True])
def test_a_drain_by_id_alone_keeps_the_members_fields(tmp_path: Path, discovery: bool) -> None:
    follower, exchange, pool = discovered(tmp_path)[:3] if discovery else followed(tmp_path)
    instance = pool.instances["b"]
    drains = [{"instanceId": name, "lifecycle": TERMINATING} for name in ("b", "nobody")]
    tell(follower, roster(2, *drains, entry("c", hostPort="10.0.0.3:80")))
    assert states(exchange) == {"a": MemberState.READY, "b": MemberState.DRAINING, "c": MemberState.READY}
    assert pool.instances["b"] is instance and instance.address == ("10.0.0.2", 80)  # its work goes on
    assert not exchange.write_checks.is_usable("b") and exchange.write_checks.is_usable("c")
    assert "nobody" not in exchange.members
    assert exchange.counters.counts["unusable_endpoints"] == 2
    tell(follower, roster(3, entry("b", hostPort="10.0.0.2:80")))
    assert exchange.write_checks.is_usable("b") and pool.instances["b"] is instance


def test_a_report_over_the_member_bound_applies_only_its_drains(tmp_path: Path) -> None:
    follower, exchange, _, _ = discovered(tmp_path, most=4)
    many = [entry(f"m{n}", hostPort=f"10.1.0.{n}:80") for n in range(1, 9)]
    tell(follower, roster(2, *many, entry("a", lifecycle=TERMINATING), entry("b", lifecycle="terminated")))
    assert states(exchange) == {"a": MemberState.DRAINING} and "m1" not in exchange.members
    assert exchange.counters.counts["members_refused"] == 1


def test_a_tcp_query_without_a_descriptor_fails_and_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its task died of the error, and the question was open until its time was over."""

    class Resolver:
        why: str | None = None

        def failed(self, number: int, why: str, now: float) -> list[Any]:
            self.why = why
            return []

    def full(*_: object) -> None:
        raise OSError(errno.EMFILE, "no descriptor is left")

    async def work() -> None:
        resolver = Resolver()
        driver = dns.ResolverDriver(cast(Any, resolver), Counters(), lambda: 0.0, lambda _: None)
        monkeypatch.setattr("paddlequay.net.endpoints.dns.socket.socket", full)
        await driver.query_by_tcp(SendQuery(1, ("127.0.0.1", 53), b"", True, 1.0))
        assert resolver.why == "TCP OSError"

    asyncio.run(work())
