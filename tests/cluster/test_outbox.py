"""The bound on bytes, who goes first, and what is dropped; and the same datagrams on the simulator's wire."""

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from paddlequay.cluster.messages import (
    Ack,
    Evidence,
    MembershipUpdate,
    OwnerLoad,
    PeerMessage,
    Ping,
    Prepare,
    Propose,
    QuotaRequest,
)
from paddlequay.cluster.outbox import ALL_MOST, LANE_MOST, ROUTINE_AGE, Outbox, Packet
from paddlequay.cluster.types import NEVER, ClusterBounds, Fleet, SendMessage, Urgency
from paddlequay.cluster.verdicts import TRANSIT_S
from paddlequay.cluster.wire import DATAGRAM_MOST, Codec, Heard, Refusal, Wire
from paddlequay.simulator.peer_messages import CONTENT_MOST, SimWire, to_content

BOUNDS = ClusterBounds()
QUICK = settings(max_examples=60, derandomize=True, deadline=None)
LEASE, NEWS, ROUTINE = Urgency
RATE = 2000


def box(size: int = 5, rate: float = RATE, me: int = 0) -> Outbox:
    return Outbox(Wire(Codec("quay", size), Fleet(me, size), 1), rate, BOUNDS, 0.0)


def notes(packets: list[Packet], size: int = 5) -> list[PeerMessage]:
    codec = Codec("quay", size)
    return [note for packet in packets for note in codec.read(packet.data).messages]


def cost(packet: Packet, size: int = 5) -> int:
    return len(packet.data) * (size - 1 if packet.to is None else 1)


MADE = st.one_of(
    st.builds(Prepare, st.integers(0, 1 << 63), st.integers(0, 1 << 40)),
    st.builds(Evidence, *[st.integers(0, 1 << 40)] * 2, st.integers(0, 4), *[st.integers(0, 900)] * 3),
    st.builds(QuotaRequest, st.integers(0, 3), *[st.integers(0, 900)] * 3),
)
TELLS = st.builds(SendMessage, st.none() | st.integers(0, 4), MADE, st.sampled_from(Urgency))
STEPS = st.lists(st.tuples(st.floats(0, 0.7), st.lists(TELLS, max_size=25)), max_size=30)


@QUICK
@given(STEPS)
def test_bytes_in_any_span_are_bound_and_nothing_is_lost_unseen(
    steps: list[tuple[float, list[SendMessage]]],
) -> None:
    outbox, now, sent, told = box(), 0.0, list[tuple[float, int]](), 0
    for pause, tells in steps:
        now += pause
        for tell in tells:
            outbox.put(tell, now)
            told += 1
        packets = outbox.take(now)
        assert all(len(packet.data) <= DATAGRAM_MOST for packet in packets)
        sent += [(now, cost(packet)) for packet in packets]
        assert outbox.due() > now
        assert (outbox.due() == NEVER) == (not any(queue.lanes for queue in outbox.queues.values()))
    for number, (begun, _) in enumerate(sent):
        total = 0
        for at, price in sent[number:]:
            total += price
            assert total <= outbox.burst + RATE * (at - begun) + 1
    waiting = sum(queue.count for queue in outbox.queues.values())
    assert waiting == sum(len(lane) for queue in outbox.queues.values() for lane in queue.lanes.values())
    dropped = sum(count for name, count in outbox.counts.items() if name.startswith("dropped."))
    assert told == dropped + waiting + outbox.counts["sent.notes"]


def test_a_lease_goes_at_once_whatever_else_is_told() -> None:
    """As long as leases themselves stay under the bound: here one to all each half second."""
    outbox = box()
    for step in range(500):
        now = step / 50
        for number in range(10):
            outbox.put(SendMessage(None if number % 2 else 1, Ping(number, step), NEWS), now)
            outbox.put(SendMessage(None, QuotaRequest(number, step, 0, 0)), now)
        if step % 25 == 20:
            outbox.put(SendMessage(None, Propose(1, 2, 1500, step), LEASE), now)
            (packet, *_) = outbox.take(now)
            assert Propose(1, 2, 1500, step) in notes([packet])
            # What lies beside it, or goes with it, is not paid from the reserve.
            assert outbox.tokens >= outbox.reserve - 4 * 50
        else:
            outbox.take(now)
    assert outbox.counts["dropped.replaced.routine"] > 0 < outbox.counts["dropped.full.news"]


def test_a_lease_that_waits_for_tokens_waits_for_leases_only() -> None:
    outbox = box()
    for number in range(400):
        outbox.put(SendMessage(1 + number % 4, Ack(number, 1, 1), NEWS), 0.0)
        outbox.put(SendMessage(1 + number % 4, Prepare(number, 1), LEASE), 0.0)
    spent = sum(map(cost, outbox.take(0.0)))
    waiting = sum(
        len(item.data) + 40 for lane in outbox.queues[LEASE].lanes.values() for item in lane.values()
    )
    now = 0.0
    while outbox.queues[LEASE].lanes:
        now = outbox.due()
        assert not any(isinstance(note, Ack) for note in notes(outbox.take(now)))
    assert spent <= outbox.burst
    assert now <= waiting / RATE
    assert not outbox.counts["dropped.old.lease"]


