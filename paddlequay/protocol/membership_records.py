"""Formats and parses what a membership was told, as the two processes of a hot restart exchange it.

Each record is a list of values in a fixed order. A later version may append values; they are ignored.
"""

from collections.abc import Callable, Iterable, Iterator, Mapping
from itertools import islice
from typing import Any, TypeVar

from paddlequay.errors import PaddlequayError
from paddlequay.protocol.endpoint_watch import Endpoint
from paddlequay.routing.interface import Member, MemberState
from paddlequay.routing.membership_state import (
    Address,
    FlapRecord,
    MembershipState,
    ReportedMember,
    ReportRecord,
    StartRecord,
)

# Per message: with names, zones and kinds of 200 characters each, well below the link's largest line.
MAX_RECORDS_PER_MESSAGE = 500
MAX_TEXT_CHARS = 300
MAX_PORT = 65_535
MAX_MAGNITUDE = 1 << 53  # of a number; JSON integers are exact up to here
MAX_CHANGES_PER_FLAP_RECORD = 1000
MAX_QUOTED_CHARS = 40  # of an invalid value that an error quotes

T = TypeVar("T")


class MembershipRecordError(PaddlequayError, ValueError):
    """A record of a member, a report or a pause is malformed."""


def reported_member(listed: Endpoint) -> ReportedMember:
    """Returns an endpoint as a reported member."""
    member = listed.member
    return ReportedMember(
        member.name,
        listed.address,
        member.kind,
        member.zone,
        member.cell,
        member.weight,
        member.started,
        member.state or MemberState.READY,
    )


def endpoint_of(member: ReportedMember) -> Endpoint:
    """Returns a reported member as an endpoint."""
    return Endpoint(
        Member(
            member.id,
            member.zone,
            member.kind,
            member.cell,
            member.state,
            member.weight,
            member.started or 0.0,
        ),
        member.address,
    )


def in_parts(items: Iterable[T], size: int) -> Iterator[tuple[T, ...]]:
    """Yields the items in tuples of at most `size`."""
    iterator = iter(items)
    while part := tuple(islice(iterator, size)):
        yield part


def state_in_parts(state: MembershipState) -> Iterator[MembershipState]:
    """Yields a state in parts of at most `MAX_RECORDS_PER_MESSAGE` records."""
    yield MembershipState(state.last_heard_at, first_report_at=state.first_report_at)
    for reports in in_parts(state.reports, MAX_RECORDS_PER_MESSAGE):
        yield MembershipState(reports=reports)
    for flaps in in_parts(state.flaps, MAX_RECORDS_PER_MESSAGE):
        yield MembershipState(flaps=flaps)
    for starts in in_parts(state.starts, MAX_RECORDS_PER_MESSAGE):
        yield MembershipState(starts=starts)


def format_state(state: MembershipState) -> dict[str, Any]:
    """Returns a state as the fields of a message."""
    fields = {
        "heard": state.last_heard_at,
        "reports": [
            [each.source, *format_member(each.member), each.reported_at, each.missing_since]
            for each in state.reports
        ],
        "flaps": [
            [*each.address, each.pause, each.paused_until, each.changed_at, each.has_member]
            for each in state.flaps
        ],
        "starts": [[each.id, *each.address, each.started] for each in state.starts],
        "first": state.first_report_at,
    }
    return {name: value for name, value in fields.items() if value not in ((), [], None)}


def parse_state(fields: Mapping[Any, Any]) -> MembershipState:
    """Returns the state that a message holds. Raises `MembershipRecordError`."""
    return MembershipState(
        tuple(map(parse_last_heard, records(fields, "heard"))),
        tuple(map(parse_report, records(fields, "reports"))),
        tuple(map(parse_flap, records(fields, "flaps"))),
        tuple(map(parse_start, records(fields, "starts"))),
        optional(number, fields.get("first"), "first"),
    )


def format_member(member: ReportedMember) -> list[Any]:
    """Returns the values of a member."""
    return [
        member.id,
        *member.address,
        member.kind,
        member.zone,
        member.cell,
        member.weight,
        member.started,
        member.state.value,
    ]


