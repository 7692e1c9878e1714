"""The outbox: its byte limit, the order of messages, and drops; also with the simulator's transport."""

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from paddlequay.cluster.evidence_store import TRANSIT_ALLOWANCE_S
from paddlequay.cluster.messages import (
    MESSAGE_TYPES,
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
from paddlequay.cluster.outbox import MIN_QUEUE_CAPACITY, ROUTINE_MAX_AGE_S, Datagram, Outbox, subject_of
from paddlequay.cluster.outbox_queue import MAX_MESSAGES_PER_RECEIVER
from paddlequay.cluster.types import NEVER, ClusterBounds, Fleet, SendMessage, Urgency
from paddlequay.cluster.wire import MAX_DATAGRAM_BYTES, Codec, ReceivedDatagram, RejectReason, Wire
from paddlequay.simulator.peer_messages import MAX_CONTENT_CHARACTERS, SimulatorTransport, encode_content

BOUNDS = ClusterBounds()
CODEC = Codec("quay", 5)
FUZZ_SETTINGS = settings(max_examples=60, derandomize=True, deadline=None)
LEASE, CHANGE, ROUTINE = Urgency
RATE_BYTES_PER_S = 2000


def make_outbox(fleet_size: int = 5, bytes_per_s: float = RATE_BYTES_PER_S, me: int = 0) -> Outbox:
    return Outbox(Wire(Codec("quay", fleet_size), Fleet(me, fleet_size), 1), bytes_per_s, BOUNDS, 0.0)


def read_messages(datagrams: list[Datagram], fleet_size: int = 5) -> list[PeerMessage]:
    codec = Codec("quay", fleet_size)
    return [message for datagram in datagrams for message in codec.read(datagram.data).messages]


def cost_bytes(datagram: Datagram, fleet_size: int = 5) -> int:
    return len(datagram.data) * (fleet_size - 1 if datagram.to is None else 1)


ANY_MESSAGE = st.one_of(
    st.builds(Prepare, st.integers(0, 1 << 63), st.integers(0, 1 << 40)),
    st.builds(Evidence, *[st.integers(0, 1 << 40)] * 2, st.integers(0, 4), *[st.integers(0, 900)] * 3),
    st.builds(QuotaRequest, st.integers(0, 3), *[st.integers(0, 900)] * 3),
)
ACTIONS = st.builds(SendMessage, st.none() | st.integers(0, 4), ANY_MESSAGE, st.sampled_from(Urgency))
STEPS = st.lists(st.tuples(st.floats(0, 0.7), st.lists(ACTIONS, max_size=25)), max_size=30)


@FUZZ_SETTINGS
@given(STEPS)
def test_bytes_in_any_span_are_limited_and_every_message_is_accounted_for(
    steps: list[tuple[float, list[SendMessage]]],
) -> None:
    outbox, now, sent, put_count = make_outbox(), 0.0, list[tuple[float, int]](), 0
    for pause, actions in steps:
        now += pause
        for action in actions:
            outbox.put(action, now)
            put_count += 1
        datagrams = outbox.take(now)
        assert all(len(datagram.data) <= MAX_DATAGRAM_BYTES for datagram in datagrams)
        sent += [(now, cost_bytes(datagram)) for datagram in datagrams]
        assert outbox.due() > now
        assert (outbox.due() == NEVER) == (not any(queue.by_receiver for queue in outbox.queues.values()))
    for number, (started_at, _) in enumerate(sent):
        total = 0
        for at, datagram_bytes in sent[number:]:
            total += datagram_bytes
            assert total <= outbox.burst_bytes + RATE_BYTES_PER_S * (at - started_at) + 1
    waiting_count = sum(queue.count for queue in outbox.queues.values())
    assert waiting_count == sum(
        len(receiver_queue)
        for queue in outbox.queues.values()
        for receiver_queue in queue.by_receiver.values()
    )
    dropped = sum(count for name, count in outbox.counts.items() if name.startswith("dropped."))
    assert put_count == dropped + waiting_count + outbox.counts["sent.notes"]


def test_a_lease_message_is_sent_at_once_whatever_else_is_queued() -> None:
    """Holds while lease messages alone are below the byte limit; here one goes to all every half second."""
    outbox = make_outbox()
    for step in range(500):
        now = step / 50
        for number in range(10):
            outbox.put(SendMessage(None if number % 2 else 1, Ping(number, step), CHANGE), now)
            outbox.put(SendMessage(None, QuotaRequest(number, step, 0, 0)), now)
        if step % 25 == 20:
            outbox.put(SendMessage(None, Propose(1, 2, 1500, step), LEASE), now)
            (datagram, *_) = outbox.take(now)
            assert Propose(1, 2, 1500, step) in read_messages([datagram])
            # Messages that are sent along with it do not use the reserve.
            assert outbox.tokens >= outbox.reserve_bytes - 4 * 50
        else:
            outbox.take(now)
    assert outbox.counts["dropped.replaced.routine"] > 0 < outbox.counts["dropped.full.news"]


def test_a_lease_message_waits_only_for_other_lease_messages() -> None:
    outbox = make_outbox()
    for number in range(400):
        outbox.put(SendMessage(1 + number % 4, Ack(number, 1, 1), CHANGE), 0.0)
        outbox.put(SendMessage(1 + number % 4, Prepare(number, 1), LEASE), 0.0)
    spent = sum(map(cost_bytes, outbox.take(0.0)))
    waiting_bytes = sum(
        len(item.data) + 40
        for receiver_queue in outbox.queues[LEASE].by_receiver.values()
        for item in receiver_queue.values()
    )
    now = 0.0
    while outbox.queues[LEASE].by_receiver:
        now = outbox.due()
        assert not any(isinstance(message, Ack) for message in read_messages(outbox.take(now)))
    assert spent <= outbox.burst_bytes
    assert now <= waiting_bytes / RATE_BYTES_PER_S
    assert not outbox.counts["dropped.old.lease"]


def test_the_fleet_stays_within_the_sum_of_its_byte_limits() -> None:
    """After a minute without messages, thirty routers queue far more than they may send for five seconds."""
    fleet_size, bytes_per_s, span_s = 30, 16_000, 5.0
    fleet = [make_outbox(fleet_size, bytes_per_s, me) for me in range(fleet_size)]
    total = 0
    for outbox in fleet:
        outbox.take(60.0)
        for now in (60 + step / 50 for step in range(int(span_s * 50))):
            for peer in range(4):
                outbox.put(
                    SendMessage(None, MembershipUpdate(peer, 1 << 40, 2, outbox.fleet.me), CHANGE), now
                )
                outbox.put(SendMessage(None, Prepare(peer, 1 << 40), LEASE), now)
            total += sum(cost_bytes(datagram, fleet_size) for datagram in outbox.take(now))
    max_total_bytes = fleet_size * (fleet[0].burst_bytes + bytes_per_s * span_s)
    assert 0.9 * max_total_bytes < total <= max_total_bytes


def test_urgent_messages_come_first_and_a_newer_routine_message_replaces_the_older() -> None:
    outbox = make_outbox()
    outbox.tokens = 0
    for milli in (1, 2, 3):
        outbox.put(SendMessage(1, QuotaRequest(7, milli, milli, 0)), 0.9)
        outbox.put(SendMessage(1, QuotaRequest(8, milli, milli, 0)), 0.9)
        outbox.put(SendMessage(1, OwnerLoad(milli, 0)), 0.9)
        outbox.put(SendMessage(1, Ping(milli, 0), CHANGE if milli > 1 else LEASE), 0.9)
    pings = [Ping(1, 0), Ping(2, 0), Ping(3, 0)]
    (datagram,) = outbox.take(1.0)
    assert read_messages([datagram]) == [
        *pings,
        QuotaRequest(7, 3, 3, 0),
        QuotaRequest(8, 3, 3, 0),
        OwnerLoad(3, 0),
    ]
    assert outbox.counts["dropped.replaced.routine"] == 6


def test_a_message_that_waited_too_long_is_dropped() -> None:
    outbox = make_outbox(bytes_per_s=1)
    outbox.tokens = 0
    for urgency in Urgency:
        outbox.put(SendMessage(1, OwnerLoad(1, 1), urgency), 0.0)
    assert not outbox.take(ROUTINE_MAX_AGE_S)
    outbox.tokens = outbox.burst_bytes
    assert len(read_messages(outbox.take(ROUTINE_MAX_AGE_S + 0.1))) == 1
    assert (outbox.counts["dropped.old.routine"], outbox.counts["dropped.old.news"]) == (1, 1)


def test_evidence_is_dropped_before_its_transit_allowance_ends() -> None:
    """The age is fixed when a message is packed; after a longer wait, evidence would count for too long."""
    for wait_s, sent_count in ((0.2, 1), (0.3, 0), (TRANSIT_ALLOWANCE_S, 0)):
        outbox = make_outbox()
        outbox.tokens, outbox.bytes_per_s = 0.0, 1e-9
        outbox.put(SendMessage(None, Evidence(7, 0, 2, 1, 1, 1), CHANGE), 0.0)
        outbox.take(wait_s)
        outbox.tokens = outbox.burst_bytes
        assert len(read_messages(outbox.take(wait_s))) == sent_count


def test_queues_are_bounded_for_each_receiver_and_in_total() -> None:
    fleet_size = 200
    outbox = make_outbox(fleet_size)
    outbox.tokens = -1e9
    for number in range(MAX_MESSAGES_PER_RECEIVER + 9):
        outbox.put(SendMessage(1, Ping(number, 0), LEASE), 0.0)
    assert (outbox.queues[LEASE].count, outbox.counts["dropped.full.lease"]) == (MAX_MESSAGES_PER_RECEIVER, 9)
    for number in range(2 * MIN_QUEUE_CAPACITY):
        outbox.put(SendMessage(1 + number % (fleet_size - 1), Ping(number, 0), CHANGE), 0.0)
    assert outbox.queues[CHANGE].count == MIN_QUEUE_CAPACITY
    outbox.put(SendMessage(5, Ping(1, 0), CHANGE), 10.0)  # expired messages are dropped to make space
    assert outbox.queues[CHANGE].count == 1
    assert outbox.queues[LEASE].count == MAX_MESSAGES_PER_RECEIVER
    outbox.put(SendMessage(2, Ping(0, 0), LEASE), 0.0)
    outbox.tokens = 2.0 * MAX_DATAGRAM_BYTES
    # A receiver with many messages does not delay the others.
    assert [datagram.to for datagram in outbox.take(0.0)][:2] == [1, 2]


def test_messages_that_cannot_be_sent_are_counted() -> None:
    outbox = make_outbox()
    for to in (0, 5, -1):
        outbox.put(SendMessage(to, OwnerLoad(1, 1)), 0.0)
    outbox.put(SendMessage(1, OwnerLoad(-1, 1)), 0.0)
    assert outbox.counts == Counter({"dropped.receiver": 3, "dropped.invalid": 1})
    alone = make_outbox(1)
    alone.put(SendMessage(None, OwnerLoad(1, 1)), 0.0)
    assert alone.due() == NEVER


def test_datagrams_pass_through_the_simulators_messages() -> None:
    a, b = (SimulatorTransport(outbox.wire, outbox) for outbox in (make_outbox(me=0), make_outbox(me=1)))
    a.outbox.put(SendMessage(None, OwnerLoad(1, 2), CHANGE), 0.0)
    a.outbox.put(SendMessage(1, Ping(3, 4), LEASE), 0.0)
    first, second = a.take_posts(0.0)
    assert (first.peer, second.peer) == ("1", "*")
    received = b.receive(0, first.content)
    assert isinstance(received, ReceivedDatagram) and received.messages == (Ping(3, 4),)
    assert b.receive(0, first.content) is None
    assert b.receive(2, second.content) is None
    assert b.rejected == {RejectReason.REPEATED: 1, RejectReason.SENDER: 1}
    assert isinstance(b.receive(0, second.content), ReceivedDatagram)


REJECTED_CONTENTS = {"-": "foreign", "aGkgNw=": "malformed", "a\nGkgNw==": "malformed", "é" * 8: "malformed"}
REJECTED_CONTENTS |= {
    "é" * (MAX_CONTENT_CHARACTERS + 4): "oversized",
    encode_content(bytes(257)): "oversized",
}


@pytest.mark.parametrize("content", REJECTED_CONTENTS)
def test_a_simulator_message_that_is_no_datagram_is_rejected(content: str) -> None:
    b = SimulatorTransport(make_outbox(me=1).wire, make_outbox(me=1))
    assert b.receive(0, content) is None
    assert b.rejected == {RejectReason(REJECTED_CONTENTS[content]): 1}
    assert encode_content(b"") == "-"


SUBJECT_FIELDS = ("lease", "limit", "subject", "channel", "bundle", "peer")


@pytest.mark.parametrize("message_type", MESSAGE_TYPES.values())
def test_a_routine_message_is_replaced_by_a_newer_one_on_the_same_subject(
    message_type: type[PeerMessage],
) -> None:
    fields = CODEC.formats[message_type.KIND].field_names
    message = message_type(*range(1, 1 + len(fields)))
    subjects = [getattr(message, field) for field in SUBJECT_FIELDS if field in fields]
    assert subject_of(message) == (subjects[0] if subjects else None)
