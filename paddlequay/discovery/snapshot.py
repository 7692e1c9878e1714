"""Converts members to and from the form in which they are saved: one list of values per member."""

from collections.abc import Iterable
from typing import Any

from paddlequay.routing.interface import MemberState
from paddlequay.routing.membership_state import ReportedMember


def members_to_data(members: Iterable[ReportedMember]) -> dict[str, Any]:
    """Returns members in their stored form, as JSON values."""
    return {
        "members": [
            [m.id, m.address[0], m.address[1], m.kind, m.zone, m.cell, m.weight, m.started, m.state.value]
            for m in members
        ]
    }


def members_from_data(data: Any) -> list[ReportedMember]:
    """Returns members from their stored form; raises ValueError if it cannot be read."""
    try:
        return [
            ReportedMember(str(i), (str(h), int(p)), k, z, c, w, s, MemberState(state))
            for i, h, p, k, z, c, w, s, state in data["members"]
        ]
    except (KeyError, TypeError, ValueError) as error:
        raise ValueError(f"saved members cannot be read: {type(error).__name__} {error}") from None
