"""What the link of a hot restart carries of members: parts, large lists, and earlier versions."""

from collections.abc import Iterator
from dataclasses import replace

import pytest
from rig_member_process import (
    FIRST_PORT,
    RULES,
    START_S,
    MemberProcess,
    ProcessFactory,
    endpoint,
    known_events,
    link,
    process_factory,
)

from paddlequay.discovery.reports import MembershipLimits
from paddlequay.net.endpoints import event_handover
from paddlequay.protocol.endpoint_watch import Endpoint, EndpointList
from paddlequay.protocol.hot_restart import InheritedMembers, KnownEvents, LinkMessage, LinkProtocolError
from paddlequay.routing.interface import MemberState

READY, DRAINING, REMOVED = MemberState.READY, MemberState.DRAINING, MemberState.REMOVED
FIRST = EndpointList(1, True, tuple(endpoint(number) for number in range(9)))
GONE = EndpointList(2, False, tuple(endpoint(number, REMOVED) for number in range(4)))
DRAINED = EndpointList(3, False, (endpoint(4, DRAINING),))
LEFT = {f"b{number}": READY for number in range(5, 9)} | {"b4": DRAINING}


@pytest.fixture(name="factory")
def virtual_processes() -> Iterator[ProcessFactory]:
    with process_factory() as factory:
        yield factory


def told_process(factory: ProcessFactory, **also: object) -> MemberProcess:
    """Returns a process that was told of four removals and a drain."""
    process = factory.make(known_events(FIRST, **also))
    process.tell(GONE)
    process.tell(DRAINED)
    assert process.states() == LEFT
    return process


def test_a_list_of_an_earlier_version_means_that_what_it_lacks_is_removed(factory: ProcessFactory) -> None:
    # Guards against: rule `mass` for members that a predecessor of an earlier version was told to remove.
    newer = factory.make(known_events(FIRST))
    assert newer.sources is not None
    rest = tuple(endpoint(number) for number in range(4, 9))
    newer.receive(KnownEvents(3, (EndpointList(3, True, rest),), is_last=False))
    newer.receive(KnownEvents(3, (), is_last=True))
    assert newer.states() == {f"b{number}": READY for number in range(4, 9)}
    # DNS must not bring them back, as the list may have removed them.
    removals = newer.sources.membership.index.removals
    assert {id for _, id in removals} == {f"b{number}" for number in range(4)}


def test_a_successor_of_an_earlier_version_is_sent_removals_as_entries_of_the_list(
    factory: ProcessFactory,
) -> None:
    # Guards against: an earlier version that takes members that the list lacks for omitted by mistake.
    newer = factory.make(known_events(FIRST))
    assert newer.sources is not None
    _, to_newer = link(told_process(factory), newer, lambda message: False, exchanges_members=False)
    assert {type(message) for message in to_newer.sent} == {KnownEvents}
    listed: list[Endpoint] = []
    for message in to_newer.sent:
        assert isinstance(message, KnownEvents)
        listed += [
            each for event in message.events if isinstance(event, EndpointList) for each in event.endpoints
        ]
    newer.sources.on_endpoint_list(EndpointList(3, True, tuple(listed)))  # as that version applies it
    assert newer.states() == LEFT


def test_a_process_of_an_earlier_version_gets_no_message_that_it_does_not_know(
    factory: ProcessFactory,
) -> None:
    older, newer = told_process(factory), factory.make(known_events(FIRST, generation=2))
    pipes = link(older, newer, exchanges_members=False)
    older.tell(EndpointList(4, False, (endpoint(5, REMOVED),)))
    newer.tell(EndpointList(2, False, (endpoint(6, REMOVED),)))
    assert {type(message) for pipe in pipes for message in pipe.sent} == {KnownEvents}


@pytest.mark.parametrize("other", [{}, {"generation": 2}], ids=["common numbers", "other numbers"])
def test_withdrawals_hold_although_the_last_part_never_comes(
    factory: ProcessFactory, other: dict[str, int]
) -> None:
    # Guards against: a predecessor that hangs or dies in the middle of the handover.
    newer = factory.make(known_events(FIRST, **other))
    link(told_process(factory), newer, lambda message: not is_last(message))
    assert newer.states() == LEFT and not newer.handover.inherited.is_set()
    # A further predecessor is not taken for the continuation of the first one.
    newer.handover.open(link(told_process(factory), newer, lambda message: False)[0], "x", False, True)
    assert newer.handover.member_parts == []


def is_last(message: LinkMessage) -> bool:
    return isinstance(message, KnownEvents) and message.is_last


def test_a_list_larger_than_one_message_is_handed_over_whole(factory: ProcessFactory) -> None:
    count = 3_200
    first = EndpointList(1, True, tuple(endpoint(number) for number in range(count)))
    gone = EndpointList(2, False, tuple(endpoint(number, REMOVED) for number in range(1_300)))
    older, newer = (factory.make(known_events(first)) for _ in range(2))
    older.tell(gone)
    _, to_newer = link(older, newer)
    assert len([message for message in to_newer.sent if isinstance(message, InheritedMembers)]) > 8
    assert newer.states() == older.states() and len(newer.states()) == count - 1_300


