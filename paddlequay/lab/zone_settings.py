"""Settings of the processes of a zone, as the platform and an installation would give them."""

from typing import Any

from paddlequay.lab.load import LOAD_CLASSES

LOWER_GROUP = "aimag"
UPPER_GROUP = "regional"
OWN_ZONE = "plaza"
ORIGIN_ZONE = "hub"
KEY_ID = "k1"
KEY_FILE = "hop.key"


def tier_settings(name: str, port: int, console: int, feed: tuple[str, int]) -> str:
    """Returns the settings file of a tier's node; its name begins with its group."""
    class_format = (
        '  class {{ name: "{0.name}" aim_s: {0.target_s} deadline_s: {0.deadline_s}'
        " fresh_s: {0.freshness_s} }}"
    )
    classes = "\n".join(class_format.format(kind) for kind in LOAD_CLASSES if not kind.charge)
    return (
        f'tier {{\n  name: "{name}"\n  group: "{name.split("-")[0]}"\n'
        f'  listen: "127.0.0.1:{port}"\n  console: "127.0.0.1:{console}"\n'
        f'  feed: "{feed[0]}:{feed[1]}"\n  folder: "."\n{classes}\n'
        f'  hop_key {{ id: "{KEY_ID}" file: "{KEY_FILE}" }}\n  moves {{ window_s: 60 }}\n'
        "  cold { start: 0.062 warm_after_s: 20 multiple: 2 window_s: 2 }\n}\n"
    )


def platform_settings(router_count: int) -> dict[str, Any]:
    """Returns the platform's settings of the routers of a zone."""
    return {
        "locality": OWN_ZONE,
        "localities": [ORIGIN_ZONE, OWN_ZONE],
        "kinds": ["box", "parent", "origin"],
        "groupSize": router_count,
        "weights": "nominal",
        "classes": [
            {
                "name": kind.name,
                "aim": kind.target_s,
                "deadline": kind.deadline_s,
                "idempotency": "non_idempotent" if kind.charge else "read_like",
                "window": 5,
            }
            for kind in LOAD_CLASSES
        ],
        "limits": {"attemptsCap": 6, "cancel": True, "retryAfter": True, "maxRetryAfter": 2},
        "rules": {"coldFrom": 0.17, "cold": 15, "fall": 2, "fallMultiple": 2.5},
        "extra": {
            "parentKind": 1,
            "rootKind": 2,
            "goesThrough": [kind.charge for kind in LOAD_CLASSES],
            "classFresh": [kind.freshness_s for kind in LOAD_CLASSES],
            "countByZone": [0, router_count],
            "peersFill": "none",
            "mergesFills": True,
            "bypassAllowed": True,
            "detail": "all",
            "clearedWithin": 6.0,
            "parentStartsAt": 0.062,
            "parentCold": 20,
            "parentBreaksAt": 2,
        },
    }


def endpoint_entry(name: str, address: tuple[str, int], kind: str, zone: str) -> dict[str, Any]:
    """Returns a member's entry of the endpoint list."""
    return {
        "instanceId": name,
        "hostPort": f"{address[0]}:{address[1]}",
        "zone": zone,
        "machineType": kind,
        "cell": 0,
        "lifecycle": "in_service",
        "weight": 1,
        "startedAtMs": 0,
    }
