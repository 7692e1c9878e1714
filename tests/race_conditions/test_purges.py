"""A purge, and copies older than it that lived on where a cache hung while others dropped theirs."""

from pathlib import Path

import pytest
from test_interceptor import Clock, RecordingUpstreamPool

from paddlequay.config.limits import Limits
from paddlequay.lifecycle.operator_state import OperatorState
from paddlequay.observability.counters import Counters
from paddlequay.policy import Router
from paddlequay.requests.exchange import Exchange
from paddlequay.requests.messages import ClientRequest, UpstreamRequest
from paddlequay.requests.quotas import ProcessQuotas
from paddlequay.requests.write_checks import MAX_PURGES
from paddlequay.routing.interface import Idempotency, Member, RequestClass, RoutingSettings

KINDS = (
    RequestClass("video", latency_objective=0.5, deadline=2.0, idempotency=Idempotency.IDEMPOTENT),
    RequestClass(
        "page",
        latency_objective=0.5,
        deadline=2.0,
        idempotency=Idempotency.IDEMPOTENT,
        freshness_lifetime=8.0,
        stale_if_error=30.0,
    ),
    RequestClass(
        "charge",
        latency_objective=0.5,
        deadline=2.0,
        idempotency=Idempotency.NON_IDEMPOTENT,
        uncacheable=True,
    ),
)
MEMBERS = (Member("box", "here", "box"), Member("aimag", "hub", "parent"), Member("store", "hub", "origin"))
NOW = Clock().unix()
KEY, GROUP = 7, 13


def made(folder: Path) -> tuple[Exchange, RecordingUpstreamPool]:
    settings = RoutingSettings(
        zone="here",
        classes=KINDS,
        parent_kind="parent",
        origin_kind="origin",
        bypass_allowed=True,
        purge_completion=6.0,
    )
    limits, side = Limits(), RecordingUpstreamPool()
    exchange = Exchange(
        Router(settings, 1),
        OperatorState(folder / "orders"),
        ProcessQuotas(limits),
        limits,
        Clock(),
        Counters(),
    )
    exchange.attempts.upstreams = side
    exchange.update_members(MEMBERS, full=True)
    return exchange, side


def order(exchange: Exchange, side: RecordingUpstreamPool, kind: str) -> UpstreamRequest:
    exchange.submit(
        ClientRequest(f"a{len(side.started)}", kind, 2.0, f"{KEY:016x}", KEY, 0, GROUP), lambda _: None
    )
    found = exchange.attempts.prepare_write(side.started[-1])
    assert found is not None
    return found


@pytest.mark.parametrize("of", [(KEY, None), (None, GROUP)])
@pytest.mark.parametrize("since", [0.5, 5.9, 6.2, 60.0])
def test_no_copy_older_than_a_purge_is_accepted_at_any_later_time(
    tmp_path: Path, of: tuple[int | None, int | None], since: float
) -> None:
    """A cache that hung for the six seconds in which others dropped such copies served one after them."""
    exchange, side = made(tmp_path)
    exchange.record_purge(*of, NOW - since)
    assert order(exchange, side, "video").max_age == pytest.approx(since)


def test_a_purge_does_not_extend_the_maximum_age_of_a_class(tmp_path: Path) -> None:
    exchange, side = made(tmp_path)
    exchange.record_purge(KEY, None, NOW - 3.0)
    assert order(exchange, side, "page").max_age == pytest.approx(3.0)
    exchange, side = made(tmp_path)
    exchange.record_purge(KEY, None, NOW - 9.0)
    assert order(exchange, side, "page").max_age is None  # its own 8 s
    assert order(exchange, side, "charge").max_age is None  # no copies of it are kept


def test_purges_are_bounded_and_the_latest_stay(tmp_path: Path) -> None:
    exchange, side = made(tmp_path)
    for key in range(1000, 1000 + 2 * MAX_PURGES):
        exchange.record_purge(key, None, NOW - 20.0)
    exchange.record_purge(KEY, None, NOW - 10.0)
    assert len(exchange.write_checks.purged_at) == MAX_PURGES
    assert order(exchange, side, "video").max_age == pytest.approx(10.0)
