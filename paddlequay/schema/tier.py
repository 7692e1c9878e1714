"""Reads the settings of a tier node in the cache hierarchy."""

import math
from dataclasses import dataclass
from pathlib import Path

from paddlequay.config.values import Address
from paddlequay.hierarchy.errors import FillPathError
from paddlequay.hierarchy.fill_path import Keyring, SigningKey
from paddlequay.hierarchy.fill_requests import NodeLimits
from paddlequay.hierarchy.migration import MigrationLimits
from paddlequay.hierarchy.topology import TopologyLimits
from paddlequay.routing.interface import Idempotency, RequestClass, SlowStart
from paddlequay.schema import paddlequay_pb2 as schema
from paddlequay.schema.text_settings import FieldChecker, parse_role

MAX_KEY_BYTES = 4096
DEFAULT_MEMORY_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class TierSettings:
    """The settings of one tier node.

    Attributes:
        name: The node's own name.
        group: The group of nodes that it belongs to.
        listen: The address on which it serves fills.
        console: The address of its operators' console; None for no console.
        feed: The address of the topology feed that it follows.
        folder: The folder in which it saves its state; None to save nothing.
        sockets: The limit on open descriptors.
        cores: The processor cores that it may use.
    """

    name: str
    group: str
    listen: Address
    console: Address | None
    feed: Address
    folder: Path | None
    sockets: int
    cores: float
    classes: tuple[RequestClass, ...]
    keys: tuple[SigningKey, ...]
    migration: MigrationLimits
    node: NodeLimits
    topology: TopologyLimits
    slow_start: SlowStart


def read_tier(path: Path) -> TierSettings:
    """Returns the settings in a file; raises `ConfigError` with file, line and field."""
    message, checker = parse_role(path, "tier")
    tier = message.tier
    folder = path.parent
    checker.node_name(tier.name, "tier.name")
    checker.node_name(tier.group, "tier.group")
    classes = read_classes(tier, checker)
    keys = read_keys(tier, checker, folder)
    slow_start = read_slow_start(tier, checker)
    return TierSettings(
        name=tier.name,
        group=tier.group,
        listen=checker.address(tier.listen, "tier.listen"),
        console=checker.address(tier.console, "tier.console") if tier.console else None,
        feed=checker.address(tier.feed, "tier.feed"),
        folder=folder / tier.folder if tier.folder else None,
        sockets=int(checker.positive(tier.sockets, "tier.sockets", 1024)),
        cores=checker.positive(tier.cores, "tier.cores", 1.0),
        classes=classes,
        keys=keys,
        migration=read_migration(tier.moves, checker),
        node=read_node_limits(tier, checker),
        topology=read_topology(tier.bounds, checker),
        slow_start=slow_start,
    )


def read_classes(tier: schema.Tier, checker: FieldChecker) -> tuple[RequestClass, ...]:
    """Returns the request classes; their names must be unique."""
    messages = getattr(tier, "class")
    if not messages:
        raise checker.error("tier.class", "expected at least one class")
    classes: list[RequestClass] = []
    for index, message in enumerate(messages):
        where = f"tier.class[{index}]"
        if not message.name or message.name in {each.name for each in classes}:
            raise checker.error(
                f"{where}.name", f"expected a unique name, got {message.name!r}", message.name
            )
        classes.append(read_class(message, where, checker))
    return tuple(classes)


def read_class(message: schema.Class, where: str, checker: FieldChecker) -> RequestClass:
    """Returns one request class; its deadlines must be above 0, its lifetimes 0 or more."""
    for name in ("aim_s", "deadline_s"):
        value = getattr(message, name)
        if not 0 < value < math.inf:
            raise checker.error(f"{where}.{name}", f"expected a number above 0, got {value:g}")
    for name in ("fresh_s", "grace_s"):
        value = getattr(message, name)
        if not 0 <= value < math.inf:
            raise checker.error(f"{where}.{name}", f"expected 0 or more, got {value:g}")
    return RequestClass(
        message.name,
        message.aim_s,
        message.deadline_s,
        Idempotency.IDEMPOTENT,
        freshness_lifetime=message.fresh_s,
        stale_if_error=message.grace_s,
    )


