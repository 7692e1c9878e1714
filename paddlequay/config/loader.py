"""What the router is told at its start, from environment and JSON file, and the limits that follow."""

import json
import re
import tempfile
from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from pathlib import Path
from typing import Any, TypedDict
from urllib.parse import quote

from paddlequay.routing.interface import Ramp, RequestClass, Settings
from paddlequay.config.settings import check, settings_from

Address = tuple[str, int]

OWN_DESCRIPTORS = 40  # listeners, console, bulletin, link to the other process, event loop, log
BESIDE_CONSOLE = 20  # of these, all but the console's calls; some 14 are held, the rest is for reconnects
MOST = 1e9  # of any figure told: what is beyond is a slip, and would end as an infinity in some mean
# Of the platform's page, as no setting tells them: SIGKILL comes so long after the longest deadline, which
# counts as no more than this.
KILL_AFTER, KILL_DEADLINE_MOST = 0.7, 3.0
# Words of a line to a cache are apart by spaces, and its fields by commas.
CLASS_NAME = re.compile(r"[^\s,]+")


class ConfigError(ValueError):
    """A configuration that cannot be used, said in one plain line."""


def one_line(why: object) -> str:
    """What another part says of it, as one line of at most 300 characters."""
    return " ".join(str(why).split())[:300]


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
    client_idle: float = 6.0  # clients themselves close after 4 s, by the platform's page
    client_body: int = 48_000
    client_turned: int = 32  # refusals or errors in a row, after which a connection is read
    client_pause: float = 0.02  # only once in this time
    ttl_most: float = 1.5  # of the class's deadline; no client waits longer than the deadline, but for a slip
    part_most: int = 65_535
    group_most: int = 255
    open_requests: int = 20000
    held_bodies: int = 24 * 1024 * 1024
    answer_margin: float = 0.025  # of the time to live: the way from and to the client, told nowhere
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
    connect_timeout: float = 0.4  # as the settings tell
    cache_streams: int = 32  # as the settings tell, up to `cache_ids`: an id that is out is remembered
    cache_connections: int = 8  # to one instance
    cache_fresh: float = 0.1  # idle for longer, a connection takes nothing that must not run twice
    cache_share: int = 4  # requests out on a connection before another is opened
    all_cache_connections: int = 650
    cache_stall: float = 0.2  # without a byte inside an answer, which comes in one piece
    cache_unheard: int = 4  # requests written on a connection and nothing heard on it,
    instance_unheard: int = 6  # or on all to an instance and nothing heard on any,
    cache_silence: float = 0.5  # with nothing for this long: looked at for silence; fleet/silence.py decides
    cache_usual: float = 0.3  # what an answer is taken to need until answers tell
    cache_idle: float = 24.0  # the caches close at 30 s, or as the settings tell
    cache_ids: int = 512  # remembered by a connection, so that none comes twice on it
    cache_line: int = 4096
    cache_object: int = 240_000
    # Less time left than this and nothing is written any more: caches are told whole milliseconds.
    least_budget: float = 0.002
    attempts: int = 6
    # The bulletin.
    bulletin_line: int = 4 * 1024 * 1024
    # The end; see `end_times`.
    accept_after_term: float = 0.5  # connections keep coming for 0.4 s after SIGTERM,
    serve_after_term: float = 0.75  # and requests on open ones 0.2 s longer
    drain_longest: float = 3.5  # then all that is open is given up
    flush_longest: float = 0.5  # what a tier has answered and not sent yet, after `drain_longest`
    # A drain by operators, who look at 4 s after it whether any connection is left, whatever the deadlines.
    drain_accept: float = 0.45  # new connections still come, and are served, for this long
    drain_refuse: float = 2.6  # connections that are never quiet get nothing new done,
    drain_surrender: float = 3.0  # what is open then is given up,
    drain_close: float = 3.3  # and what is not closed by then is closed
    late_comer: float = 0.5  # who has connected this lately and asked nothing yet is about to
    # One process replaces another.
    twin_line: int = 1024 * 1024
    twin_connect: float = 1.0
    confirm_longest: float = 0.6  # the other process obeys an order; the call is owed its answer within 1 s
    warm_longest: float = 2.5  # bulletin and connections of a newer process, whose yes is due within 6 s
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


def shown(value: object) -> str:
    """A value that cannot be used, as part of a line."""
    return repr(value)[:60]


