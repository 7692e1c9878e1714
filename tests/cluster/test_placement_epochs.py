"""The epochs of placement tables in use under message loss, partitions, stopped processes and late lists.

Times of the simulated fleet are true seconds, whatever the routers' clocks show.
"""

import pytest

from paddlequay.cluster.placement_epochs import PlacementEpochs
from paddlequay.cluster.table_epochs import DeclaredEpoch
from paddlequay.cluster.table_follower import TableFollower
from paddlequay.cluster.table_proposer import TableProposer
from paddlequay.cluster.types import (
    Action,
)
from paddlequay.lab.table_world import BOUNDS, TableFaultError, TableInUse, TableWorld, digest_of

VALIDITY_S = BOUNDS.epoch_validity_s / 0.95  # true time for which an epoch is valid by the slowest clock
AGREEMENT_S = 15.0  # within which reachable routers with the same endpoint list agree


def agreed_world(size: int, seed: int, kind: type[PlacementEpochs] = PlacementEpochs) -> TableWorld:
    world = TableWorld(size, seed, kind)
    assert world.run(AGREEMENT_S, world.agree) is not None
    return world


def run_faults(seed: int, kind: type[PlacementEpochs] = PlacementEpochs, seconds: float = 60.0) -> TableWorld:
    """Returns five routers after `seconds` random faults, one about each second, with all faults ended."""
    world = TableWorld(5, seed, kind, delay_s=(0.001, 0.3))
    rng = world.rng
    endpoints = rules = 1
    for _ in range(int(seconds)):
        world.loss_ratio = rng.choice((0.0, 0.2, 0.5))
        kind_of_fault, me = rng.randrange(8), rng.randrange(5)
        if kind_of_fault == 0:
            others = [peer for peer in range(5) if rng.random() < 0.5]
            world.partition(others, [peer for peer in range(5) if peer not in others])
        elif kind_of_fault == 1:
            world.heal()
        elif kind_of_fault == 2:
            world.processes[me].stopped = True
        elif kind_of_fault == 3:
            world.resume(me)
        elif kind_of_fault == 4:
            world.restart(me)
        elif kind_of_fault in (5, 6):
            endpoints = rng.choice((endpoints + 1, max(1, endpoints - 1)))
            world.change(range(5), rules, endpoints, within_s=2.0)
        elif rng.random() < 0.2:
            rules += 1
            world.change([peer for peer in range(5) if rng.random() < 0.6], rules, endpoints, within_s=1.0)
        world.run(rng.uniform(0.2, 1.8))
    world.loss_ratio = 0.0
    world.run(2.0)
    world.change(range(5), rules, endpoints)
    world.run(0.01)
    world.heal()
    return world


def seconds_until_agreement(world: TableWorld) -> float | None:
    digest = world.own_tables[0].digest
    return world.run(AGREEMENT_S, lambda: world.agree(digest=digest))


def test_epochs_never_decrease_or_name_two_tables_and_all_routers_agree_after_a_heal() -> None:
    elapsed = []
    for seed in range(25):
        world = run_faults(seed)
        elapsed.append(seconds_until_agreement(world))
        assert len(world.digests) >= 3
    assert None not in elapsed


class ActivatesLowerEpochs(PlacementEpochs):
    """Activates any epoch other than the one in use, even a lower one."""

    class follower_class(TableFollower):  # noqa: N801
        def is_later(self, epoch: int) -> bool:
            return self.active is None or epoch != self.active.epoch


class ActivatesOwnTable(PlacementEpochs):
    """Activates an epoch with its own table, whichever table the epoch names."""

    class follower_class(TableFollower):  # noqa: N801
        def has_table_of(self, declared: DeclaredEpoch) -> bool:
            return self.own_content.table != 0

        def activate(self, declared: DeclaredEpoch, now: float) -> list[Action]:
            return super().activate(DeclaredEpoch(declared.epoch, self.own_content), now)


class CreatesEpochsUnderOneTerm(PlacementEpochs):
    """Creates epochs under a constant term, numbered on from the epoch in use."""

    class proposer_class(TableProposer):  # noqa: N801
        def begin_term(self, term: int, active: DeclaredEpoch | None, now: float) -> None:
            super().begin_term(term, active, now)
            self.last_number = 0 if active is None else active.epoch & 0xFFFFFFFF

        def propose(self, now: float) -> list[Action]:
            term, self.term = self.term, 1
            try:
                return super().propose(now)
            finally:
                self.term = term


@pytest.mark.parametrize("kind", [ActivatesLowerEpochs, ActivatesOwnTable, CreatesEpochsUnderOneTerm])
def test_simulation_detects_the_fault_when_a_guard_is_removed(kind: type[PlacementEpochs]) -> None:
    def search() -> None:
        for seed in range(25):
            run_faults(seed, kind)

    with pytest.raises(TableFaultError):
        search()


def test_epoch_of_the_later_holder_stays_in_use_after_the_earlier_holder_resumes() -> None:
    world = agreed_world(5, 1)
    first = world.holder()
    assert first is not None
    rest = [peer for peer in range(5) if peer != first]
    world.change([first], 1, 2)
    world.change(rest, 1, 3)
    world.run(0.3)
    world.processes[first].stopped = True  # after it has sent its proposal
    assert world.run(AGREEMENT_S, lambda: world.agree(rest, digest_of(1, 3))) is not None
    later = world.processes[rest[0]].in_use().epoch
    world.change([first], 1, 3)
    world.resume(first)
    assert world.run(AGREEMENT_S, lambda: world.agree(digest=digest_of(1, 3))) is not None
    assert world.processes[rest[0]].in_use().epoch == later


