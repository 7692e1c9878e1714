"""Reads the settings of a router cluster: lease acceptors, time bounds, limits and channels."""

import math
from pathlib import Path

from paddlequay.cluster.settings import ChannelRule, ClusterSettings, LimitRule, LimitScope, PartitionMode
from paddlequay.cluster.types import MAX_PEERS, ClusterBounds
from paddlequay.schema import paddlequay_pb2 as schema
from paddlequay.schema.text_settings import FieldChecker, parse_role

MAX_LIMITS = 64
MAX_ACCEPTORS = 9  # a lease sends datagrams to every acceptor, and 5 of 9 are unlikely to fail at once
MAX_RATE_PER_S = 1e6
MAX_MATCH_CHARS = 200
SCOPES = {
    schema.Limit.CLASS: LimitScope.CLASS,
    schema.Limit.TENANT: LimitScope.TENANT,
    schema.Limit.GROUP: LimitScope.GROUP,
    schema.Limit.SOURCE: LimitScope.SOURCE,
    schema.Limit.MEMBER: LimitScope.MEMBER,
}
MODES = {schema.Limit.STRICT: PartitionMode.STRICT, schema.Limit.OPEN: PartitionMode.OPEN}


def read_cluster(path: Path) -> ClusterSettings:
    """Returns the settings in a file; raises `ConfigError` with file, line and field."""
    message, checker = parse_role(path, "cluster")
    cluster = message.cluster
    checker.unique_names([cluster.name], "cluster.name")
    acceptors = read_acceptors(cluster, checker)
    bounds = read_bounds(cluster.bounds, checker)
    if len(cluster.limit) > MAX_LIMITS:
        raise checker.error("cluster.limit", f"expected at most {MAX_LIMITS}, got {len(cluster.limit)}")
    checker.unique_names((limit.name for limit in cluster.limit), "cluster.limit.name")
    limits = tuple(read_limit(limit, f"cluster.limit[{n}]", checker) for n, limit in enumerate(cluster.limit))
    channels = read_channels(cluster.channels, checker) if cluster.HasField("channels") else None
    if (limits or channels or cluster.rules) and not acceptors:
        raise checker.error("cluster.acceptor", "limits, channels and rules use leases, which need acceptors")
    if "\0" in cluster.rules:
        raise checker.error("cluster.rules", "expected a path without NUL characters")
    return ClusterSettings(
        name=cluster.name,
        acceptors=acceptors,
        bounds=bounds,
        bytes_per_s=int(
            checker.between(cluster.bytes_per_s, "cluster.bytes_per_s", 16_000, 1000, 10_000_000)
        ),
        pings_per_s=checker.between(cluster.pings_per_s, "cluster.pings_per_s", 1.0, 0.1, 20.0),
        verdicts=cluster.verdicts,
        limits=limits,
        channels=channels,
        placement_rules=path.parent / cluster.rules if cluster.rules else None,
    )


def read_acceptors(cluster: schema.Cluster, checker: FieldChecker) -> tuple[int, ...]:
    """Returns the numbers of the routers that vote on leases: an odd count of them, or none."""
    acceptors = tuple(cluster.acceptor)
    if len(set(acceptors)) < len(acceptors):
        raise checker.error("cluster.acceptor", "expected each number once")
    if len(acceptors) > MAX_ACCEPTORS or (acceptors and len(acceptors) % 2 == 0):
        raise checker.error("cluster.acceptor", f"expected 1, 3, 5, 7 or 9 numbers, got {len(acceptors)}")
    if any(number >= MAX_PEERS for number in acceptors):
        raise checker.error("cluster.acceptor", f"expected numbers under {MAX_PEERS}")
    return acceptors