def address(text: Any, name: str) -> Address:
    """`host:port` as a pair."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not (colon and host and port.isdecimal() and 0 <= int(port) < 65536):
        raise ConfigError(f"{name}: expected host:port, got {shown(text)}")
    return host, int(port)


def section(data: Mapping[str, Any], path: str) -> Mapping[str, Any]:
    """The object at a dotted path; empty where none is told."""
    where: Any = data
    for step in path.split("."):
        where = where.get(step)
        if where is None:
            return {}
        if not isinstance(where, dict):
            raise ConfigError(f"{path}: expected an object, got {shown(where)}")
    found: Mapping[str, Any] = where
    return found


def positive(data: Mapping[str, Any], path: str, default: float, least: float = 0.0) -> float:
    """A figure above 0, at least `least` and at most `MOST`, at a dotted path; the default where none is
    told."""
    parent, _, name = path.rpartition(".")
    value = section(data, parent).get(name)
    if value is None:
        return default
    number = not isinstance(value, bool) and isinstance(value, int | float)
    if not (number and 0 < value <= MOST and value >= least):
        wanted = f"of {least:g} or more" if least else "above 0"
        raise ConfigError(f"{path}: expected a number {wanted}, got {shown(value)}")
    return float(value)


def sound(settings: Settings) -> Settings:
    """The settings, where the decisions and the caches' protocol can use them: figures are finite, and 0 or
    more; classes have each a name of its own, which a line to a cache can carry."""
    check(settings)
    names = [kind.name for kind in settings.classes]
    for place, name in enumerate(names):
        if not CLASS_NAME.fullmatch(name):
            raise ConfigError(f"settings: classes: expected a name without space or comma, got {shown(name)}")
        if name in names[:place]:
            raise ConfigError(f"settings: classes: {shown(name)} is named twice")
    records: list[tuple[str, Settings | Ramp | RequestClass]] = [("", settings)]
    records += [("cold_edge.", settings.cold_edge), ("cold_parent.", settings.cold_parent)]
    records += [(f"{shown(kind.name)}.", kind) for kind in settings.classes]
    for path, record in records:
        for each in fields(record):
            value = getattr(record, each.name)
            if isinstance(value, int | float) and not 0 <= value <= MOST:
                told = f"{path}{each.name}: expected a number from 0 to {MOST:g}, got {shown(value)}"
                raise ConfigError(f"settings: {told}")
    return settings


class EndTimes(TypedDict):
    """Those of the limits that follow from when SIGKILL comes."""

    accept_after_term: float
    serve_after_term: float
    drain_longest: float


def end_times(longest: float) -> EndTimes:
    """The times of an end after SIGTERM, in seconds, for the longest deadline of all classes.

    All is answered or given up so early that `ending.py` has 0.15 s for the last words before SIGKILL comes.
    With deadlines under 0.3 s it comes while requests still do, and less is waited for.
    """
    given_up = min(KILL_DEADLINE_MOST, longest) + KILL_AFTER - 0.2
    served = min(0.75, given_up - 0.05)
    return {"accept_after_term": min(0.5, served), "serve_after_term": served, "drain_longest": given_up}


def limits_from(data: Mapping[str, Any], settings: Settings) -> Limits:
    """The limits that deployment and settings tell; the rest are the program's own."""
    # With fewer descriptors than this a third for clients and a connection each to a few caches do not fit.
    sockets = int(positive(data, "limits.sockets", 1024, least=36))
    memory = positive(data, "limits.memory_mb", 192, least=1) * 1024 * 1024
    wire = {"settings": data["settings"]}
    keepalive = positive(wire, "settings.limits.keepalive", 30.0)
    clients = int(sockets / 3) - 1
    own = min(OWN_DESCRIPTORS, sockets - clients - 4)
    mean_aim = sum(kind.aim for kind in settings.classes) / len(settings.classes)
    longest = max(kind.deadline for kind in settings.classes)
    own_most = Limits()
    return Limits(
        client_connections=clients,
        # The rest is for what the program needs by itself, and for sockets about to be closed.
        all_cache_connections=sockets - clients - own,
        own_descriptors=own,
        # Who is taken in makes room for others from the next turn on: more at once would be turned away.
        accepts=max(1, min(own_most.accepts, clients // 4)),
        console_connections=min(own_most.console_connections, own - BESIDE_CONSOLE),
        cores=positive(data, "limits.cores", 1.0),
        all_unsent=int(memory / 4),
        client_unsent=int(memory / 8),
        held_bodies=int(memory / 8),
        open_requests=int(positive(wire, "settings.limits.maxOpen", 20000, least=1)),
        # No request waits for a connection for longer.
        connect_timeout=min(longest, positive(wire, "settings.limits.dialTimeout", 0.4)),
        cache_streams=min(
            own_most.cache_ids, int(positive(wire, "settings.limits.streamsPerConn", 32, least=1))
        ),
        # Closed here first, before the next sweep: what crosses the caches' own close is reset.
        cache_idle=max(keepalive / 4, min(0.8 * keepalive, keepalive - 2 * own_most.sweep)),
        cache_fresh=min(own_most.cache_fresh, keepalive / 4),
        # Of the order of the aims: a deployment of larger objects takes longer for each answer.
        cache_silence=1.1 * mean_aim,
        cache_usual=0.5 * mean_aim,
        attempts=int(positive(wire, "settings.limits.attemptsCap", 6, least=1)),
        **end_times(longest),
    )


def read_peering(data: Mapping[str, Any]) -> Peering | None:
    """The peers, where the platform names them and the settings allow them; else None."""
    allowed = section(data, "settings.limits").get("peers")
    peers, me = data.get("peers"), data["settings"].get("me")
    if allowed is not True or peers is None:
        return None
    if not isinstance(peers, list):
        raise ConfigError(f"peers: expected a list of addresses, got {shown(peers)}")
    if isinstance(me, bool) or not isinstance(me, int) or not 0 <= me < len(peers):
        raise ConfigError(f"settings.me: expected a number under {len(peers)}, got {shown(me)}")
    to_all = data.get("peers_all")
    return Peering(
        me,
        address(data.get("peer_listen"), "peer_listen"),
        tuple(address(each, f"peers[{place}]") for place, each in enumerate(peers)),
        None if to_all is None else address(to_all, "peers_all"),
    )


def text(data: Mapping[str, Any], name: str, default: str) -> str:
    """A text that is not empty, or the default where none is told."""
    value = data.get(name)
    if value is None:
        return default
    if not (isinstance(value, str) and value):
        raise ConfigError(f"{name}: expected a text, got {shown(value)}")
    return value


def read_seed(data: Mapping[str, Any]) -> int:
    """The seed, in hex digits; 0 where none is told."""
    told = text(data, "seed", "0")
    try:
        return int(told, 16)
    except ValueError:
        raise ConfigError(f"seed: expected hex digits, got {shown(told)}") from None


def read_known(data: Mapping[str, Any]) -> Mapping[str, Any]:
    """The events so far, not looked into, and the number of the last one."""
    known = data.get("known")
    if known is None:
        return {"no": 0, "items": []}
    number = known.get("no", 0) if isinstance(known, dict) else None
    if isinstance(number, bool) or not isinstance(number, int) or not isinstance(known.get("items"), list):
        raise ConfigError(f"known: expected an object with no and items, got {shown(known)}")
    found: Mapping[str, Any] = known
    return found


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
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(one_line(f"{path}: {error}")) from None
    if not isinstance(data, dict) or not isinstance(data.get("settings"), dict):
        raise ConfigError(f"{path}: expected a JSON object with settings")
    for each in ("limits", "settings.limits", "settings.rules", "settings.extra"):
        section(data, each)
    console = environment.get("ROUTER_CONSOLE") or data.get("console")
    try:
        settings = sound(settings_from(data["settings"]))
    except ConfigError:
        raise
    except (ValueError, OverflowError) as error:
        raise ConfigError(one_line(f"settings: {str(error).removeprefix('settings: ')}")) from None
    return Config(
        name=environment.get("ROUTER_NAME") or text(data, "name", "router"),
        listen=address(environment.get("ROUTER_LISTEN") or data.get("listen"), "listen"),
        bulletin=address(data.get("bulletin"), "bulletin"),
        seed=read_seed(data),
        settings=settings,
        known=read_known(data),
        limits=limits_from(data, settings),
        console=None if console is None else address(console, "console"),
        peering=read_peering(data) if peers else None,
        folder=Path(environment.get("TMPDIR") or tempfile.gettempdir()),
    )