def read_keys(tier: schema.Tier, checker: FieldChecker, folder: Path) -> tuple[SigningKey, ...]:
    """Returns the keys that sign fill paths; reads their secrets from files."""
    keys: list[SigningKey] = []
    for index, message in enumerate(tier.hop_key):
        where = f"tier.hop_key[{index}]"
        try:
            with (folder / message.file).open("rb") as file:
                secret = file.read(MAX_KEY_BYTES).strip()
            valid_until = message.until_unix or math.inf
            keys.append(SigningKey(message.id, secret, message.since_unix, valid_until))
            Keyring(keys)
        except OSError as error:
            raise checker.error(f"{where}.file", f"{message.file}: {error.strerror}", message.file) from None
        except FillPathError as error:
            raise checker.error(f"{where}.id", str(error), message.id) from None
    if len({key.id for key in keys}) < len(keys):
        raise checker.error("tier.hop_key", "expected keys with different ids")
    return tuple(keys)


def read_slow_start(tier: schema.Tier, checker: FieldChecker) -> SlowStart:
    """Returns the slow start of restarted nodes; without slow start if the settings have no `cold`."""
    cold = tier.cold
    if not 0 <= cold.start <= 1:
        raise checker.error("tier.cold.start", f"expected a share from 0 to 1, got {cold.start:g}")
    if not tier.HasField("cold"):
        return SlowStart()
    return SlowStart(
        initial_share=checker.positive(cold.start, "tier.cold.start", 0.1),
        duration=checker.positive(cold.warm_after_s, "tier.cold.warm_after_s", 20.0),
        overload_multiple=checker.positive(cold.multiple, "tier.cold.multiple", 2.0),
        overload_window=checker.positive(cold.window_s, "tier.cold.window_s", 2.0),
    )


def read_migration(message: schema.Moves, checker: FieldChecker) -> MigrationLimits:
    """Returns the limits on migrations of objects between homes."""
    return MigrationLimits(
        earlier_home_s=checker.positive(message.window_s, "tier.moves.window_s", 60.0),
        claim_s=checker.positive(message.claim_s, "tier.moves.claim_s", 10.0),
        lookups_per_s=checker.positive(message.look_rate, "tier.moves.look_rate", 200.0),
    )


def read_node_limits(tier: schema.Tier, checker: FieldChecker) -> NodeLimits:
    """Returns the limits on copies, fills and waiting requests."""
    bounds = tier.bounds
    memory_bytes = checker.positive(tier.memory_bytes, "tier.memory_bytes", DEFAULT_MEMORY_BYTES)
    return NodeLimits(
        max_cache_bytes=int(memory_bytes),
        max_fills=int(checker.positive(bounds.fills, "tier.bounds.fills", 2000)),
        max_waiters=int(checker.positive(bounds.joiners, "tier.bounds.joiners", 1000)),
        max_waiting=int(checker.positive(bounds.waiting, "tier.bounds.waiting", 10_000)),
        purge_memory_s=checker.positive(tier.purge_memory_s, "tier.purge_memory_s", 6.0),
        new_node_s=checker.positive(tier.moves.window_s, "tier.moves.window_s", 60.0),
        max_fill_s=checker.positive(bounds.fill_longest_s, "tier.bounds.fill_longest_s", 6.0),
    )


def read_topology(bounds: schema.Bounds, checker: FieldChecker) -> TopologyLimits:
    """Returns the limits on the size of the hierarchy."""
    return TopologyLimits(
        nodes=int(checker.positive(bounds.nodes, "tier.bounds.nodes", 20_000)),
        depth=int(checker.positive(bounds.depth, "tier.bounds.depth", 6)),
    )