def parse_member(values: Any) -> ReportedMember:
    """Returns the member that `format_member` has formatted. Raises `MembershipRecordError`."""
    id, host, port, kind, zone, cell, weight, started, state = fixed(values, 9, "member")
    try:
        known_state = MemberState(state)
    except ValueError:
        raise invalid("state", "a known state", state) from None
    return ReportedMember(
        text(id, "id"),
        parse_address(host, port),
        optional(text, kind, "kind"),
        optional(text, zone, "zone"),
        optional(whole_number, cell, "cell"),
        optional(number, weight, "weight"),
        optional(number, started, "started"),
        known_state,
    )


def parse_last_heard(values: Any) -> tuple[str, float]:
    """Returns a source and when it was last heard. Raises `MembershipRecordError`."""
    source, last_heard_at = fixed(values, 2, "heard")
    return text(source, "source"), number(last_heard_at, "heard")


def parse_report(values: Any) -> ReportRecord:
    """Returns a report. Raises `MembershipRecordError`."""
    source, *member, reported_at, missing_since = fixed(values, 12, "report")
    return ReportRecord(
        text(source, "source"),
        parse_member(member),
        number(reported_at, "reported_at"),
        optional(number, missing_since, "missing_since"),
    )


def parse_flap(values: Any) -> FlapRecord:
    """Returns the changes and the pause of an address. Raises `MembershipRecordError`."""
    host, port, pause, paused_until, changed_at, has_member = fixed(values, 6, "flap")
    if not isinstance(changed_at, list) or len(changed_at) > MAX_CHANGES_PER_FLAP_RECORD:
        raise invalid("changed_at", f"a list of at most {MAX_CHANGES_PER_FLAP_RECORD} times", changed_at)
    if not isinstance(has_member, bool):
        raise invalid("has_member", "true or false", has_member)
    return FlapRecord(
        parse_address(host, port),
        number(pause, "pause"),
        number(paused_until, "paused_until"),
        tuple(number(each, "changed_at") for each in changed_at),
        has_member,
    )


def parse_start(values: Any) -> StartRecord:
    """Returns an assumed start time. Raises `MembershipRecordError`."""
    id, host, port, started = fixed(values, 4, "start")
    return StartRecord(text(id, "id"), parse_address(host, port), number(started, "started"))


def parse_address(host: Any, port: Any) -> Address:
    """Returns host and port; both are empty for a member whose address was never told."""
    name, at = text(host, "host"), whole_number(port, "port")
    if not 0 <= at <= MAX_PORT:
        raise invalid("port", f"a number up to {MAX_PORT}", port)
    return name, at


def records(fields: Mapping[Any, Any], name: str) -> list[Any]:
    """Returns a list of records; an empty one if the message has none. Raises `MembershipRecordError`."""
    value = fields.get(name, [])
    if not isinstance(value, list) or len(value) > MAX_RECORDS_PER_MESSAGE:
        raise invalid(name, f"a list of at most {MAX_RECORDS_PER_MESSAGE} records", value)
    return value


def fixed(values: Any, count: int, name: str) -> list[Any]:
    """Returns the first values of a record. Raises `MembershipRecordError` if there are fewer."""
    if not isinstance(values, list) or len(values) < count:
        raise invalid(name, f"a list of {count} values", values)
    return values[:count]


def text(value: Any, name: str) -> str:
    """Returns a text of at most `MAX_TEXT_CHARS` characters. Raises `MembershipRecordError`."""
    if not isinstance(value, str) or len(value) > MAX_TEXT_CHARS:
        raise invalid(name, f"a text of at most {MAX_TEXT_CHARS} characters", value)
    return value


def number(value: Any, name: str) -> float:
    """Returns a finite number. Raises `MembershipRecordError`."""
    if type(value) not in (int, float) or not abs(value) < MAX_MAGNITUDE:  # false for NaN
        raise invalid(name, "a finite number", value)
    return float(value)


def whole_number(value: Any, name: str) -> int:
    """Returns a whole number. Raises `MembershipRecordError`."""
    if type(value) is not int or abs(value) >= MAX_MAGNITUDE:
        raise invalid(name, "a whole number", value)
    return value


def optional(parse: Callable[[Any, str], T], value: Any, name: str) -> T | None:
    """Returns a value that may be absent. Raises `MembershipRecordError`."""
    return None if value is None else parse(value, name)


def invalid(name: str, expected: str, value: Any) -> MembershipRecordError:
    """Returns the error for an invalid value."""
    return MembershipRecordError(f"{name}: expected {expected}, got {str(value)[:MAX_QUOTED_CHARS]!r}")
