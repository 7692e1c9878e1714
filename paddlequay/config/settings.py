"""Parses the platform's settings, which are alike on the simulator's wire and in the configuration file."""

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
    """Reads typed values from nested JSON objects by dotted path; an absent one is None.

    Its methods raise `SettingsError` with the path if a value has another type.
    """

    def __init__(self, data: Any) -> None:
        self.data = data

    def get(self, path: str, kind: type[T]) -> T | None:
        """Returns the value at a path; an integer is valid where a float is expected."""
        value: Any = self.data
        for step in path.split("."):
            value = value.get(step) if isinstance(value, dict) else None
        if value is None:
            return None
        if kind is float and isinstance(value, int) and not isinstance(value, bool):
            value = float(value)
        if not isinstance(value, kind) or (kind is not bool and isinstance(value, bool)):
            raise SettingsError(f"settings: {path}: expected {kind.__name__}, got {value!r}")
        return value

    def need(self, path: str, kind: type[T]) -> T:
        """Returns the value at a path, which must exist."""
        value = self.get(path, kind)
        if value is None:
            raise SettingsError(f"settings: {path} is missing")
        return value

    def item(self, path: str, place: int, kind: type[T]) -> T | None:
        """Returns an item of the list at a path; None if the list is shorter."""
        values = self.get(path, list)
        if not values or not 0 <= place < len(values):
            return None
        return SettingsReader({"item": values[place]}).get("item", kind)

    def kind_name(self, path: str) -> str | None:
        """Returns the kind of member whose index among `kinds` is the value at a path."""
        place = self.get(path, int)
        return None if place is None else self.item("kinds", place, str)

    def slow_start(self, *paths: str) -> SlowStart:
        """Returns a slow start from the paths of its fields, in their order."""
        return SlowStart(*(self.get(path, float) for path in paths))


def parse_settings(data: Any) -> RoutingSettings:
    """Returns the settings of the decisions; ignores unknown keys. Raises `SettingsError`."""
    if not isinstance(data, dict):
        raise SettingsError("settings: expected a JSON object")
    reader = SettingsReader(data)
    classes = tuple(
        parse_class(reader, item, place) for place, item in enumerate(reader.need("classes", list))
    )
    discovery = reader.get("discovery", str)
    zone = reader.need("locality", str)
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
        link_kb_per_s=reader.item("extra.inletKbPerS", here, float) or None,  # 0: unknown
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


def parse_class(settings: SettingsReader, item: Any, place: int) -> RequestClass:
    """Returns a class from its own object and, by its place, from the lists of the settings."""
    own = SettingsReader(item)
    return RequestClass(
        name=own.need("name", str),
        latency_objective=own.need("aim", float),
        deadline=own.need("deadline", float),
        idempotency=parse_idempotency(own.need("idempotency", str)),
        priority_weight=own.get("worth", float),
        objective_per_work=own.get("aimStretch", float),
        dedup_scope=own.get("dedupScope", str),
        dedup_window=own.get("window", float),
        freshness_lifetime=settings.item("extra.classFresh", place, float),
        stale_if_error=settings.item("extra.staleFor", place, float),
        uncacheable=settings.item("extra.goesThrough", place, bool),
    )


def parse_idempotency(name: str) -> Idempotency:
    """Returns the idempotency of a name in the settings. Raises `SettingsError` for an unknown name."""
    if name not in IDEMPOTENCY_BY_NAME:
        expected = ", ".join(IDEMPOTENCY_BY_NAME)
        raise SettingsError(f"settings: idempotency: expected one of {expected}, got {name!r}")
    return IDEMPOTENCY_BY_NAME[name]


def check_settings(settings: RoutingSettings) -> None:
    """Raises `SettingsError`, with the name of the field, for contradictory settings."""
    if not settings.classes:
        raise SettingsError("settings: classes: expected at least one class")
    if min(settings.router_count or 0, settings.zone_router_count or 0) < 0:
        raise SettingsError("settings: routers: expected no count below 0")
    for kind in settings.classes:
        if not (kind.latency_objective > 0 and kind.deadline > 0):
            raise SettingsError(f"settings: {kind.name}: expected aim and deadline above 0, got {kind}")
