"""What the router is told at its start, from environment and JSON file, and the limits that follow."""

import json
import tempfile
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import quote

from paddlequay.interface import Settings
from paddlequay.settings import SettingsError, settings_from

Address = tuple[str, int]

OWN_DESCRIPTORS = 40  # listeners, console, bulletin, link to the other process, event loop, log


class ConfigError(ValueError):
    """A configuration that cannot be used, said in one plain line."""


@dataclass(frozen=True, slots=True)
class Limits:
    """Every size, count and time of the program outside the decisions; filled once and handed down.

    Times are seconds, sizes are bytes.
    """

    # Clients.
    client_connections: int = 341
    client_streams: int = 32
    client_frame: int = 64 * 1024
    client_unsent: int = 12 * 1024 * 1024
    all_unsent: int = 48 * 1024 * 1024
    client_stall: float = 10.0
    client_silent: float = 2.5  # without a byte, before the first one or inside a message: slow ones move
    moving: float = 0.5  # who has gone on with a message this lately is not closed for who comes
    client_idle: float = 6.0  # clients themselves close after 4 s
    client_body: int = 48_000
    client_turned: int = 32  # refusals or errors in a row, after which a connection is read
    client_pause: float = 0.02  # only once in this time
    ttl_most: float = 1.5  # of the class's deadline; no client waits longer than the deadline
    part_most: int = 65_535
    group_most: int = 255
    open_requests: int = 20000
    held_bodies: int = 24 * 1024 * 1024
    answer_margin: float = 0.025  # of the time to live: the way from and to the client
    busy_pushback: float = 0.2  # told where the router itself, not the decisions, turns a request away
    accepts: int = 16  # connections taken in one turn of the loop
    client_chunk: int = 4096  # some 25 requests: what waits behind them, purges above all, has its turn
    beat: float = 0.05  # how often the program looks at its own load
    busy_share: float = 0.96  # of the core: past it, new requests are turned away, more at each beat
    cores: float = 1.0
    late_beat: float = 0.03  # a beat this late tells the same
    shed_step: float = 0.06
    shed_pushback: float = 1.0
    # Caches.
    connect_timeout: float = 0.4
    cache_streams: int = 32
    cache_connections: int = 8  # to one instance
    cache_fresh: float = 0.1  # idle for longer, a connection takes nothing that must not run twice
    cache_share: int = 4  # requests out on a connection before another is opened
    all_cache_connections: int = 650
    cache_stall: float = 0.2  # without a byte inside an answer, which comes in one piece
    cache_unheard: int = 4  # requests written on a connection and nothing heard on it,
    instance_unheard: int = 6  # or on all to an instance and nothing heard on any,
    cache_silence: float = 0.5  # with nothing for this long: looked at for silence; fleet/silence.py decides
    cache_usual: float = 0.3  # what an answer is taken to need until answers tell
    cache_idle: float = 24.0
    cache_ids: int = 512  # remembered by a connection, so that none comes twice on it
    cache_line: int = 4096
    cache_object: int = 240_000
    least_budget: float = 0.002  # less time left than this and nothing is written any more
    attempts: int = 6
    purge_memory: float = 6.0
    # The bulletin.
    bulletin_line: int = 4 * 1024 * 1024
    bulletin_silence: float = 2.2  # heartbeats come every second
    bulletin_connect: float = 1.0
    bulletin_pause: float = 0.2
    # The end.
    accept_after_term: float = 0.5
    serve_after_term: float = 0.75
    drain_accept: float = 0.45  # new connections still come, and are served, for this long after a drain
    drain_surrender: float = 3.0  # what is open then is given up,
    drain_close: float = 3.3  # and what is not closed by then is closed: at 4 s none may be left
    drain_longest: float = 3.5  # then all that is open is given up
    drain_refuse: float = 2.6  # connections that are never quiet get nothing new done from here on
    flush_longest: float = 0.5
    late_comer: float = 0.5  # who has connected this lately and asked nothing yet is about to
    # One process replaces another.
    twin_line: int = 1024 * 1024
    twin_connect: float = 1.0
    confirm_longest: float = 0.6  # the other process obeys an order; the call is owed its answer within 1 s
    warm_longest: float = 2.5  # bulletin and connections of a newer process, whose yes is due within 6 s
    half_longest: float = 2.5  # at the end, a message that is not whole is waited for
    # The operators' console.
    console_connections: int = 16
    console_head: int = 8 * 1024
    console_body: int = 64 * 1024
    console_half: float = 5.0  # to a whole call
    console_longest: float = 8.0
    console_linger: float = 0.3  # after the answer, for what the caller still sends
    # All.
    own_descriptors: int = OWN_DESCRIPTORS
    read_chunk: int = 64 * 1024
    sweep: float = 0.25
    counters_every: float = 5.0  # a replay's logs tell where requests went without an end by SIGTERM


@dataclass(frozen=True, slots=True)
class Peering:
    """How a router reaches the others of its tier: its number, where it listens, their addresses in order."""

    me: int
    listen: Address
    peers: tuple[Address, ...]
    to_all: Address | None


