"""A successor knows the endpoints and purges that only its predecessor was told of."""

import asyncio
import contextlib
import json
import socket
import threading
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import pytest
from harness import WAIT, Party, Platform, platform, told, until
from hypothesis import given
from hypothesis import strategies as st
from rig_clients import SETTINGS
from test_interceptor import Clock

from paddlequay.config.limits import Limits
from paddlequay.lifecycle.operator_state import OperatorState
from paddlequay.net.endpoints.endpoint_watch import MAX_LOW_HEARTBEATS, EndpointWatch
from paddlequay.net.endpoints.event_handover import EventHandover
from paddlequay.net.upstreams.pool import ConnectionPool
from paddlequay.observability.counters import Counters
from paddlequay.policy import Router
from paddlequay.protocol.endpoint_watch import (
    Endpoint,
    EndpointList,
    EndpointWatchError,
    PurgeEvent,
    WatchHeartbeat,
)
from paddlequay.protocol.hot_restart import KnownEvents, LinkMessage, LinkParser, NewEvent, pack, unpack
from paddlequay.requests.exchange import Exchange
from paddlequay.requests.quotas import ProcessQuotas
from paddlequay.routing.interface import Member, MemberState

ROW = f"{7:016x}"
OLD_VERSION_STATE = b'{"state":{},"listed":[],"knowledge":{}}\n'
KNOWN = {"no": 1, "items": []}
OTHER_KNOWN = {"no": 2, "items": []}


def purge_issued_now() -> dict[str, Any]:
    return {"item": ROW, "issued": round(time.time() * 1000)}


def stop_discovery(p: Platform, *connections: socket.socket) -> None:
    """Ends the watches, and refuses further ones."""
    p.bulletin.listener.shutdown(socket.SHUT_RDWR)
    p.bulletin.listener.close()
    for connection in connections:
        connection.shutdown(socket.SHUT_RDWR)


def ask(p: Platform, party: Party) -> dict[str, str]:
    """Returns the fields of a client's request at the cache that must receive it."""
    client = p.client()
    client.ask(row=ROW)
    fields = told(party.answer("HIT", "-", b"x"))
    assert client.answer()[3][0] == b"x"
    client.socket.close()
    return fields


def replace_process(p: Platform) -> None:
    """Starts a successor, and ends its predecessor once it is ready."""
    older = p.process
    p.start()
    p.logged("event=successor_connected")
    p.ready()
    older.terminate()
    assert older.wait(timeout=WAIT) == 0


def test_a_successor_without_discovery_keeps_the_purges_drains_and_members_of_its_predecessor() -> None:
    # Guards against: purged copies, and requests to a drained cache, from a process started in an outage.
    with platform() as p:
        second = Party()
        drained = p.roster[0] | {"lifecycle": "terminating"}
        purge = purge_issued_now()
        connection = p.publish(
            {"no": 2, "roster": {"instances": [p.entry("box-2", second), drained]}},
            {"no": 3, "recall": purge},
            {"no": 3},
        )
        until(lambda: p.counted("purges") == 1, "the purge is applied")
        stop_discovery(p, connection)
        replace_process(p)
        age_limit_ms = float(ask(p, second)["fresh"])
        assert age_limit_ms <= time.time() * 1000 - purge["issued"]
        assert p.box.lines.empty()
        assert "last=3" in p.logged("event=endpoint_events_inherited")


def test_a_successor_applies_events_that_only_its_predecessor_receives_meanwhile() -> None:
    # Guards against: a purge that is published while the successor's watch hangs.
    with platform() as p:
        connection = p.publish({"no": 1})
        p.ready()
        older = p.process
        p.start()
        p.logged("event=endpoint_events_inherited")
        connection.sendall(json.dumps({"no": 2, "recall": purge_issued_now()}).encode() + b"\n")
        p.ready()
        older.terminate()
        assert "fresh" in ask(p, p.box)
        assert older.wait(timeout=WAIT) == 0


@contextlib.contextmanager
def predecessor_of_an_earlier_version(path: Path) -> Any:
    """Listens in place of a predecessor that exchanges no events."""
    path.unlink()
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as listener:
        listener.bind(str(path))
        listener.listen()
        links: list[socket.socket] = []

        def accept() -> None:
            with contextlib.suppress(OSError):
                links.append(listener.accept()[0])
                links[0].sendall(OLD_VERSION_STATE)

        threading.Thread(target=accept, daemon=True).start()
        yield
        for link in links:
            link.close()


