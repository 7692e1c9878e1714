"""Reads the configuration of a router: the environment and the JSON file that it names."""

import json
import tempfile
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import quote

from paddlequay.config.limits import Limits, limits_from
from paddlequay.config.settings import parse_settings
from paddlequay.config.validation import check_usable
from paddlequay.config.values import Address, abbreviated, address, one_line, section, text
from paddlequay.errors import ConfigError
from paddlequay.routing.interface import RoutingSettings

MAX_NAME_CHARS = 60  # the part of a router's name in the names of its files


@dataclass(frozen=True, slots=True)
class Peering:
    """How a router reaches the other routers of its tier.

    Attributes:
        own_index: The index of this router among the peers.
        listen: The address at which this router receives messages of peers.
        peers: The addresses of all routers, this one included.
        broadcast_address: The address that reaches all of them; None if there is none.
    """

    own_index: int
    listen: Address
    peers: tuple[Address, ...]
    broadcast_address: Address | None


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one router.

    Attributes:
        name: The name of the router.
        listen: The address for clients.
        endpoint_watch_address: The address of the server of the endpoint list.
        seed: The seed of the routing policy's random numbers.
        settings: The settings of the routing policy.
        known_events: The events of the endpoint list so far, not parsed yet.
        limits: The limits of the program.
        console: The address of the operators' console; None without one.
        peering: How peers are reached; None if the platform names none or does not allow them.
        folder: The folder of files that outlive this process.
    """

    name: str
    listen: Address
    endpoint_watch_address: Address
    seed: int
    settings: RoutingSettings
    known_events: Mapping[str, Any]
    limits: Limits = field(default_factory=Limits)
    console: Address | None = None
    peering: Peering | None = None
    folder: Path = Path(tempfile.gettempdir())

    def file(self, suffix: str) -> Path:
        """Returns the path of this router's file with a suffix."""
        return self.folder / f"paddlequay-{quote(self.name, safe='')[:MAX_NAME_CHARS]}.{suffix}"


def read_peering(data: Mapping[str, Any]) -> Peering | None:
    """Returns how peers are reached; None unless the platform names peers and the settings allow them.

    Raises:
        ConfigError: If an address or the index of this router is invalid.
    """
    allowed = section(data, "settings.limits").get("peers")
    peers = data.get("peers")
    own_index = data["settings"].get("me")
    if allowed is not True or peers is None:
        return None
    if not isinstance(peers, list):
        raise ConfigError(f"peers: expected a list of addresses, got {abbreviated(peers)}")
    if isinstance(own_index, bool) or not isinstance(own_index, int) or not 0 <= own_index < len(peers):
        raise ConfigError(f"settings.me: expected a number under {len(peers)}, got {abbreviated(own_index)}")
    broadcast_address = data.get("peers_all")
    return Peering(
        own_index,
        address(data.get("peer_listen"), "peer_listen"),
        tuple(address(each, f"peers[{index}]") for index, each in enumerate(peers)),
        None if broadcast_address is None else address(broadcast_address, "peers_all"),
    )


def read_seed(data: Mapping[str, Any]) -> int:
    """Returns the seed, which is given in hex digits; 0 if there is none. Raises `ConfigError`."""
    digits = text(data, "seed", "0")
    try:
        return int(digits, 16)
    except ValueError:
        raise ConfigError(f"seed: expected hex digits, got {abbreviated(digits)}") from None


def read_known_events(data: Mapping[str, Any]) -> Mapping[str, Any]:
    """Returns the events so far, not parsed yet, and the number of the last one. Raises `ConfigError`."""
    known = data.get("known")
    if known is None:
        return {"no": 0, "items": []}
    number = known.get("no", 0) if isinstance(known, dict) else None
    is_number = isinstance(number, int) and not isinstance(number, bool)
    if not is_number or not isinstance(known.get("items"), list):
        raise ConfigError(f"known: expected an object with no and items, got {abbreviated(known)}")
    found: Mapping[str, Any] = known
    return found


def read_json(path: str) -> dict[str, Any]:
    """Returns the JSON object in a file. Raises `ConfigError` if it is invalid or has no settings object."""
    try:
        with open(path, encoding="utf-8") as file:
            data = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(one_line(f"{path}: {error}")) from None
    if not isinstance(data, dict) or not isinstance(data.get("settings"), dict):
        raise ConfigError(f"{path}: expected a JSON object with settings")
    return data


def read_config(environment: Mapping[str, str], peers: bool = False) -> Config:
    """Returns the configuration in the file that `ROUTER_CONFIG` names.

    `ROUTER_NAME`, `ROUTER_LISTEN` and `ROUTER_CONSOLE` take precedence over the file.

    Args:
        environment: The environment variables.
        peers: Whether to read how peers are reached.

    Raises:
        ConfigError: If the file cannot be read, or a value is invalid.
    """
    path = environment.get("ROUTER_CONFIG")
    if not path:
        raise ConfigError("ROUTER_CONFIG is not set")
    data = read_json(path)
    for each in ("limits", "settings.limits", "settings.rules", "settings.extra"):
        section(data, each)
    console = environment.get("ROUTER_CONSOLE") or data.get("console")
    try:
        settings = check_usable(parse_settings(data["settings"]))
    except ConfigError:
        raise
    except (ValueError, OverflowError) as error:
        raise ConfigError(one_line(f"settings: {str(error).removeprefix('settings: ')}")) from None
    return Config(
        name=environment.get("ROUTER_NAME") or text(data, "name", "router"),
        listen=address(environment.get("ROUTER_LISTEN") or data.get("listen"), "listen"),
        endpoint_watch_address=address(data.get("bulletin"), "bulletin"),
        seed=read_seed(data),
        settings=settings,
        known_events=read_known_events(data),
        limits=limits_from(data, settings),
        console=None if console is None else address(console, "console"),
        peering=read_peering(data) if peers else None,
        folder=Path(environment.get("TMPDIR") or tempfile.gettempdir()),
    )
