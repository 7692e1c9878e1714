"""Parses the platform's settings, which have the same form on the simulator's wire and in a configuration."""

from typing import Any, TypeVar

from paddlequay.errors import SettingsError
from paddlequay.routing.interface import Idempotency, RequestClass, RoutingSettings, SlowStart

T = TypeVar("T")
IDEMPOTENCY_BY_NAME = {
    "read_like": Idempotency.IDEMPOTENT,
    "idempotency_key": Idempotency.IDEMPOTENCY_KEY,
    "non_idempotent": Idempotency.NON_IDEMPOTENT,
}


class SettingsReader:
    """Reads typed values from nested JSON objects by dotted path; absent values are None.

    Its methods raise `SettingsError`, which names the path, if a value has another type than expected.
    """

    def __init__(self, data: Any) -> None:
        self.data = data

    def get(self, path: str, expected_type: type[T]) -> T | None:
        """Returns the value at a path; an integer is valid where a float is expected."""
        value: Any = self.data
        for step in path.split("."):
            value = value.get(step) if isinstance(value, dict) else None
        if value is None:
            return None
        if expected_type is float and isinstance(value, int) and not isinstance(value, bool):
            value = float(value)
        if not isinstance(value, expected_type) or (expected_type is not bool and isinstance(value, bool)):
            raise SettingsError(f"settings: {path}: expected {expected_type.__name__}, got {value!r}")
        return value

    def require(self, path: str, expected_type: type[T]) -> T:
        """Returns the value at a path, which must exist."""
        value = self.get(path, expected_type)
        if value is None:
            raise SettingsError(f"settings: {path} is missing")
        return value

    def item(self, path: str, index: int, expected_type: type[T]) -> T | None:
        """Returns the item at an index of the list at a path; None if there is none."""
        values = self.get(path, list)
        if not values or not 0 <= index < len(values):
            return None
        return SettingsReader({"item": values[index]}).get("item", expected_type)

    def kind_name(self, path: str) -> str | None:
        """Returns the kind of member whose index in the list `kinds` is the value at a path, or None."""
        index = self.get(path, int)
        return None if index is None else self.item("kinds", index, str)

    def slow_start(self, *paths: str) -> SlowStart:
        """Returns a slow start; the paths of its fields are given in the order of the fields."""
        return SlowStart(*(self.get(path, float) for path in paths))


def parse_settings(data: Any) -> RoutingSettings:
    """Returns the settings of the routing policy; ignores unknown keys. Raises `SettingsError`."""
    if not isinstance(data, dict):
        raise SettingsError("settings: expected a JSON object")
    reader = SettingsReader(data)
    classes = tuple(
        parse_class(reader, item, index) for index, item in enumerate(reader.require("classes", list))
    )
    discovery = reader.get("discovery", str)
    zone = reader.require("locality", str)
    zones = reader.get("localities", list) or []
    here = zones.index(zone) if zone in zones else -1
    detail = reader.get("extra.detail", str)
    retry_after_allowed = reader.get("limits.retryAfter", bool)
    return RoutingSettings(
        zone=zone,
        classes=classes,
        router_count=reader.get("groupSize", int),
        zone_router_count=reader.item("extra.countByZone", here, int),
        parent_kind=reader.kind_name("extra.parentKind"),
        origin_kind=reader.kind_name("extra.rootKind"),
        sibling_fills=reader.get("extra.peersFill", str),
        bypass_allowed=reader.get("extra.bypassAllowed", bool),
        coalesces_fills=reader.get("extra.mergesFills", bool),
        detailed_replies=None if detail is None else detail == "all",
        flow_kb_per_s=reader.get("extra.oneFlowKbPerS", float),
        link_kb_per_s=reader.item("extra.inletKbPerS", here, float) or None,  # 0 means unknown
        weights=reader.get("weights", str),
        parallel_attempts=reader.get("limits.parallelTries", bool),
        can_cancel=reader.get("limits.cancel", bool),
        max_attempts=reader.get("limits.attemptsCap", int),
        max_retry_after=reader.get("limits.maxRetryAfter", float) if retry_after_allowed else None,
        must_subscribe=None if discovery is None else discovery == "subscribe",
        subscribe_within=reader.get("rules.askWithin", float),
        edge_slow_start=reader.slow_start("rules.coldFrom", "rules.cold", "rules.fallMultiple", "rules.fall"),
        parent_slow_start=reader.slow_start(
            "extra.parentStartsAt", "extra.parentCold", "extra.parentBreaksAt", "rules.fall"
        ),
        purge_completion=reader.get("extra.clearedWithin", float),
    )


def parse_class(settings: SettingsReader, item: Any, index: int) -> RequestClass:
    """Returns a request class from its own object, and by its index from lists of the settings."""
    class_reader = SettingsReader(item)
    return RequestClass(
        name=class_reader.require("name", str),
        latency_objective=class_reader.require("aim", float),
        deadline=class_reader.require("deadline", float),
        idempotency=parse_idempotency(class_reader.require("idempotency", str)),
        priority_weight=class_reader.get("worth", float),
        objective_per_work=class_reader.get("aimStretch", float),
        dedup_scope=class_reader.get("dedupScope", str),
        dedup_window=class_reader.get("window", float),
        freshness_lifetime=settings.item("extra.classFresh", index, float),
        stale_if_error=settings.item("extra.staleFor", index, float),
        uncacheable=settings.item("extra.goesThrough", index, bool),
    )


def parse_idempotency(name: str) -> Idempotency:
    """Returns the idempotency that a name in the settings means. Raises `SettingsError` if it is unknown."""
    if name not in IDEMPOTENCY_BY_NAME:
        expected = ", ".join(IDEMPOTENCY_BY_NAME)
        raise SettingsError(f"settings: idempotency: expected one of {expected}, got {name!r}")
    return IDEMPOTENCY_BY_NAME[name]


def check_settings(settings: RoutingSettings) -> None:
    """Raises `SettingsError`, which names the field, if the settings are invalid as a whole."""
    if not settings.classes:
        raise SettingsError("settings: classes: expected at least one class")
    if min(settings.router_count or 0, settings.zone_router_count or 0) < 0:
        raise SettingsError("settings: routers: expected counts of at least 0")
    for request_class in settings.classes:
        if not (request_class.latency_objective > 0 and request_class.deadline > 0):
            raise SettingsError(
                f"settings: {request_class.name}: expected aim and deadline above 0, got {request_class}"
            )
