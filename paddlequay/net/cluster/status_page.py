"""The cluster's status page for operators: the current state of one router as JSON.

The keys of the page are an external format, independent of the names in the code.
"""

import json
import time
from collections import Counter
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from paddlequay.cluster.bundles import Bundles
    from paddlequay.cluster.node import ClusterNode
    from paddlequay.net.cluster.driver import ClusterDriver

MAX_SUBJECTS_SHOWN = 200
SHOWN_COUNTERS = ("cluster.", "limit.", "channels.", "placement_", "peers.")


def status_page(driver: "ClusterDriver") -> str:
    """Returns the page; `out` is true while this process is not in the cluster."""
    node = driver.node
    now = driver.clock()
    if node is None:
        return json.dumps({"me": driver.fleet.me, "at": time.time(), "out": True})
    counts = driver.counters.counts
    shown: dict[str, Any] = {
        "me": node.fleet.me,
        "incarnation": node.liveness.incarnation,
        "at": time.time(),
        "peers": {peer: node.liveness.state_of(peer).value for peer in range(node.fleet.size)},
        "leases": show_leases(node, now),
        "limits": show_limits(driver, node),
        "words": show_verdicts(driver, node, now),
        "sent": dict(node.outbox.counts),
        "counts": {name: count for name, count in counts.items() if name.startswith(SHOWN_COUNTERS)},
    }
    if driver.prefetcher is not None:
        shown["channels"] = show_channels(driver.prefetcher.channels.bundles, now)
    if driver.placement is not None:
        shown["placement"] = driver.placement.status_page()
    return json.dumps(shown)


def show_leases(node: "ClusterNode", now: float) -> dict[str, Any]:
    """Returns the known holder of each limit's lease, and the term if this router holds it."""
    if node.leases is None or node.limits is None:
        return {}
    return {
        f"limit/{limit.rule.name}": {
            "holder": node.leases.holder(limit.lease, now),
            "term": node.leases.holds(limit.lease, now),
        }
        for limit in node.limits.registry
    }


def show_limits(driver: "ClusterDriver", node: "ClusterNode") -> dict[str, Any]:
    """Returns, for each limit, the number of currently limited values and of rejections by this router."""
    local_limits = node.limits.local_limits if node.limits is not None else ()
    value_counts = Counter(limit.fleet_limit.rule.name for limit in local_limits)
    counts = driver.counters.counts
    return {
        rule.name: {"values": value_counts[rule.name], "refused": counts[f"limit.refused.{rule.name}"]}
        for rule in driver.settings.limits
    }


def show_channels(bundles: "Bundles", now: float) -> dict[str, Any]:
    """Returns each bundle with live channels: their number, and the term if this router owns the bundle."""
    return {
        f"{bundle.lease:x}": {"term": bundles.active_term(bundle, now), "live": len(bundle.live_channels)}
        for bundle in bundles.all
        if bundle.live_channels
    }


def show_verdicts(driver: "ClusterDriver", node: "ClusterNode", now: float) -> dict[str, Any]:
    """Returns the fleet's verdicts that this router applies now, by name of the member."""
    if node.verdicts is None:
        return {}
    shown = {}
    for subject, name in driver.verdicts.names.latest(MAX_SUBJECTS_SHOWN):
        verdict = node.verdicts.verdict_on(subject, now)
        if verdict is not None:
            shown[name] = {
                "is": verdict.fault.name.lower(),
                "by": verdict.witness_count,
                "age_s": round(verdict.age_s, 3),
            }
    return shown
