"""A purge, and copies older than it that lived on where a cache hung while others dropped theirs."""

from pathlib import Path

import pytest
from test_watch import Clock, Side

from paddlequay.requests.messages import Ask, Order
from paddlequay.requests.write_checks import PURGES_MOST
from paddlequay.config.loader import Limits
from paddlequay.observability.counters import Counters
from paddlequay.requests.exchange import Exchange
from paddlequay.routing.interface import Effect, Member, RequestClass, Settings
from paddlequay.lifecycle.operator_state import Operation
from paddlequay.policy import Router
from paddlequay.requests.quotas import Shares

KINDS = (
    RequestClass("video", aim=0.5, deadline=2.0, effect=Effect.SAFE),
    RequestClass("page", aim=0.5, deadline=2.0, effect=Effect.SAFE, fresh=8.0, grace=30.0),
    RequestClass("charge", aim=0.5, deadline=2.0, effect=Effect.UNSAFE, uncacheable=True),
)
MEMBERS = (Member("box", "here", "box"), Member("aimag", "hub", "parent"), Member("store", "hub", "origin"))
NOW = Clock().unix()
KEY, GROUP = 7, 13


def made(folder: Path) -> tuple[Exchange, Side]:
    settings = Settings(
        zone="here", classes=KINDS, parent_kind="parent", origin_kind="origin", direct=True, purge_done=6.0
    )
    limits, side = Limits(), Side()
    exchange = Exchange(
        Router(settings, 1), Operation(folder / "orders"), Shares(limits), limits, Clock(), Counters()
    )
    exchange.caches = side
    exchange.list_changed(MEMBERS, full=True)
    return exchange, side


def order(exchange: Exchange, side: Side, kind: str) -> Order:
    exchange.ask(Ask(f"a{len(side.started)}", kind, 2.0, f"{KEY:016x}", KEY, 0, GROUP), lambda _: None)
    found = exchange.order(side.started[-1])
    assert found is not None
    return found


@pytest.mark.parametrize("of", [(KEY, None), (None, GROUP)])
@pytest.mark.parametrize("since", [0.5, 5.9, 6.2, 60.0])
def test_no_copy_older_than_a_purge_will_do_however_long_ago_it_was(
    tmp_path: Path, of: tuple[int | None, int | None], since: float
) -> None:
    """A cache that hung for the six seconds in which others dropped such copies served one after them."""
    exchange, side = made(tmp_path)
    exchange.purged(*of, NOW - since)
    assert order(exchange, side, "video").max_age == pytest.approx(since)


def test_a_purge_makes_no_copy_good_that_the_class_holds_too_old(tmp_path: Path) -> None:
    exchange, side = made(tmp_path)
    exchange.purged(KEY, None, NOW - 3.0)
    assert order(exchange, side, "page").max_age == pytest.approx(3.0)
    exchange, side = made(tmp_path)
    exchange.purged(KEY, None, NOW - 9.0)
    assert order(exchange, side, "page").max_age is None  # its own 8 s
    assert order(exchange, side, "charge").max_age is None  # no copies of it are kept


def test_purges_are_bounded_and_the_latest_kept(tmp_path: Path) -> None:
    exchange, side = made(tmp_path)
    for key in range(1000, 1000 + 2 * PURGES_MOST):
        exchange.purged(key, None, NOW - 20.0)
    exchange.purged(KEY, None, NOW - 10.0)
    assert len(exchange.bounds.purges) == PURGES_MOST
    assert order(exchange, side, "video").max_age == pytest.approx(10.0)
