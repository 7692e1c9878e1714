"""Placement rules at one router: compiled for its list, followed once the fleet agrees, paced."""

import asyncio
import json
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

import pytest

from paddlequay.cluster.node import Node
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
OTHERS = (Member("p", "hub", "parent"), Member("o", "hub", "origin"))


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


class World:
    """One router that is the whole fleet; nothing is sent, and time goes on as told."""

    def __init__(self, folder: Path, rules: str) -> None:
        self.clock, self.path = Clock(), folder / "p.rules"
        self.path.write_text(rules)
        limits, counters = Limits(), Counters()
        router = Router(SETTINGS, 1)
        self.exchange = Exchange(
            router, OperatorState(folder / "o"), ProcessQuotas(limits), limits, self.clock, counters
        )
        self.placement = PlacementTables(
            self.path, SETTINGS, self.exchange, counters, self.apply_actions, self.clock.monotonic
        )
        self.counters = counters
        self.exchange.update_members(EDGES + OTHERS, True)
        self.node = self.join()

    def join(self) -> Node:
        settings = ClusterSettings("test", (0,), verdicts=False)
        node = Node(settings, Fleet(0, 1, (0,)), self.clock.unix(), 1, self.clock.now)
        self.placement.join(node)
        return node

    def apply_actions(self, node: Node, actions: Sequence[Action]) -> None:
        self.handle_events(node.execute(actions, self.clock.now))

    def handle_events(self, event: Sequence[object]) -> None:
        for each in event:
            if isinstance(each, TableChanged):
                self.placement.table_changed(each)

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

    def all_at(self, name: str) -> bool:
        return {self.home(key) for key in range(300)} == {name}


def play(folder: Path, script: Callable[[World], Awaitable[None]], rules: str = RULES.format("e2")) -> World:
    world = World(folder, rules)
    asyncio.run(script(world))  # type: ignore[arg-type]
    return world


def test_rules_are_followed_once_the_fleet_agrees_and_until_the_epoch_expires(tmp_path: Path) -> None:
    async def script(world: World) -> None:
        assert not world.all_at("e2")
        await world.placement.update()
        assert not world.all_at("e2")  # compiled, and nobody's word yet
        world.run(3.0)
        assert world.all_at("e2")
        world.clock.now += 31.0
        assert not world.all_at("e2")  # stopped for longer than an epoch is counted on

    play(tmp_path, script)


def test_only_changes_that_rules_see_compile_a_new_table(tmp_path: Path) -> None:
    async def script(world: World) -> None:
        await world.update()
        own = world.placement.compilation.table
        assert own is not None and own.names == ("e0", "e1", "e2", "e3")
        world.exchange.update_members(
            (Member("e1", "here", "box", started=50.0), Member("p2", "hub", "parent")), False
        )
        await world.update()
        assert world.placement.compilation.table is own
        world.exchange.update_members((Member("e1", "here", "box", state=MemberState.DRAINING),), False)
        await world.update()
        assert (
            world.placement.compilation.table is not own and world.counters.counts["placement_compiled"] == 2
        )

    play(tmp_path, script)


def test_another_file_migrates_shards_at_its_pace_and_names_previous_homes(tmp_path: Path) -> None:
    async def script(world: World) -> None:
        await world.update()
        world.path.write_text(RULES.format("e3"))
        world.placement.reload()
        await world.placement.update()
        world.run(0.1)
        assert {world.home(key) for key in range(300)} == {"e2", "e3"}  # most shards wait
        world.run(1.0)
        assert world.all_at("e3")
        ask = ClientRequest("x", "video", 1.0, "7", 7, None, None)
        world.placement.prepare_request(ask)
        seen = world.exchange.router.state.hot_objects.objects[7, None]
        assert list(seen.holders) == ["e2"]
        assert world.counters.counts["placement_former_named"] == 1
        why = json.loads(world.placement.explain("class=video,key=7"))
        assert (why["now"], why["former"], why["rule"], why["waits"]) == (["e3"], ["e2"], "all", False)
        world.run(61.0)
        world.placement.prepare_request(ask)
        assert world.counters.counts["placement_former_named"] == 1

    play(tmp_path, script)


def test_a_file_that_cannot_be_used_leaves_the_rules_before(tmp_path: Path) -> None:
    async def script(world: World) -> None:
        await world.update()
        world.path.write_text("otherwise: 64 shards by what.")
        with pytest.raises(ConfigError, match=r"p\.rules:1:"):
            world.placement.reload()
        world.path.write_text("otherwise: 64 shards by object; 9 copies.")  # more than the list has
        world.placement.reload()
        await world.update()
        await world.update()
        assert world.counters.counts["placement_refused"] == 1 and world.all_at("e2")
        assert world.placement.tables is not None and world.placement.tables.follower.own.table != 0

    play(tmp_path, script)


def test_another_number_of_shards_waits_for_pending_migrations(tmp_path: Path) -> None:
    async def script(world: World) -> None:
        await world.update()
        world.path.write_text(RULES.format("e3").replace("100 shards", "10 shards"))
        world.placement.reload()
        await world.update(1.0)
        world.path.write_text(RULES.format("e1").replace("64 ", "128 ").replace("63", "127"))
        world.placement.reload()
        await world.update(1.0)
        assert world.placement.pending_table is not None and world.placement.status_page()["next_waits"]
        world.run(6.0)
        await world.update(20.0)
        assert world.placement.pending_table is None and world.all_at("e1")

    play(tmp_path, script)


def test_a_new_incarnation_has_no_epoch_until_the_fleet_reports_one(tmp_path: Path) -> None:
    async def script(world: World) -> None:
        await world.update()
        world.node = world.join()
        assert not world.all_at("e2") and world.placement.migration is None
        world.run(5.0)
        assert world.all_at("e2")
        world.placement.leave_cluster()
        assert not world.all_at("e2")

    play(tmp_path, script)


def test_the_console_explains_its_query_form_and_why_there_is_no_rule(tmp_path: Path) -> None:
    world = World(tmp_path, RULES.format("e2"))
    for text in ("", "key", "what=1", "class=video,", "group=x"):
        assert "expected" in json.loads(world.placement.explain(text))
    assert json.loads(world.placement.explain("class=video,key=7"))["rule"] is None


def test_few_tables_are_held_however_often_the_list_changes(tmp_path: Path) -> None:
    async def script(world: World) -> None:
        for n in range(12):
            world.exchange.update_members((Member(f"x{n}", "here", "box"),), False)
            await world.update(0.6)
        assert len(world.placement.held_tables) <= 6

    play(tmp_path, script)
