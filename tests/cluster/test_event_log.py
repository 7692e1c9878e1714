"""The names of events in log lines and counters are independent of the names of types and attributes."""

from typing import get_args

import pytest

from paddlequay.cluster.types import LocalEvent, PeerChanged, PeerState
from paddlequay.net.cluster.event_log import EVENT_FIELDS, log_fields, log_name

EVENT_TYPES = get_args(LocalEvent)


def test_every_local_event_has_log_fields() -> None:
    assert set(EVENT_FIELDS) == set(EVENT_TYPES)


@pytest.mark.parametrize("event_type", EVENT_TYPES)
def test_every_attribute_of_a_local_event_is_logged_in_order(event_type: type[LocalEvent]) -> None:
    assert list(EVENT_FIELDS[event_type].values()) == list(event_type.__slots__)


def test_log_line_uses_the_external_names_of_the_event_and_its_fields() -> None:
    event = PeerChanged(3, 7, PeerState.DEAD)
    assert log_name(event) == "PeerChanged"
    assert list(log_fields(event)) == [("peer", 3), ("incarnation", 7), ("standing", PeerState.DEAD)]