def test_copies_from_before_a_start_that_missed_purges_are_not_accepted_until_discovery_is_back() -> None:
    # Guards against: purged copies from a process that neither its predecessor nor discovery has told.
    with platform() as p:
        p.publish({"no": 1})
        p.ready()
        p.process.kill()
        p.process.wait()
        (path,) = Path(p.folder.name).glob("*.sock")
        with predecessor_of_an_earlier_version(path):
            started_at = time.time()
            p.start()
            p.logged("event=purges_unknown")
            p.ready()
            age_limit_ms = float(ask(p, p.box)["fresh"])
            assert age_limit_ms <= (time.time() - started_at) * 1000
            p.publish({"no": 1})
            until(lambda: "fresh" not in ask(p, p.box), "older copies are accepted again")


@given(st.integers(0, 1 << 45), st.one_of(st.none(), st.floats(0.0, 100.0)), st.sampled_from(MemberState))
def test_events_are_read_as_they_were_formatted(
    started_ms: int, weight: float | None, state: MemberState
) -> None:
    member = Member("box-1", None, "box", None, state, weight, started_ms / 1000.0)
    removed = Endpoint(Member(name="box-1", state=state), ("", 0))
    listed = removed if state is MemberState.REMOVED else Endpoint(member, ("127.0.0.1", 6565))
    events: tuple[EndpointList | PurgeEvent, ...] = (
        EndpointList(5, False, (listed,)),
        PurgeEvent(6, started_ms / 1000.0, started_ms, None),
        PurgeEvent(7, started_ms / 1000.0, None, 17),
    )
    for event in events:
        assert unpack(pack(NewEvent(event))) == NewEvent(event)


def test_a_member_that_drains_by_an_invalid_entry_drains_in_the_other_process_as_well() -> None:
    (message,) = LinkParser(1000).feed(pack(NewEvent(EndpointList(5, False, (), ("box-1",)))))
    assert isinstance(message, NewEvent) and isinstance(message.event, EndpointList)
    assert message.event.draining_ids == ("box-1",) and not message.event.endpoints


class RecordingLink:
    """Keeps what is sent, as bytes like a real link."""

    def __init__(self) -> None:
        self.data = b""

    def send(self, message: LinkMessage) -> None:
        self.data += pack(message)

    @property
    def messages(self) -> list[LinkMessage]:
        return list(LinkParser(Limits().max_link_line).feed(self.data))


def endpoint(number: int, state: MemberState = MemberState.READY) -> Endpoint:
    member = Member(f"box-{number}", "here", "box", 0, state, 1.0, 1_764_576_000.123)
    return Endpoint(member, ("127.0.0.1", 1000 + number))


def handover(make_watch: Any, known: dict[str, Any], endpoints: Iterable[Endpoint] = ()) -> EventHandover:
    watch = make_watch()
    made = EventHandover(watch, lambda: known)
    watch.handle(EndpointList(1, True, tuple(endpoints)))
    return made


def connect(predecessor: EventHandover, successor: EventHandover) -> RecordingLink:
    """Lets a predecessor send its events to a successor, and returns the predecessor's link."""
    link = RecordingLink()
    successor.open(RecordingLink(), predecessor.sequence, to_successor=False)
    predecessor.open(link, successor.sequence, to_successor=True)
    for message in link.messages:
        assert isinstance(message, KnownEvents)
        successor.receive_known(message)
    assert successor.expected and successor.inherited.is_set()
    return link


def test_known_events_of_any_size_are_sent_in_parts(make_watch: Any) -> None:
    endpoints = [endpoint(number) for number in range(3_200)]
    predecessor = handover(make_watch, KNOWN, endpoints)
    for number in range(4_096):
        predecessor.watch.handle(PurgeEvent(2 + number, 1_764_576_000.0 + number, number, None))
    successor = handover(make_watch, KNOWN)
    connect(predecessor, successor)
    assert successor.watch.endpoints == predecessor.watch.endpoints
    assert successor.watch.last_number == 4_097
    checks = (predecessor.watch.exchange.write_checks, successor.watch.exchange.write_checks)
    assert checks[0].purged_at == checks[1].purged_at and checks[0].members == checks[1].members


def test_a_third_process_gets_no_events_before_the_second_one_has_them(make_watch: Any) -> None:
    # Guards against: a process that takes what the one before it has missed for all that there is.
    first, second, third = (handover(make_watch, KNOWN) for _ in range(3))
    first.watch.handle(PurgeEvent(2, 1_764_576_000.0, 7, None))
    second.open(RecordingLink(), first.sequence, to_successor=False)
    link = RecordingLink()
    second.open(link, third.sequence, to_successor=True)
    assert not link.messages
    connect(first, second)
    assert [type(message) for message in link.messages] == [KnownEvents] * 2
    second.close(link)
    second.set_purges_unknown(True)
    second.open(late := RecordingLink(), third.sequence, to_successor=True)
    assert not late.messages
    second.set_purges_unknown(False)
    assert late.messages