@dataclass(frozen=True, slots=True)
class Config:
    """One router's configuration."""

    name: str
    listen: Address
    bulletin: Address
    seed: int
    settings: Settings
    known: Mapping[str, Any]
    limits: Limits = field(default_factory=Limits)
    console: Address | None = None
    peering: Peering | None = None  # None: the platform names no peers, or does not allow them
    folder: Path = Path(tempfile.gettempdir())  # for what outlives this process

    def file(self, ending: str) -> Path:
        """A file of this router's own."""
        return self.folder / f"paddlequay-{quote(self.name, safe='')[:60]}.{ending}"


def address(text: Any, name: str) -> Address:
    """`host:port` as a pair."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not (colon and host and port.isdecimal() and 0 <= int(port) < 65536):
        raise ConfigError(f"{name}: expected host:port, got {text!r}")
    return host, int(port)


def positive(data: Mapping[str, Any], path: str, default: float) -> float:
    """A figure above 0 at a dotted path, or the default where none is told."""
    where: Any = data
    for step in path.split("."):
        where = where.get(step) if isinstance(where, Mapping) else None
    if where is None:
        return default
    if isinstance(where, bool) or not isinstance(where, int | float) or not where > 0:
        raise ConfigError(f"{path}: expected a number above 0, got {where!r}")
    return float(where)


def limits_from(data: Mapping[str, Any], settings: Settings) -> Limits:
    """The limits that deployment and settings tell; the rest are the program's own."""
    sockets = positive(data, "limits.sockets", 1024)
    memory = positive(data, "limits.memory_mb", 192) * 1024 * 1024
    wire = data["settings"]
    keepalive = positive(wire, "limits.keepalive", 30.0)
    clients = max(1, int(sockets / 3) - 1)
    mean_aim = sum(kind.aim for kind in settings.classes) / len(settings.classes)
    return Limits(
        client_connections=clients,
        # The rest is for what the program needs by itself, and for sockets about to be closed.
        all_cache_connections=max(4, int(sockets) - clients - OWN_DESCRIPTORS),
        cores=positive(data, "limits.cores", 1.0),
        all_unsent=int(memory / 4),
        client_unsent=int(memory / 8),
        held_bodies=int(memory / 8),
        open_requests=int(positive(wire, "limits.maxOpen", 20000)),
        connect_timeout=positive(wire, "limits.dialTimeout", 0.4),
        cache_streams=int(positive(wire, "limits.streamsPerConn", 32)),
        cache_idle=0.8 * keepalive,
        # Of the order of the aims: a deployment of larger objects takes longer for each answer.
        cache_silence=1.1 * mean_aim,
        cache_usual=0.5 * mean_aim,
        attempts=int(positive(wire, "limits.attemptsCap", 6)),
        purge_memory=positive(wire, "extra.clearedWithin", 6.0),
        # It is killed 0.7 s after the longest deadline, which counts as 3 s where it is longer.
        drain_longest=min(3.0, max(kind.deadline for kind in settings.classes)) + 0.5,
    )


def read_peering(data: Mapping[str, Any]) -> Peering | None:
    """The peers, where the platform names them and the settings allow them; else None."""
    wire = data["settings"]
    allowed = wire.get("limits", {}).get("peers") if isinstance(wire.get("limits", {}), dict) else None
    peers, me = data.get("peers"), wire.get("me")
    if allowed is not True or peers is None:
        return None
    if not isinstance(peers, list):
        raise ConfigError(f"peers: expected a list of addresses, got {str(peers)[:60]!r}")
    if isinstance(me, bool) or not isinstance(me, int) or not 0 <= me < len(peers):
        raise ConfigError(f"settings.me: expected a number under {len(peers)}, got {me!r}")
    to_all = data.get("peers_all")
    return Peering(
        me,
        address(data.get("peer_listen"), "peer_listen"),
        tuple(address(each, f"peers[{place}]") for place, each in enumerate(peers)),
        None if to_all is None else address(to_all, "peers_all"),
    )


def read_config(environment: Mapping[str, str], peers: bool = False) -> Config:
    """The configuration named by `ROUTER_CONFIG`; `ROUTER_NAME` and `ROUTER_LISTEN` come first where set.

    `peers`: whether how to reach the other routers is read too.
    """
    path = environment.get("ROUTER_CONFIG")
    if not path:
        raise ConfigError("ROUTER_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            data = json.load(file)
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from None
    if not isinstance(data, dict) or not isinstance(data.get("settings"), dict):
        raise ConfigError(f"{path}: expected a JSON object with settings")
    known = data.get("known") or {"no": 0, "items": []}
    if not (isinstance(known, dict) and isinstance(known.get("items"), list)):
        raise ConfigError("known: expected an object with no and items")
    console = environment.get("ROUTER_CONSOLE") or data.get("console")
    try:
        settings = settings_from(data["settings"])
        seed = int(str(data.get("seed") or "0"), 16)
    except SettingsError as error:
        raise ConfigError(str(error)) from None
    except ValueError:
        raise ConfigError(f"seed: expected hex digits, got {data.get('seed')!r}") from None
    return Config(
        name=environment.get("ROUTER_NAME") or str(data.get("name", "router")),
        listen=address(environment.get("ROUTER_LISTEN") or data.get("listen"), "listen"),
        bulletin=address(data.get("bulletin"), "bulletin"),
        seed=seed,
        settings=settings,
        known=known,
        limits=limits_from(data, settings),
        console=None if console is None else address(console, "console"),
        peering=read_peering(data) if peers else None,
        folder=Path(environment.get("TMPDIR") or tempfile.gettempdir()),
    )
