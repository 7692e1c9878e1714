"""Placement rules at one router: when a table is compiled, when it is used, and how fast shards migrate."""

import asyncio
import json
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

import pytest

from paddlequay.cluster.node import ClusterNode
from paddlequay.cluster.settings import ClusterSettings
from paddlequay.cluster.types import Action, Fleet, TableChanged
from paddlequay.config.limits import Limits
from paddlequay.errors import ConfigError
from paddlequay.lifecycle.operator_state import OperatorState
from paddlequay.net.cluster.placement_tables import PlacementTables
from paddlequay.observability.counters import Counters
from paddlequay.placement.table_homes import home_key
from paddlequay.policy import Router
from paddlequay.requests.exchange import Exchange
from paddlequay.requests.messages import ClientRequest, Timer
from paddlequay.requests.quotas import ProcessQuotas
from paddlequay.routing.interface import (
    Idempotency,
    Member,
    MemberState,
    Request,
    RequestClass,
    RoutingSettings,
)
from paddlequay.routing.state import CacheTier

CLASSES = (RequestClass("video", latency_objective=0.5, deadline=2.0, idempotency=Idempotency.IDEMPOTENT),)
SETTINGS = RoutingSettings(
    "here", CLASSES, parent_kind="parent", origin_kind="origin", sibling_fills="any", router_count=1
)
RULES = """move at most 100 shards per second.
rule all, precedence 1, for class video: 64 shards by object; pin shard 0 through 63 to member {}.
"""
EDGES = tuple(Member(f"e{n}", "here", "box", started=1.0) for n in range(4))
SOURCES = (Member("p", "hub", "parent"), Member("o", "hub", "origin"))


class NoTimer:
    def cancel(self) -> None: ...


class Clock:
    now = 100.0

    def monotonic(self) -> float:
        return self.now

    def unix(self) -> float:
        return 1000.0 + self.now

    def call_later(self, delay: float, call: Callable[[], None]) -> Timer:
        return NoTimer()


class RouterRig:
    """A fleet of one router that sends nothing; simulated time passes only in `run`."""

    def __init__(self, folder: Path, rules: str) -> None:
        self.clock = Clock()
        self.path = folder / "p.rules"
        self.path.write_text(rules)
        limits = Limits()
        counters = Counters()
        router = Router(SETTINGS, 1)
        self.exchange = Exchange(
            router, OperatorState(folder / "o"), ProcessQuotas(limits), limits, self.clock, counters
        )
        self.placement = PlacementTables(
            self.path, SETTINGS, self.exchange, counters, self.apply_actions, self.clock.monotonic
        )
        self.counters = counters
        self.exchange.update_members(EDGES + SOURCES, True)
        self.node = self.join()

    def join(self) -> ClusterNode:
        settings = ClusterSettings("test", (0,), verdicts=False)
        node = ClusterNode(settings, Fleet(0, 1, (0,)), self.clock.unix(), 1, self.clock.now)
        self.placement.join(node)
        return node

    def apply_actions(self, node: ClusterNode, actions: Sequence[Action]) -> None:
        self.handle_events(node.execute(actions, self.clock.now))

    def handle_events(self, events: Sequence[object]) -> None:
        for event in events:
            if isinstance(event, TableChanged):
                self.placement.table_changed(event)

    def run(self, seconds: float) -> None:
        end = self.clock.now + seconds
        while self.clock.now < end:
            self.clock.now = min(end, max(self.clock.now + 0.001, self.node.due()))
            self.handle_events(self.node.tick(self.clock.now))

    async def update(self, seconds: float = 3.0) -> None:
        await self.placement.update()
        self.run(seconds)

    def home(self, key: int) -> str | None:
        homes = self.exchange.router.state.members.homes[CacheTier.EDGE]
        server = next(homes.order(home_key(Request("q", "video", 1.0, key=key))), None)
        return None if server is None else server.member.name

    def all_homes_are(self, name: str) -> bool:
        return {self.home(key) for key in range(300)} == {name}


def run_script(
    folder: Path, script: Callable[[RouterRig], Awaitable[None]], rules: str = RULES.format("e2")
) -> RouterRig:
    rig = RouterRig(folder, rules)
    asyncio.run(script(rig))  # type: ignore[arg-type]
    return rig


def test_rules_are_followed_once_the_fleet_agrees_and_until_the_epoch_expires(tmp_path: Path) -> None:
    async def script(rig: RouterRig) -> None:
        assert not rig.all_homes_are("e2")
        await rig.placement.update()
        assert not rig.all_homes_are("e2")  # compiled, but not agreed by the fleet yet
        rig.run(3.0)
        assert rig.all_homes_are("e2")
        rig.clock.now += 31.0
        assert not rig.all_homes_are("e2")  # the router was stopped for longer than an epoch is valid

    run_script(tmp_path, script)


