"""The platform's settings object, alike on the simulator's wire and in the configuration file."""

from typing import Any, TypeVar

from paddlequay.routing.interface import Idempotency, RequestClass, RoutingSettings, SlowStart

T = TypeVar("T")
IDEMPOTENCY_WORDS = {
    "read_like": Idempotency.IDEMPOTENT,
    "idempotency_key": Idempotency.IDEMPOTENCY_KEY,
    "non_idempotent": Idempotency.NON_IDEMPOTENT,
}


class SettingsError(ValueError):
    """Settings that cannot be used, with the path of the field and what was expected there."""


def parse_settings(data: Any) -> RoutingSettings:
    """What the settings tell the decisions; keys not known are skipped."""
    if not isinstance(data, dict):
        raise SettingsError("settings: expected a JSON object")

    def get(path: str, kind: type[T], where: Any = data) -> T | None:
        for step in path.split("."):
            where = where.get(step) if isinstance(where, dict) else None
        if where is None:
            return None
        if kind is float and isinstance(where, int) and not isinstance(where, bool):
            where = float(where)
        if not isinstance(where, kind) or (kind is not bool and isinstance(where, bool)):
            raise SettingsError(f"settings: {path}: expected {kind.__name__}, got {where!r}")
        return where

    def need(path: str, kind: type[T], where: Any = data) -> T:
        value = get(path, kind, where)
        if value is None:
            raise SettingsError(f"settings: {path} is missing")
        return value

    def at(path: str, place: int, kind: type[T]) -> T | None:
        values = get(path, list)
        return get("item", kind, {"item": values[place]}) if values and 0 <= place < len(values) else None

    def kind_name(path: str) -> str | None:
        place = get(path, int)
        return None if place is None else at("kinds", place, str)

    def effect(item: Any) -> Idempotency:
        word = need("idempotency", str, item)
        if word not in IDEMPOTENCY_WORDS:
            raise SettingsError(
                f"settings: idempotency: expected one of {', '.join(IDEMPOTENCY_WORDS)}, got {word!r}"
            )
        return IDEMPOTENCY_WORDS[word]

    classes = tuple(
        RequestClass(
            name=need("name", str, item),
            latency_objective=need("aim", float, item),
            deadline=need("deadline", float, item),
            idempotency=effect(item),
            priority_weight=get("worth", float, item),
            objective_per_work=get("aimStretch", float, item),
            dedup_scope=get("dedupScope", str, item),
            dedup_window=get("window", float, item),
            freshness_lifetime=at("extra.classFresh", place, float),
            stale_if_error=at("extra.staleFor", place, float),
            uncacheable=at("extra.goesThrough", place, bool),
        )
        for place, item in enumerate(need("classes", list))
    )
    discovery = get("discovery", str)
    zone = need("locality", str)
    zones = get("localities", list) or []
    here = zones.index(zone) if zone in zones else -1
    detail = get("extra.detail", str)
    return RoutingSettings(
        zone=zone,
        classes=classes,
        router_count=get("groupSize", int),
        zone_router_count=at("extra.countByZone", here, int),
        parent_kind=kind_name("extra.parentKind"),
        origin_kind=kind_name("extra.rootKind"),
        sibling_fills=get("extra.peersFill", str),
        bypass_allowed=get("extra.bypassAllowed", bool),
        coalesces_fills=get("extra.mergesFills", bool),
        detailed_replies=None if detail is None else detail == "all",
        flow_kb_per_s=get("extra.oneFlowKbPerS", float),
        link_kb_per_s=at("extra.inletKbPerS", here, float) or None,  # 0: not told
        weights=get("weights", str),
        parallel_attempts=get("limits.parallelTries", bool),
        can_cancel=get("limits.cancel", bool),
        max_attempts=get("limits.attemptsCap", int),
        max_retry_after=get("limits.maxRetryAfter", float) if get("limits.retryAfter", bool) else None,
        must_subscribe=None if discovery is None else discovery == "subscribe",
        subscribe_within=get("rules.askWithin", float),
        edge_slow_start=SlowStart(
            get("rules.coldFrom", float),
            get("rules.cold", float),
            get("rules.fallMultiple", float),
            get("rules.fall", float),
        ),
        parent_slow_start=SlowStart(
            get("extra.parentStartsAt", float),
            get("extra.parentCold", float),
            get("extra.parentBreaksAt", float),
            get("rules.fall", float),
        ),
        purge_completion=get("extra.clearedWithin", float),
    )


def check_settings(settings: RoutingSettings) -> None:
    """Settings that make no sense are refused with the field's name."""
    if not settings.classes:
        raise ValueError("settings: classes: expected at least one class")
    if min(settings.router_count or 0, settings.zone_router_count or 0) < 0:
        raise ValueError("settings: routers: expected no count below 0")
    for kind in settings.classes:
        if not (kind.latency_objective > 0 and kind.deadline > 0):
            raise ValueError(f"settings: {kind.name}: expected aim and deadline above 0, got {kind}")
