"""The settings of the cluster, checked: limits, channels, bounds, and who votes on leases."""

import math
from collections.abc import Iterable
from pathlib import Path

from paddlequay.cluster.settings import ChannelRule, ClusterSettings, LimitRule, LimitScope, PartitionMode
from paddlequay.cluster.types import MAX_PEERS, ClusterBounds
from paddlequay.errors import ConfigError
from paddlequay.hierarchy.topology import NODE_NAME
from paddlequay.schema import paddlequay_pb2 as schema
from paddlequay.schema.read import Lines, parsed

LIMITS_MOST = 64
ACCEPTORS_MOST = 9  # each lease asks all of them: more cost datagrams and stand no likelier failure
RATE_MOST = 1e6
SCOPES = {
    schema.Limit.CLASS: LimitScope.CLASS,
    schema.Limit.TENANT: LimitScope.TENANT,
    schema.Limit.GROUP: LimitScope.GROUP,
    schema.Limit.SOURCE: LimitScope.SOURCE,
    schema.Limit.MEMBER: LimitScope.MEMBER,
}
MODES = {schema.Limit.STRICT: PartitionMode.STRICT, schema.Limit.OPEN: PartitionMode.OPEN}


class Checked:
    """Figures of the file within their bounds, or an error that names line and field."""

    def __init__(self, lines: Lines) -> None:
        self.lines = lines

    def figure(self, value: float, field: str, default: float, least: float, most: float) -> float:
        """A figure within bounds; the default where the field is left out (0)."""
        if value == 0:
            return default
        if not least <= value <= most:  # also where it is not a number
            raise self.lines.error(field, f"expected {least:g} to {most:g}, got {value:g}", f"{value:g}")
        return value

    def apart(self, values: Iterable[str], field: str) -> None:
        """Names of their own."""
        seen: set[str] = set()
        for value in values:
            if not NODE_NAME.fullmatch(value):
                why = f"expected 1 to 64 letters, digits, - and _, got {value[:70]!r}"
                raise self.lines.error(field, why, value)
            if value in seen:
                raise self.lines.error(field, f"{value!r} stands there twice", value)
            seen.add(value)


def read_cluster(path: Path) -> ClusterSettings:
    """ConfigError with file, line and field where the settings cannot be used."""
    message, lines = parsed(path)
    if message.WhichOneof("role") != "cluster":
        raise ConfigError(f"{path}: expected cluster {{ ... }}")
    told, check = message.cluster, Checked(lines)
    check.apart([told.name], "cluster.name")
    acceptors = tuple(told.acceptor)
    if len(set(acceptors)) < len(acceptors):
        raise lines.error("cluster.acceptor", "a number stands there twice")
    if len(acceptors) > ACCEPTORS_MOST or (acceptors and len(acceptors) % 2 == 0):
        raise lines.error("cluster.acceptor", f"expected 1, 3, 5, 7 or 9 numbers, got {len(acceptors)}")
    if any(number >= MAX_PEERS for number in acceptors):
        raise lines.error("cluster.acceptor", f"expected numbers under {MAX_PEERS}")
    bounds = read_bounds(told.bounds, check)
    if len(told.limit) > LIMITS_MOST:
        raise lines.error("cluster.limit", f"at most {LIMITS_MOST}, got {len(told.limit)}")
    check.apart((limit.name for limit in told.limit), "cluster.limit.name")
    limits = tuple(read_limit(limit, f"cluster.limit[{n}]", check) for n, limit in enumerate(told.limit))
    channels = read_channels(told.channels, check) if told.HasField("channels") else None
    if (limits or channels or told.rules) and not acceptors:
        raise lines.error("cluster.acceptor", "limits, channels and rules need leases, and they acceptors")
    if "\0" in told.rules:
        raise lines.error("cluster.rules", "expected a path, got one with a NUL character")
    return ClusterSettings(
        name=told.name,
        acceptors=acceptors,
        bounds=bounds,
        bytes_per_s=int(check.figure(told.bytes_per_s, "cluster.bytes_per_s", 16_000, 1000, 10_000_000)),
        pings_per_s=check.figure(told.pings_per_s, "cluster.pings_per_s", 1.0, 0.1, 20.0),
        verdicts=told.verdicts,
        limits=limits,
        channels=channels,
        placement_rules=path.parent / told.rules if told.rules else None,
    )