def test_a_router_two_epochs_behind_skips_to_the_current_one_at_once() -> None:
    world = agreed_world(5, 2)
    world.partition([4], range(4))
    for endpoints in (2, 3):
        world.change(range(4), 1, endpoints)
        assert world.run(AGREEMENT_S, lambda: world.agree(range(4))) is not None
        world.run(2.0)
    world.change([4], 1, 3)
    world.run(0.1)
    before = len(world.processes[4].changes)
    world.heal()
    elapsed = world.run(AGREEMENT_S, world.agree)
    assert elapsed is not None and elapsed <= 1.2  # liveness detects the end of the partition after a second
    assert len(world.processes[4].changes) == before + 1


def test_isolated_routers_keep_their_epoch_for_its_validity_and_then_use_none() -> None:
    world = agreed_world(9, 3)
    old, isolated = world.processes[8].in_use(), [6, 7, 8]
    world.partition(isolated, range(6))
    world.change(range(6), 2, 1, within_s=3.0)
    assert world.run(AGREEMENT_S, lambda: world.agree(range(6), digest_of(2, 1))) is not None
    world.run(10.0)
    assert {world.processes[peer].in_use() for peer in isolated} == {old}
    world.run(VALIDITY_S)
    assert {world.processes[peer].in_use() for peer in isolated} == {TableInUse(None, None)}
    assert all(
        "table_given_up" in [event.event for event in world.processes[peer].log_events] for peer in isolated
    )
    assert world.agree(range(6), digest_of(2, 1))  # the others receive repeated declarations
    world.heal()
    world.change(isolated, 2, 1)
    assert world.run(AGREEMENT_S, world.agree) is not None
    assert world.processes[8].changes[-1].previous is None  # no table was in use there


def test_a_stopped_router_finds_its_epoch_expired_before_any_message() -> None:
    world = agreed_world(3, 4)
    process = world.processes[2]
    process.stopped = True
    world.run(VALIDITY_S + 5.0)
    assert process.in_use() == TableInUse(None, None)  # before any message


def test_a_rollback_is_a_new_epoch_with_the_earlier_table() -> None:
    world = agreed_world(5, 5)
    first = world.processes[0].in_use()
    for rules in (2, 1):
        world.change(range(5), rules, 1, within_s=0.5)
        assert world.run(AGREEMENT_S, lambda rules=rules: world.agree(digest=digest_of(rules, 1))) is not None  # type: ignore[misc]
    last = world.processes[0].in_use()
    assert (
        first.digest == last.digest
        and first.epoch is not None
        and last.epoch is not None
        and last.epoch > first.epoch
    )
    last_change = world.processes[0].changes[-1]
    assert last_change.previous == digest_of(2, 1) and last_change.previous_until > world.processes[0].clock


@pytest.mark.parametrize("late", [(0, 1, 2), (3, 4, 5)])
def test_outdated_list_at_half_the_routers_keeps_all_on_the_previous_epoch(
    late: tuple[int, ...],
) -> None:
    world = agreed_world(6, 6)
    old = world.processes[0].in_use()
    world.change([peer for peer in range(6) if peer not in late], 1, 2)
    world.run(VALIDITY_S + 5.0)  # longer than an epoch stays valid without a declaration
    assert {process.in_use() for process in world.processes} == {old}
    world.change(late, 1, 2)
    elapsed = world.run(AGREEMENT_S, lambda: world.agree(digest=digest_of(1, 2)))
    assert elapsed is not None and elapsed <= 0.5
    assert any(event.event == "tables_differ" for process in world.processes for event in process.log_events)


def test_a_holder_killed_before_its_declaration_delays_the_epoch_by_one_lease() -> None:
    world = agreed_world(5, 7)
    holder = world.holder()
    assert holder is not None
    process, rest = world.processes[holder], [peer for peer in range(5) if peer != holder]
    world.change(range(5), 1, 2)
    proposer = process.tables.proposer

    def has_majority() -> bool:
        # Messages of the holder after its proposal are blocked; it still receives the answers.
        if proposer.proposal is not None:
            world.blocked_links |= {(holder, peer) for peer in rest if proposer.answers.by_peer}
        return proposer.declared is not None and proposer.declared.content.table == digest_of(1, 2)

    assert world.run(3.0, has_majority, check_s=0.002) is not None
    assert not any(world.processes[peer].in_use().digest == digest_of(1, 2) for peer in rest)
    process.dead = True
    elapsed = world.run(AGREEMENT_S, lambda: world.agree(rest, digest_of(1, 2)))
    assert elapsed is not None and elapsed <= 3.0


def test_a_holder_with_other_rules_declares_the_table_of_the_majority() -> None:
    world = agreed_world(5, 8)
    holder = world.holder()
    assert holder is not None
    rest = [peer for peer in range(5) if peer != holder]
    world.change(rest, 2, 1)
    assert world.run(AGREEMENT_S, lambda: world.agree(rest, digest_of(2, 1))) is not None
    assert world.processes[holder].in_use().digest == digest_of(1, 1)
    world.run(VALIDITY_S)
    assert world.processes[holder].in_use() == TableInUse(None, None)
    assert {"table_lacking", "table_given_up"} <= {
        event.event for event in world.processes[holder].log_events
    }
    assert world.agree(rest, digest_of(2, 1)) and len(world.digests) <= 4  # no switching back and forth
