"""Checks that the routing policy and the protocols can use parsed settings."""

import re
from dataclasses import fields

from paddlequay.config.settings import check_settings
from paddlequay.config.values import MAX_NUMBER, abbreviated
from paddlequay.errors import ConfigError
from paddlequay.routing.interface import RequestClass, RoutingSettings, SlowStart

# On the wire to a cache, words are separated by spaces and fields by commas.
CLASS_NAME = re.compile(r"[^\s,]+")

# The names of fields in error messages, where they differ from the code; operators' tools match them.
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
    """Returns the settings if the routing policy and the caches' protocol can use them.

    Raises:
        ConfigError: If a number is negative, too large or not finite, or the name of a class is invalid or
            not unique.
    """
    check_settings(settings)
    check_class_names([request_class.name for request_class in settings.classes])
    check_numbers("", settings)
    check_numbers("cold_edge.", settings.edge_slow_start)
    check_numbers("cold_parent.", settings.parent_slow_start)
    for request_class in settings.classes:
        check_numbers(f"{abbreviated(request_class.name)}.", request_class)
    return settings


def check_class_names(names: list[str]) -> None:
    """Raises `ConfigError` unless each name is unique and a valid word of the caches' protocol."""
    for index, name in enumerate(names):
        if not CLASS_NAME.fullmatch(name):
            raise ConfigError(
                f"settings: classes: expected a name without space or comma, got {abbreviated(name)}"
            )
        if name in names[:index]:
            raise ConfigError(f"settings: classes: {abbreviated(name)} is named twice")


def check_numbers(path: str, record: RoutingSettings | SlowStart | RequestClass) -> None:
    """Raises `ConfigError`, which gives the path and the field, if a number is out of bounds."""
    for each in fields(record):
        value = getattr(record, each.name)
        if isinstance(value, int | float) and not 0 <= value <= MAX_NUMBER:
            name = REPORTED_NAMES.get(each.name, each.name)
            expected = f"expected a number from 0 to {MAX_NUMBER:g}, got {abbreviated(value)}"
            raise ConfigError(f"settings: {path}{name}: {expected}")
