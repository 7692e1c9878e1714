"""Whether settings that were read can be used by the decisions and by the protocols."""

import re
from dataclasses import fields

from paddlequay.config.settings import check_settings
from paddlequay.config.values import MAX_FIGURE, abbreviated
from paddlequay.errors import ConfigError
from paddlequay.routing.interface import RequestClass, RoutingSettings, SlowStart

# Words of a line to a cache are apart by spaces, and its fields by commas.
CLASS_NAME = re.compile(r"[^\s,]+")

# Under which name an error speaks of a field, where that is another: operators' tools look for these.
REPORTED_NAMES = {
    "latency_objective": "aim",
    "priority_weight": "worth",
    "objective_per_work": "aim_stretch",
    "dedup_window": "repeat_window",
    "freshness_lifetime": "fresh",
    "stale_if_error": "grace",
    "router_count": "routers",
    "zone_router_count": "routers_here",
    "subscribe_within": "ask_within",
    "purge_completion": "purge_done",
    "initial_share": "start",
    "duration": "warm_after",
    "overload_multiple": "multiple",
    "overload_window": "window",
}


def check_usable(settings: RoutingSettings) -> RoutingSettings:
    """The settings, where the decisions and the caches' protocol can use them; else raises `ConfigError`.

    Figures are finite, and 0 or more; classes have each a name of its own, which a line to a cache can carry.
    """
    check_settings(settings)
    names = [kind.name for kind in settings.classes]
    for place, name in enumerate(names):
        if not CLASS_NAME.fullmatch(name):
            raise ConfigError(
                f"settings: classes: expected a name without space or comma, got {abbreviated(name)}"
            )
        if name in names[:place]:
            raise ConfigError(f"settings: classes: {abbreviated(name)} is named twice")
    records: list[tuple[str, RoutingSettings | SlowStart | RequestClass]] = [("", settings)]
    records += [("cold_edge.", settings.edge_slow_start), ("cold_parent.", settings.parent_slow_start)]
    records += [(f"{abbreviated(kind.name)}.", kind) for kind in settings.classes]
    for path, record in records:
        for each in fields(record):
            value = getattr(record, each.name)
            if isinstance(value, int | float) and not 0 <= value <= MAX_FIGURE:
                name = REPORTED_NAMES.get(each.name, each.name)
                expected = f"expected a number from 0 to {MAX_FIGURE:g}, got {abbreviated(value)}"
                raise ConfigError(f"settings: {path}{name}: {expected}")
    return settings
