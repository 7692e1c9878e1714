"""Epochs of placement tables at one router: answers, declarations and the proposals of a holder."""

from collections.abc import Callable

from paddlequay.cluster.messages import TableAcknowledgement, TableAnnouncement
from paddlequay.cluster.placement_epochs import PlacementEpochs
from paddlequay.cluster.table_epochs import TABLES_LEASE, DeclaredEpoch, TableContent, epoch_of, short_epoch
from paddlequay.cluster.table_follower import MAX_OWN_TABLES
from paddlequay.cluster.table_proposer import ResendTimer, TableProposal, TableProposer
from paddlequay.cluster.types import (
    ClusterBounds,
    Fleet,
    LeaseAcquired,
    SendMessage,
    TableChanged,
    Urgency,
)


def make_epochs(me: int = 0, holds: Callable[[int, float], int | None] = lambda *_: None) -> PlacementEpochs:
    tables = PlacementEpochs(Fleet(me, 5, (0, 1, 2)), ClusterBounds(), holds)
    tables.table_compiled(1, 10, 0.0)
    return tables


def make_term(counter: int, peer: int) -> int:
    return counter << 32 | peer << 16 | 1


def test_a_holder_whose_lease_expired_while_stopped_declares_nothing() -> None:
    term, is_held = make_term(3, 0), [True]
    tables = make_epochs(0, lambda *_: term if is_held[0] else None)
    assert any(
        isinstance(a, SendMessage) for a in tables.handle_event(LeaseAcquired(TABLES_LEASE, term, 9.0), 0.0)
    )
    is_held[0] = False
    answers = [
        tables.handle_message(peer, 1, TableAcknowledgement(1, term, 10, 0), 5.0) for peer in (1, 2, 3, 4)
    ]
    assert answers == [[]] * 4 and tables.epoch_in_use(5.0) is None


def test_only_answers_about_the_proposed_epoch_count_for_its_majority() -> None:
    term = make_term(3, 0)
    tables = make_epochs(0, lambda *_: term)
    tables.handle_event(LeaseAcquired(TABLES_LEASE, term, 9.0), 0.0)
    for peer in (1, 2, 3, 4):
        tables.handle_message(peer, 1, TableAcknowledgement(7, make_term(2, 1), 10, 0), 0.1)
    assert tables.epoch_in_use(0.2) is None
    tables.handle_message(1, 1, TableAcknowledgement(1, term, 10, 0), 0.2)
    assert tables.epoch_in_use(0.2) is None
    tables.handle_message(2, 1, TableAcknowledgement(1, term, 10, 0), 0.2)
    assert tables.epoch_in_use(0.2) == epoch_of(term, 1)


def test_an_outdated_answer_does_not_replace_a_later_one() -> None:
    term = make_term(3, 0)
    proposer = TableProposer(Fleet(0, 5, (0, 1, 2)), ClusterBounds(), lambda *_: term)
    proposer.begin_term(term, None, 0.0)
    proposer.handle_acknowledgement(1, 1, TableAcknowledgement(2, term, 10, 0), 0.0)
    proposer.handle_acknowledgement(1, 1, TableAcknowledgement(1, term, 9, 0), 0.0)
    proposal = TableProposal(epoch_of(term, 2), TableContent(10), 0.0, ResendTimer())
    assert proposer.answers.by_peer[1].table == 10 and not proposer.is_agreed(proposal)


def test_lease_with_a_term_below_that_of_a_known_epoch_is_reacquired() -> None:
    term, calls = make_term(3, 0), list[float]()
    fleet = Fleet(0, 5, (0,))
    tables = PlacementEpochs(fleet, ClusterBounds(), lambda *_: term, lambda now: calls.append(now) or [])  # type: ignore[func-returns-value]
    tables.handle_event(LeaseAcquired(TABLES_LEASE, term, 9.0), 0.0)
    for at in (1.0, 2.0):
        tables.handle_message(3, 1, TableAcknowledgement(1, make_term(8, 2), 10, 0), at)
    assert calls == [1.0]


def test_declaration_activates_any_of_the_last_few_compiled_tables() -> None:
    tables, term = make_epochs(3), make_term(3, 1)
    for table in range(11, 11 + MAX_OWN_TABLES):
        tables.table_compiled(1, table, 1.0)
    assert tables.handle_message(1, 1, TableAnnouncement(1, term, 10, 1, 1), 1.0)[0] == SendMessage(
        1, TableAcknowledgement(1, term, 14, 0), Urgency.CHANGE
    )
    actions = tables.handle_message(1, 1, TableAnnouncement(2, term, 11, 1, 1), 1.0)
    assert actions[0] == TableChanged(epoch_of(term, 2), 11, None, 1.0)
    for table in range(20, 40):
        tables.table_compiled(1, table, 2.0)
    assert (
        tables.table_in_use(2.0) == 11
        and 11 in tables.needed_tables(2.0)
        and len(tables.needed_tables(2.0)) <= MAX_OWN_TABLES + 2
    )


