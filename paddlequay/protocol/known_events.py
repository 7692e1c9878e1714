"""Formats endpoints and purges in the form of the endpoint watch, and digests the known events of a start.

The two processes of a hot restart exchange them in this form (docs/discovery.md).
"""

import json
from collections.abc import Iterable, Mapping
from typing import Any

import xxhash

from paddlequay.protocol.endpoint_watch import (
    MS_PER_S,
    STATES,
    Endpoint,
    EndpointList,
    EndpointWatchError,
    PurgeEvent,
    WatchHeartbeat,
    parse_event,
)
from paddlequay.routing.interface import MemberState

LIFECYCLES = {state: name for name, state in STATES.items()}
MS_DECIMALS = 3  # of a time in milliseconds: more than the clock has, and without errors of binary fractions


def digest_known_events(known: Mapping[str, Any]) -> str:
    """Returns a digest of the known events of a configuration, which identifies the numbering of its events.

    The source counts events anew for each start that gets known events of its own. A replacement that starts
    with the same known events gets the same numbers.
    """
    text = json.dumps(known, sort_keys=True, separators=(",", ":"))
    return xxhash.xxh3_128_hexdigest(text.encode())


def format_endpoint(endpoint: Endpoint) -> dict[str, Any]:
    """Returns the entry of an endpoint."""
    member = endpoint.member
    lifecycle = LIFECYCLES[member.state or MemberState.READY]
    if member.state is MemberState.REMOVED:
        return {"instanceId": member.name, "lifecycle": lifecycle}
    host, port = endpoint.address
    entry = {
        "instanceId": member.name,
        "hostPort": f"{host}:{port}",
        "zone": member.zone,
        "machineType": member.kind,
        "cell": member.cell,
        "lifecycle": lifecycle,
        "weight": member.weight,
        "startedAtMs": to_milliseconds(member.started or 0.0),
    }
    return {name: value for name, value in entry.items() if value is not None}


def format_endpoint_list(
    number: int, endpoints: Iterable[Endpoint], draining_ids: Iterable[str] = (), full: bool = False
) -> dict[str, Any]:
    """Returns an event with endpoints, and with ids whose members drain."""
    instances = [format_endpoint(endpoint) for endpoint in endpoints]
    # Without an address the entry is invalid, so that the member with this id drains.
    instances += [{"instanceId": name, "lifecycle": "terminating"} for name in draining_ids]
    return {"no": number, "roster": {"reset": full, "instances": instances}}


def format_purge(purge: PurgeEvent) -> dict[str, Any]:
    """Returns the event of a purge."""
    scope: dict[str, Any] = {"lot": purge.group} if purge.key is None else {"item": f"{purge.key:016x}"}
    return {"no": purge.number, "recall": scope | {"issued": to_milliseconds(purge.issued_at)}}


def format_event(event: EndpointList | PurgeEvent) -> dict[str, Any]:
    """Returns an event as its source wrote it, but for entries that are invalid and do not drain."""
    if isinstance(event, PurgeEvent):
        return format_purge(event)
    return format_endpoint_list(event.number, event.endpoints, event.draining_ids, event.full)


def parse_known_event(item: Any) -> EndpointList | PurgeEvent:
    """Returns an event that `format_event` has formatted. Raises `EndpointWatchError`."""
    event = parse_event(item)
    if isinstance(event, WatchHeartbeat):
        raise EndpointWatchError("expected an event, got a heartbeat")
    return event


def to_milliseconds(seconds: float) -> float:
    """Returns a Unix time in milliseconds, without decimals where there are none."""
    milliseconds = round(seconds * MS_PER_S, MS_DECIMALS)
    return int(milliseconds) if milliseconds.is_integer() else milliseconds