def test_a_process_with_other_event_numbers_inherits_the_purges_alone(make_watch: Any) -> None:
    # Guards against: numbers of another count, by which later events would pass for known ones.
    predecessor = handover(make_watch, KNOWN, [endpoint(1)])
    predecessor.watch.handle(PurgeEvent(2, 1_764_576_000.0, 7, None))
    successor = handover(make_watch, OTHER_KNOWN, [endpoint(2)])
    link = connect(predecessor, successor)
    assert list(successor.watch.endpoints) == ["box-2"] and successor.watch.last_number == 1
    assert successor.watch.exchange.write_checks.purged_at == {("key", 7): 1_764_576_000.0}
    predecessor.watch.handle(EndpointList(3, False, (endpoint(3),)))
    predecessor.watch.handle(PurgeEvent(4, 1_764_576_001.0, 8, None))
    new = link.messages[-1]
    assert new == NewEvent(PurgeEvent(0, 1_764_576_001.0, 8, None))
    assert isinstance(new, NewEvent) and isinstance(link.messages[-2], KnownEvents)
    successor.receive_new(new.event)
    assert successor.watch.exchange.write_checks.purged_at[("key", 8)] == 1_764_576_001.0
    assert list(successor.watch.endpoints) == ["box-2"] and successor.watch.last_number == 1


def test_a_purge_of_the_other_process_is_applied_in_any_order(make_watch: Any) -> None:
    # Guards against: a purge that only one process is told of because the watch of the other has broken off.
    predecessor, successor = (handover(make_watch, KNOWN) for _ in range(2))
    connect(predecessor, successor)
    for number in (5, 3):
        successor.receive_new(PurgeEvent(number, 1_764_576_000.0 + number, number, None))
    assert len(successor.watch.exchange.write_checks.purged_at) == 2
    assert successor.watch.last_number == 1


def test_a_successor_that_has_received_later_events_keeps_its_own_endpoints(make_watch: Any) -> None:
    # Guards against: a drained member that an older list puts back in service.
    predecessor = handover(make_watch, KNOWN, [endpoint(1)])
    successor = handover(make_watch, KNOWN, [endpoint(1)])
    successor.watch.handle(EndpointList(2, False, (endpoint(1, MemberState.DRAINING),)))
    connect(predecessor, successor)
    assert successor.watch.endpoints["box-1"].member.state is MemberState.DRAINING
    assert successor.watch.last_number == 2


def test_a_source_that_counts_anew_is_asked_for_its_own_events(make_watch: Any) -> None:
    # Guards against: events that are passed over because the predecessor's numbers were higher.
    predecessor, successor = (handover(make_watch, KNOWN, [endpoint(1)]) for _ in range(2))
    for number in range(2, 40):
        predecessor.watch.handle(PurgeEvent(number, 1_764_576_000.0, number, None))
    connect(predecessor, successor)
    watch = successor.watch
    for _ in range(MAX_LOW_HEARTBEATS - 1):
        watch.handle(WatchHeartbeat(5))
    assert watch.last_number == 39
    watch.handle(WatchHeartbeat(39))
    for _ in range(MAX_LOW_HEARTBEATS - 1):
        watch.handle(WatchHeartbeat(5))
    with pytest.raises(EndpointWatchError):
        watch.handle(WatchHeartbeat(5))
    assert watch.last_number == 1
    watch.handle(EndpointList(2, False, (endpoint(1, MemberState.DRAINING),)))
    assert watch.endpoints["box-1"].member.state is MemberState.DRAINING


def test_only_the_next_event_of_the_other_process_is_applied(make_watch: Any) -> None:
    # Guards against: a gap that hides a missed event, and an event that is applied twice.
    predecessor, successor = (handover(make_watch, KNOWN, [endpoint(1)]) for _ in range(2))
    link = connect(predecessor, successor)
    for number, state in ((2, MemberState.DRAINING), (3, MemberState.REMOVED)):
        predecessor.watch.handle(EndpointList(number, False, (endpoint(1, state),)))
    second, third = link.messages[-2:]
    assert isinstance(second, NewEvent) and isinstance(third, NewEvent)
    for event in (third, second, second):
        successor.receive_new(event.event)
    assert successor.watch.last_number == 2
    assert successor.watch.endpoints["box-1"].member.state is MemberState.DRAINING
    successor.receive_new(third.event)
    assert successor.watch.endpoints == {} and successor.watch.last_number == 3


@pytest.fixture
def make_watch(tmp_path: Path) -> Any:
    limits = Limits()
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)

    def make() -> EndpointWatch:
        counters, quotas = Counters(), ProcessQuotas(limits)
        operator_state = OperatorState(tmp_path / "overrides")
        exchange = Exchange(Router(SETTINGS, 1), operator_state, quotas, limits, Clock(), counters)
        pool = ConnectionPool(exchange, quotas, limits, counters)
        return EndpointWatch(("127.0.0.1", 1), exchange, pool, limits, counters)

    yield make
    loop.close()