def test_a_router_with_uncompiled_rules_answers_that_it_has_no_table() -> None:
    tables, term = make_epochs(3), make_term(3, 1)
    tables.rules_changed(2, 1.0)
    assert tables.handle_message(1, 1, TableAnnouncement(1, term, 10, 1, 0), 1.0) == [
        SendMessage(1, TableAcknowledgement(1, term, 0, 0), Urgency.CHANGE)
    ]


def test_epoch_numbers_out_of_range_are_ignored() -> None:
    tables = make_epochs(3)
    assert tables.handle_message(1, 1, TableAnnouncement(1 << 32, make_term(3, 1), 10, 1, 1), 1.0) == []


def test_declared_table_is_used_once_it_is_compiled() -> None:
    tables, term = make_epochs(3), make_term(3, 1)
    tables.handle_message(1, 1, TableAnnouncement(1, term, 10, 1, 1), 1.0)
    tables.handle_message(1, 1, TableAnnouncement(2, term, 11, 1, 1), 2.0)
    assert tables.table_in_use(2.0) == 10
    assert TableChanged(epoch_of(term, 2), 11, 10, 63.0) in tables.table_compiled(1, 11, 3.0)


def test_a_late_declaration_of_a_superseded_epoch_does_not_extend_it() -> None:
    tables, term = make_epochs(3), make_term(3, 1)
    tables.handle_message(1, 1, TableAnnouncement(1, term, 10, 1, 1), 1.0)
    tables.handle_message(1, 1, TableAnnouncement(2, term, 11, 1, 1), 2.0)
    tables.handle_message(1, 1, TableAnnouncement(1, term, 10, 1, 1), 20.0)
    assert tables.epoch_in_use(30.9) == epoch_of(term, 1) and tables.epoch_in_use(31.0) is None


def proposer_of_new_holder() -> TableProposer:
    """Returns the proposer of a new holder that still uses the epoch of the previous holder."""
    proposer = TableProposer(Fleet(0, 5, (0, 1, 2)), ClusterBounds(), lambda *_: make_term(4, 0))
    proposer.set_own_content(TableContent(10), 0.0)
    proposer.begin_term(make_term(4, 0), DeclaredEpoch(epoch_of(make_term(3, 1), 1), TableContent(10)), 0.0)
    return proposer


def test_new_holder_repeats_the_previous_epoch_until_it_learns_of_a_later_one() -> None:
    proposer = proposer_of_new_holder()
    previous_announcement = TableAnnouncement(1, make_term(3, 1), 10, 0, 1)
    assert SendMessage(None, previous_announcement) in proposer.tick(0.0).actions
    assert SendMessage(2, previous_announcement, Urgency.CHANGE) in proposer.peer_alive(2, 0.1)
    proposer.handle_acknowledgement(
        2, 1, TableAcknowledgement(1, make_term(4, 0), 11, short_epoch(epoch_of(make_term(3, 1), 2))), 0.1
    )
    assert proposer.declared is None


def test_a_proposal_is_resent_to_routers_that_have_not_agreed() -> None:
    proposer = proposer_of_new_holder()
    proposer.tick(0.0)
    proposer.handle_acknowledgement(1, 1, TableAcknowledgement(1, make_term(4, 0), 10, 0), 0.1)
    proposer.handle_acknowledgement(2, 1, TableAcknowledgement(1, make_term(4, 0), 11, 0), 0.1)
    announcement = TableAnnouncement(1, make_term(4, 0), 10, 0, 0)
    resent = [
        action
        for action in proposer.tick(0.2).actions
        if isinstance(action, SendMessage) and action.message == announcement
    ]
    assert [action.to for action in resent] == [2, 3, 4]
    assert proposer.tick(0.3).actions == [] and proposer.due() < 0.7


def test_a_declaration_is_resent_to_unconfirmed_routers_and_at_once_to_those_behind() -> None:
    proposer = proposer_of_new_holder()
    proposer.tick(0.0)
    for peer in (1, 2):
        proposer.handle_acknowledgement(peer, 1, TableAcknowledgement(1, make_term(4, 0), 10, 0), 0.1)
    announcement = TableAnnouncement(1, make_term(4, 0), 10, 0, 1)
    assert SendMessage(None, announcement, Urgency.CHANGE) in proposer.tick(0.1).actions
    proposer.handle_acknowledgement(
        2, 1, TableAcknowledgement(1, make_term(4, 0), 10, short_epoch(epoch_of(make_term(4, 0), 1))), 0.2
    )
    assert proposer.tick(0.31).actions == [
        SendMessage(peer, announcement, Urgency.CHANGE) for peer in (1, 3, 4)
    ]
    previous_epoch = epoch_of(make_term(3, 1), 1)
    assert proposer.handle_acknowledgement(
        3, 1, TableAcknowledgement(1, make_term(3, 1), 10, short_epoch(previous_epoch)), 0.4
    ) == [SendMessage(3, announcement, Urgency.CHANGE)]