def read_bounds(message: schema.ClusterBounds, checker: FieldChecker) -> ClusterBounds:
    """Returns the time bounds, the same at all routers; a grant must not outlast the lease that backs it."""
    default = ClusterBounds()

    def between(field: str, default_value: float, lowest: float, highest: float) -> float:
        value = getattr(message, field)
        return checker.between(value, f"cluster.bounds.{field}", default_value, lowest, highest)

    bounds = ClusterBounds(
        drift_ratio=between("drift", default.drift_ratio, 0.001, 0.25),
        lease_s=between("lease_s", default.lease_s, 0.3, 60.0),
        grant_validity_s=between("grant_s", default.grant_validity_s, 0.1, 60.0),
        suspicion_timeout_s=between("suspect_s", default.suspicion_timeout_s, 0.1, 60.0),
        evidence_s=between("evidence_s", default.evidence_s, 0.5, 60.0),
        overlap_s=between("overlap_s", default.overlap_s, 0.05, 10.0),
        epoch_validity_s=between("epoch_s", default.epoch_validity_s, 1.0, 86_400.0),
    )
    if bounds.grant_validity_s > bounds.lease_s:
        raise checker.error("cluster.bounds.grant_s", f"expected at most the lease, {bounds.lease_s:g}")
    return bounds


def read_limit(message: schema.Limit, where: str, checker: FieldChecker) -> LimitRule:
    """Returns one limit: either a rate with its burst, or a maximum of requests in flight."""
    if not message.match or len(message.match) > MAX_MATCH_CHARS:
        raise checker.error(
            f"{where}.match", f'expected a text of 1 to {MAX_MATCH_CHARS} characters, or "*"', message.match
        )
    for field, known in (("by", SCOPES), ("mode", MODES)):
        value = getattr(message, field)
        if value not in known:
            raise checker.error(
                f"{where}.{field}", f"expected a name that the schema defines, got {value}", str(value)
            )
    scope = SCOPES[message.by]
    is_number = message.match.isdecimal() and str(int(message.match)) == message.match
    if scope is LimitScope.GROUP and message.match != "*" and not is_number:
        raise checker.error(
            f"{where}.match", f"expected a group's number, got {message.match!r}", message.match
        )
    if bool(message.rate) == bool(message.at_once):
        raise checker.error(f"{where}.rate", f"{message.name}: expected either rate or at_once")
    if message.at_once and message.burst:
        raise checker.error(f"{where}.burst", f"{message.name}: burst is only allowed with rate")
    if message.over and message.mode != schema.Limit.OPEN:
        raise checker.error(f"{where}.over", f"{message.name}: over is only allowed with mode OPEN")
    rate = checker.between(message.rate, f"{where}.rate", 0.0, 0.001, MAX_RATE_PER_S)
    return LimitRule(
        name=message.name,
        scope=scope,
        match=message.match,
        rate_per_s=rate or None,
        burst=checker.between(message.burst, f"{where}.burst", 1.0, 1.0, MAX_RATE_PER_S),
        max_in_flight=int(checker.between(message.at_once, f"{where}.at_once", 0, 1, MAX_RATE_PER_S)) or None,
        mode=MODES[message.mode],
        open_factor=checker.between(message.over, f"{where}.over", 2.0, 1.0, 100.0),
        floor_ratio=checker.between(message.floor, f"{where}.floor", 0.2, 0.001, 1.0),
    )


def read_channels(message: schema.Channels, checker: FieldChecker) -> ChannelRule:
    """Returns which request classes form channels, and how channels are distributed over routers."""
    classes = tuple(getattr(message, "class"))
    if not classes:
        raise checker.error("cluster.channels.class", "expected at least one class")
    checker.unique_names(classes, "cluster.channels.class")
    default = ChannelRule(classes)

    def between(field: str, default_value: float, lowest: float, highest: float) -> float:
        value = getattr(message, field)
        return checker.between(value, f"cluster.channels.{field}", default_value, lowest, highest)

    return ChannelRule(
        classes=classes,
        bundles=int(between("bundles", default.bundles, 1, 1024)),
        prefetch_parts=int(between("ahead", default.prefetch_parts, 1, 8)),
        idle_timeout_s=between("live_s", default.idle_timeout_s, 0.5, 60.0),
        max_channels=int(between("most", default.max_channels, 1, 100_000)),
        rebalance_ratio=between("move_above", default.rebalance_ratio, 1.05, math.inf),
    )