@pytest.mark.parametrize("other", [{}, {"generation": 2}], ids=["common numbers", "other numbers"])
def test_removals_in_an_event_larger_than_one_message_hold_in_the_other_process(
    factory: ProcessFactory, other: dict[str, int]
) -> None:
    # Guards against: requests to gone members, as a large event is left to the watch, which may be down.
    count = 1_600
    first = EndpointList(1, True, tuple(endpoint(number) for number in range(count)))
    older, newer = factory.make(known_events(first)), factory.make(known_events(first, **other))
    link(older, newer)
    older.tell(EndpointList(2, False, tuple(endpoint(number, REMOVED) for number in range(1_300))))
    assert set(newer.states()) == {f"b{number}" for number in range(1_300, count)}
    # The event itself comes with the own watch.
    assert newer.watch.last_number == 1
    newer.tell(EndpointList(2, False, tuple(endpoint(number, REMOVED) for number in range(1_300))))
    newer.tell(EndpointList(3, False, (endpoint(0),)))
    assert newer.states()["b0"] is READY


def test_an_earlier_event_of_the_own_list_does_not_revoke_a_withdrawal(factory: ProcessFactory) -> None:
    # Guards against: a gone member in service again as a list that was down replays its events.
    older, newer = (factory.make(known_events(FIRST)) for _ in range(2))
    _, to_newer = link(older, newer)
    to_newer.passes = lambda message: False
    events = [
        EndpointList(2, False, (endpoint(0, DRAINING),)),
        EndpointList(3, False, (endpoint(0),)),
        EndpointList(4, False, (endpoint(0, REMOVED),)),
    ]
    for event in events[:2]:
        older.tell(event)
    to_newer.passes = lambda message: True
    older.tell(events[2])
    assert newer.watch.last_number == 1 and "b0" not in newer.states()
    for event in events:
        newer.tell(event)
        assert newer.states().get("b0") is not READY
    newer.tell(EndpointList(5, False, (endpoint(0),)))
    assert newer.states()["b0"] is READY


def test_a_withdrawal_is_revoked_by_the_process_that_told_it_or_by_the_own_list(
    factory: ProcessFactory,
) -> None:
    # Guards against: a member that stays out, as its return was told to the other process only.
    older, newer = factory.make(known_events(FIRST)), factory.make(known_events(FIRST, generation=2))
    link(older, newer)
    older.tell(EndpointList(2, False, (endpoint(0, DRAINING), endpoint(1, REMOVED))))
    assert newer.states()["b0"] is DRAINING and "b1" not in newer.states()
    older.tell(EndpointList(3, False, (endpoint(0), endpoint(1))))
    assert newer.states()["b0"] is READY and newer.states()["b1"] is READY
    older.tell(EndpointList(4, False, (endpoint(2, REMOVED),)))
    newer.tell(EndpointList(2, False, (endpoint(2),)))
    assert newer.states()["b2"] is READY
    # What the own list has removed, the other process cannot put back.
    newer.tell(EndpointList(3, False, (endpoint(3, REMOVED),)))
    older.tell(EndpointList(5, False, (endpoint(3),)))
    assert "b3" not in newer.states()


def test_a_later_process_of_the_same_id_is_not_withdrawn_with_the_earlier_one(
    factory: ProcessFactory,
) -> None:
    member = replace(endpoint(0).member, started=START_S - 1.0)
    restarted = Endpoint(member, ("127.0.0.1", FIRST_PORT + 100))
    fresh = EndpointList(1, True, (restarted, *FIRST.endpoints[1:]))
    newer = factory.make(known_events(fresh))
    link(told_process(factory), newer)
    assert newer.states()["b0"] is READY and "b1" not in newer.states()


def test_a_pause_for_flapping_belongs_to_the_successor(factory: ProcessFactory) -> None:
    limits = MembershipLimits(confirm_after=30.0)
    older = factory.make(known_events(FIRST), RULES, limits)
    for number in range(2, 10):
        factory.clock.now += 1.0
        older.tell(EndpointList(number, False, (endpoint(0, READY if number % 2 else REMOVED),)))
    assert "b0" not in older.states()
    newer = factory.make(known_events(FIRST), RULES, limits)
    link(older, newer)
    assert "b0" not in newer.states()
    factory.clock.now += limits.flap_pause
    newer.tick()
    assert newer.states()["b0"] is READY


def test_more_records_than_a_membership_holds_are_refused(
    factory: ProcessFactory, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(event_handover, "MAX_INHERITED_RECORDS", 12)
    older, newer = told_process(factory), factory.make(known_events(FIRST))
    with pytest.raises(LinkProtocolError, match="membership: more than 12 records"):
        link(older, newer)


def test_a_router_without_a_membership_and_one_with_it_understand_each_other(factory: ProcessFactory) -> None:
    # Guards against: settings that change with the process.
    for rules in ((None, RULES), (RULES, None)):
        for other in ({}, {"generation": 2}):
            older = factory.make(known_events(FIRST), rules[0])
            older.tell(GONE)
            older.tell(DRAINED)
            newer = factory.make(known_events(FIRST, **other), rules[1])
            link(older, newer)
            assert newer.states() == older.states() == LEFT
