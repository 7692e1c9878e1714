"""Messages of the hot-restart link on what sources of members have told."""

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from paddlequay.protocol.hot_restart import (
    InheritedMembers,
    LinkMessage,
    LinkProtocolError,
    ListChanges,
    pack,
    unpack,
)
from paddlequay.protocol.membership_records import MAX_RECORDS_PER_MESSAGE, state_in_parts
from paddlequay.routing.interface import MemberState
from paddlequay.routing.membership_state import (
    FlapRecord,
    MembershipState,
    ReportedMember,
    ReportRecord,
    StartRecord,
    join_states,
)

MEMBER = ["box-1", "127.0.0.1", 80, "box", "here", 0, 1.0, 0.0, "ready"]
REPORT = ["list", *MEMBER, 1000.0, None]
FLAP = ["127.0.0.1", 80, 5.0, 1000.0, [999.0], True]

TIMES = st.floats(0, 1e10)
TEXTS = st.text(max_size=20)
ADDRESSES = st.tuples(TEXTS, st.integers(0, 65_535))
MEMBERS = st.builds(
    ReportedMember,
    TEXTS,
    ADDRESSES,
    st.none() | TEXTS,
    st.none() | TEXTS,
    st.none() | st.integers(0, 1000),
    st.none() | st.floats(0, 1e6),
    st.none() | TIMES,
    st.sampled_from(MemberState),
)
STATES = st.builds(
    MembershipState,
    st.lists(st.tuples(TEXTS, TIMES), max_size=3).map(tuple),
    st.lists(st.builds(ReportRecord, TEXTS, MEMBERS, TIMES, st.none() | TIMES), max_size=3).map(tuple),
    st.lists(
        st.builds(FlapRecord, ADDRESSES, TIMES, TIMES, st.lists(TIMES, max_size=3).map(tuple), st.booleans()),
        max_size=3,
    ).map(tuple),
    st.lists(st.builds(StartRecord, TEXTS, ADDRESSES, TIMES), max_size=3).map(tuple),
    st.none() | TIMES,
)


@given(st.integers(0, 1 << 52), STATES, st.lists(MEMBERS, max_size=3))
def test_messages_are_read_as_they_were_written(
    number: int, state: MembershipState, members: list[ReportedMember]
) -> None:
    messages: list[LinkMessage] = [InheritedMembers(number, state), ListChanges(number, tuple(members))]
    for message in messages:
        assert unpack(pack(message)) == message


def changed(record: list[Any], at: int, value: Any) -> list[Any]:
    return [*record[:at], value, *record[at + 1 :]]


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        ({"reports": 3}, "reports: expected a list"),
        ({"reports": [REPORT] * (MAX_RECORDS_PER_MESSAGE + 1)}, "reports: expected a list of at most 500"),
        ({"reports": [REPORT[:-1]]}, "report: expected a list of 12 values"),
        ({"reports": [changed(REPORT, 0, None)]}, "source: expected a text"),
        ({"reports": [changed(REPORT, 1, "x" * 301)]}, "id: expected a text of at most 300"),
        ({"reports": [changed(REPORT, 3, 65_536)]}, "port: expected a number up to 65535"),
        ({"reports": [changed(REPORT, 3, True)]}, "port: expected a whole number"),
        ({"reports": [changed(REPORT, 6, 0.5)]}, "cell: expected a whole number"),
        ({"reports": [changed(REPORT, 7, float("nan"))]}, "weight: expected a finite number"),
        ({"reports": [changed(REPORT, 8, 10**400)]}, "started: expected a finite number"),
        ({"reports": [changed(REPORT, 9, "asleep")]}, "state: expected a known state, got 'asleep'"),
        ({"reports": [changed(REPORT, 10, None)]}, "reported_at: expected a finite number"),
        ({"reports": [changed(REPORT, 11, float("inf"))]}, "missing_since: expected a finite number"),
        ({"flaps": [FLAP[:3]]}, "flap: expected a list of 6 values"),
        ({"flaps": [changed(FLAP, 4, 7)]}, "changed_at: expected a list"),
        ({"flaps": [changed(FLAP, 5, 1)]}, "has_member: expected true or false"),
        ({"starts": [["box-1", "127.0.0.1", 80]]}, "start: expected a list of 4 values"),
        ({"heard": [["list", None]]}, "heard: expected a finite number"),
        ({"first": "soon"}, "first: expected a finite number"),
    ],
)
def test_malformed_records_are_refused_with_what_is_wrong(fields: dict[str, Any], expected: str) -> None:
    with pytest.raises(LinkProtocolError) as caught:
        unpack(json.dumps({"membership": 5} | fields).encode())
    assert expected in str(caught.value) and len(str(caught.value)) < 200


def test_malformed_changes_are_refused_with_what_is_wrong() -> None:
    for number, members in ((5, [MEMBER[:-1]]), (-1, [MEMBER]), (1 << 53, [MEMBER])):
        with pytest.raises(LinkProtocolError):
            unpack(json.dumps({"told": number, "members": members}).encode())


def test_values_that_a_later_version_appends_are_ignored() -> None:
    message = unpack(json.dumps({"membership": 5, "reports": [[*REPORT, "new"]], "more": 1}).encode())
    assert isinstance(message, InheritedMembers) and message.state.record_count == 1


def test_a_large_state_is_sent_in_parts_that_fit_a_line() -> None:
    longest = ReportedMember("x" * 300, ("h" * 45, 65_535), "k" * 200, "z" * 200, 1 << 40, 1 / 3, 1e9 / 3)
    reports = tuple(ReportRecord("list", longest, 1e9 / 3, 1e9 / 3) for _ in range(1_201))
    state = MembershipState((("list", 1.0),), reports, first_report_at=2.0)
    parts = list(state_in_parts(state))
    assert join_states(parts) == state and len(parts) == 4
    assert max(len(pack(InheritedMembers(1 << 52, part))) for part in parts) < 1024 * 1024