def test_only_member_changes_that_affect_rules_compile_a_new_table(tmp_path: Path) -> None:
    async def script(rig: RouterRig) -> None:
        await rig.update()
        first = rig.placement.compilation.table
        assert first is not None and first.names == ("e0", "e1", "e2", "e3")
        rig.exchange.update_members(
            (Member("e1", "here", "box", started=50.0), Member("p2", "hub", "parent")), False
        )
        await rig.update()
        assert rig.placement.compilation.table is first
        rig.exchange.update_members((Member("e1", "here", "box", state=MemberState.DRAINING),), False)
        await rig.update()
        assert rig.placement.compilation.table is not first and rig.counters.counts["placement_compiled"] == 2

    run_script(tmp_path, script)


def test_changed_rules_migrate_shards_at_their_rate_and_report_previous_homes(tmp_path: Path) -> None:
    async def script(rig: RouterRig) -> None:
        await rig.update()
        rig.path.write_text(RULES.format("e3"))
        rig.placement.reload()
        await rig.placement.update()
        rig.run(0.1)
        assert {rig.home(key) for key in range(300)} == {"e2", "e3"}  # most shards are yet to migrate
        rig.run(1.0)
        assert rig.all_homes_are("e3")
        request = ClientRequest("x", "video", 1.0, "7", 7, None, None)
        rig.placement.prepare_request(request)
        hot_part = rig.exchange.router.state.hot_objects.parts[7, None]
        assert list(hot_part.holders) == ["e2"]
        assert rig.counters.counts["placement_former_named"] == 1
        explanation = json.loads(rig.placement.explain("class=video,key=7"))
        assert (explanation["now"], explanation["former"], explanation["rule"], explanation["waits"]) == (
            ["e3"],
            ["e2"],
            "all",
            False,
        )
        rig.run(61.0)
        rig.placement.prepare_request(request)
        assert rig.counters.counts["placement_former_named"] == 1

    run_script(tmp_path, script)


def test_unusable_rules_file_leaves_the_previous_rules_in_use(tmp_path: Path) -> None:
    async def script(rig: RouterRig) -> None:
        await rig.update()
        rig.path.write_text("otherwise: 64 shards by what.")
        with pytest.raises(ConfigError, match=r"p\.rules:1:"):
            rig.placement.reload()
        rig.path.write_text("otherwise: 64 shards by object; 9 copies.")  # more copies than there are members
        rig.placement.reload()
        await rig.update()
        await rig.update()
        assert rig.counters.counts["placement_refused"] == 1 and rig.all_homes_are("e2")
        assert rig.placement.epochs is not None and rig.placement.epochs.follower.own_content.table != 0

    run_script(tmp_path, script)


def test_table_with_another_number_of_shards_waits_for_pending_migrations(tmp_path: Path) -> None:
    async def script(rig: RouterRig) -> None:
        await rig.update()
        rig.path.write_text(RULES.format("e3").replace("100 shards", "10 shards"))
        rig.placement.reload()
        await rig.update(1.0)
        rig.path.write_text(RULES.format("e1").replace("64 ", "128 ").replace("63", "127"))
        rig.placement.reload()
        await rig.update(1.0)
        assert rig.placement.pending_table is not None and rig.placement.status_page()["next_waits"]
        rig.run(6.0)
        await rig.update(20.0)
        assert rig.placement.pending_table is None and rig.all_homes_are("e1")

    run_script(tmp_path, script)


def test_a_new_incarnation_has_no_epoch_until_the_fleet_reports_one(tmp_path: Path) -> None:
    async def script(rig: RouterRig) -> None:
        await rig.update()
        rig.node = rig.join()
        assert not rig.all_homes_are("e2") and rig.placement.migration is None
        rig.run(5.0)
        assert rig.all_homes_are("e2")
        rig.placement.leave_cluster()
        assert not rig.all_homes_are("e2")

    run_script(tmp_path, script)


def test_console_explains_the_form_of_a_query_and_why_no_rule_applies(tmp_path: Path) -> None:
    rig = RouterRig(tmp_path, RULES.format("e2"))
    for text in ("", "key", "what=1", "class=video,", "group=x"):
        assert "expected" in json.loads(rig.placement.explain(text))
    assert json.loads(rig.placement.explain("class=video,key=7"))["rule"] is None


def test_number_of_tables_kept_is_bounded_when_the_list_changes_often(tmp_path: Path) -> None:
    async def script(rig: RouterRig) -> None:
        for n in range(12):
            rig.exchange.update_members((Member(f"x{n}", "here", "box"),), False)
            await rig.update(0.6)
        assert len(rig.placement.known_tables) <= 6

    run_script(tmp_path, script)