def read_bounds(told: schema.ClusterBounds, check: Checked) -> ClusterBounds:
    """The times that all routers reckon with; a grant is no longer than the lease that it comes from."""
    usual = ClusterBounds()
    bounds = ClusterBounds(
        drift_ratio=check.figure(told.drift, "cluster.bounds.drift", usual.drift_ratio, 0.001, 0.25),
        lease_s=check.figure(told.lease_s, "cluster.bounds.lease_s", usual.lease_s, 0.3, 60.0),
        grant_s=check.figure(told.grant_s, "cluster.bounds.grant_s", usual.grant_s, 0.1, 60.0),
        suspect_s=check.figure(told.suspect_s, "cluster.bounds.suspect_s", usual.suspect_s, 0.1, 60.0),
        evidence_s=check.figure(told.evidence_s, "cluster.bounds.evidence_s", usual.evidence_s, 0.5, 60.0),
        overlap_s=check.figure(told.overlap_s, "cluster.bounds.overlap_s", usual.overlap_s, 0.05, 10.0),
        epoch_s=check.figure(told.epoch_s, "cluster.bounds.epoch_s", usual.epoch_s, 1.0, 86_400.0),
    )
    if bounds.grant_s > bounds.lease_s:
        raise check.lines.error("cluster.bounds.grant_s", f"expected at most the lease, {bounds.lease_s:g}")
    return bounds


def read_limit(told: schema.Limit, at: str, check: Checked) -> LimitRule:
    """One limit: a rate with its burst, or requests out at once."""
    lines = check.lines
    if not told.match or len(told.match) > 200:
        raise lines.error(f"{at}.match", 'expected what it is for, or "*"', told.match)
    for field, known in (("by", SCOPES), ("mode", MODES)):
        value = getattr(told, field)
        if value not in known:
            raise lines.error(f"{at}.{field}", f"expected a name of the schema, got {value}", str(value))
    scope = SCOPES[told.by]
    whole = told.match.isdecimal() and str(int(told.match)) == told.match
    if scope is LimitScope.GROUP and told.match != "*" and not whole:
        raise lines.error(f"{at}.match", f"expected a group's number, got {told.match!r}", told.match)
    if bool(told.rate) == bool(told.at_once):
        raise lines.error(f"{at}.rate", f"{told.name}: expected either rate or at_once")
    if told.at_once and told.burst:
        raise lines.error(f"{at}.burst", f"{told.name}: goes with rate only")
    if told.over and told.mode != schema.Limit.OPEN:
        raise lines.error(f"{at}.over", f"{told.name}: goes with mode OPEN only")
    rate = check.figure(told.rate, f"{at}.rate", 0.0, 0.001, RATE_MOST)
    return LimitRule(
        name=told.name,
        scope=scope,
        match=told.match,
        rate_per_s=rate or None,
        burst=check.figure(told.burst, f"{at}.burst", 1.0, 1.0, RATE_MOST),
        max_in_flight=int(check.figure(told.at_once, f"{at}.at_once", 0, 1, RATE_MOST)) or None,
        mode=MODES[told.mode],
        open_factor=check.figure(told.over, f"{at}.over", 2.0, 1.0, 100.0),
        floor_ratio=check.figure(told.floor, f"{at}.floor", 0.2, 0.001, 1.0),
    )


def read_channels(told: schema.Channels, check: Checked) -> ChannelRule:
    """Which classes make channels."""
    classes = tuple(getattr(told, "class"))
    if not classes:
        raise check.lines.error("cluster.channels.class", "expected at least one class")
    check.apart(classes, "cluster.channels.class")
    usual = ChannelRule(classes)

    def figure(field: str, default: float, least: float, most: float) -> float:
        return check.figure(getattr(told, field), f"cluster.channels.{field}", default, least, most)

    return ChannelRule(
        classes=classes,
        bundles=int(figure("bundles", usual.bundles, 1, 1024)),
        prefetch_parts=int(figure("ahead", usual.prefetch_parts, 1, 8)),
        idle_timeout_s=figure("live_s", usual.idle_timeout_s, 0.5, 60.0),
        max_channels=int(figure("most", usual.max_channels, 1, 100_000)),
        rebalance_ratio=figure("move_above", usual.rebalance_ratio, 1.05, math.inf),
    )