def test_the_whole_fleet_keeps_its_bound() -> None:
    """After a minute's silence thirty routers tell far more than they may for five seconds."""
    size, rate, span = 30, 16_000, 5.0
    fleet = [box(size, rate, me) for me in range(size)]
    total = 0
    for outbox in fleet:
        outbox.take(60.0)
        for now in (60 + step / 50 for step in range(int(span * 50))):
            for peer in range(4):
                outbox.put(SendMessage(None, MembershipUpdate(peer, 1 << 40, 2, outbox.fleet.me), NEWS), now)
                outbox.put(SendMessage(None, Prepare(peer, 1 << 40), LEASE), now)
            total += sum(cost(packet, size) for packet in outbox.take(now))
    most = size * (fleet[0].burst + rate * span)
    assert 0.9 * most < total <= most


def test_the_most_urgent_first_and_a_newer_routine_note_for_the_older() -> None:
    outbox = box()
    outbox.tokens = 0
    for milli in (1, 2, 3):
        outbox.put(SendMessage(1, QuotaRequest(7, milli, milli, 0)), 0.9)
        outbox.put(SendMessage(1, QuotaRequest(8, milli, milli, 0)), 0.9)
        outbox.put(SendMessage(1, OwnerLoad(milli, 0)), 0.9)
        outbox.put(SendMessage(1, Ping(milli, 0), NEWS if milli > 1 else LEASE), 0.9)
    pings = [Ping(1, 0), Ping(2, 0), Ping(3, 0)]
    (packet,) = outbox.take(1.0)
    assert notes([packet]) == [*pings, QuotaRequest(7, 3, 3, 0), QuotaRequest(8, 3, 3, 0), OwnerLoad(3, 0)]
    assert outbox.counts["dropped.replaced.routine"] == 6


def test_what_waited_too_long_is_dropped() -> None:
    outbox = box(rate=1)
    outbox.tokens = 0
    for urgency in Urgency:
        outbox.put(SendMessage(1, OwnerLoad(1, 1), urgency), 0.0)
    assert not outbox.take(ROUTINE_AGE)
    outbox.tokens = outbox.burst
    assert len(notes(outbox.take(ROUTINE_AGE + 0.1))) == 1
    assert (outbox.counts["dropped.old.routine"], outbox.counts["dropped.old.news"]) == (1, 1)


def test_evidence_waits_for_less_than_verdicts_allow_for_its_way() -> None:
    """Its age is fixed when it is told: what waited longer would count beyond its end."""
    for waits, goes in ((0.2, 1), (0.3, 0), (TRANSIT_S, 0)):
        outbox = box()
        outbox.tokens, outbox.rate = 0.0, 1e-9
        outbox.put(SendMessage(None, Evidence(7, 0, 2, 1, 1, 1), NEWS), 0.0)
        outbox.take(waits)
        outbox.tokens = outbox.burst
        assert len(notes(outbox.take(waits))) == goes


def test_queues_are_bound_for_each_receiver_and_in_all() -> None:
    size = 200
    outbox = box(size)
    outbox.tokens = -1e9
    for number in range(LANE_MOST + 9):
        outbox.put(SendMessage(1, Ping(number, 0), LEASE), 0.0)
    assert (outbox.queues[LEASE].count, outbox.counts["dropped.full.lease"]) == (LANE_MOST, 9)
    for number in range(2 * ALL_MOST):
        outbox.put(SendMessage(1 + number % (size - 1), Ping(number, 0), NEWS), 0.0)
    assert outbox.queues[NEWS].count == ALL_MOST
    outbox.put(SendMessage(5, Ping(1, 0), NEWS), 10.0)  # what is too old makes room
    assert outbox.queues[NEWS].count == 1
    assert outbox.queues[LEASE].count == LANE_MOST
    outbox.put(SendMessage(2, Ping(0, 0), LEASE), 0.0)
    outbox.tokens = 2.0 * DATAGRAM_MOST
    # A receiver with much to hear keeps no other waiting.
    assert [packet.to for packet in outbox.take(0.0)][:2] == [1, 2]


def test_what_cannot_be_sent_is_counted() -> None:
    outbox = box()
    for to in (0, 5, -1):
        outbox.put(SendMessage(to, OwnerLoad(1, 1)), 0.0)
    outbox.put(SendMessage(1, OwnerLoad(-1, 1)), 0.0)
    assert outbox.counts == Counter({"dropped.receiver": 3, "dropped.invalid": 1})
    alone = box(1)
    alone.put(SendMessage(None, OwnerLoad(1, 1)), 0.0)
    assert alone.due() == NEVER


def test_datagrams_on_the_simulators_wire() -> None:
    a, b = (SimWire(outbox.wire, outbox) for outbox in (box(me=0), box(me=1)))
    a.outbox.put(SendMessage(None, OwnerLoad(1, 2), NEWS), 0.0)
    a.outbox.put(SendMessage(1, Ping(3, 4), LEASE), 0.0)
    first, second = a.posts(0.0)
    assert (first.peer, second.peer) == ("1", "*")
    heard = b.note_from(0, first.content)
    assert isinstance(heard, Heard) and heard.messages == (Ping(3, 4),)
    assert b.note_from(0, first.content) is None
    assert b.note_from(2, second.content) is None
    assert b.refused == {Refusal.REPEATED: 1, Refusal.SENDER: 1}
    assert isinstance(b.note_from(0, second.content), Heard)


WORDS = {"-": "foreign", "aGkgNw=": "malformed", "a\nGkgNw==": "malformed", "é" * 8: "malformed"}
WORDS |= {"é" * (CONTENT_MOST + 4): "oversized", to_content(bytes(257)): "oversized"}


@pytest.mark.parametrize("content", WORDS)
def test_messages_that_are_none(content: str) -> None:
    b = SimWire(box(me=1).wire, box(me=1))
    assert b.note_from(0, content) is None
    assert b.refused == {Refusal(WORDS[content]): 1}
    assert to_content(b"") == "-"
