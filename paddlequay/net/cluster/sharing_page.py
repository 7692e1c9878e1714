"""The page on the cluster for operators: what one router believes and holds now, as JSON."""

import json
import time
from collections import Counter
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from paddlequay.cluster.node import Node
    from paddlequay.net.cluster.sharing import Sharing

WORDS_MOST = 200  # subjects shown
SHOWN = ("cluster.", "limit.", "channels.", "placement_", "peers.")  # counters


def page(sharing: "Sharing") -> str:
    """All of it; `out` while another process of this router has its share."""
    node, now = sharing.node, sharing.loop.time()
    if node is None:
        return json.dumps({"me": sharing.fleet.me, "at": time.time(), "out": True})
    shown: dict[str, Any] = {
        "me": node.fleet.me,
        "incarnation": node.liveness.incarnation,
        "at": time.time(),
        "peers": {peer: node.liveness.state_of(peer).value for peer in range(node.fleet.size)},
        "leases": leases(node, now),
        "limits": limits(sharing, node),
        "words": words(sharing, node, now),
        "sent": dict(node.outbox.counts),
        "counts": {name: n for name, n in sharing.counters.counts.items() if name.startswith(SHOWN)},
    }
    if sharing.prefetcher is not None:
        bundles = sharing.prefetcher.channels.bundles
        shown["channels"] = {
            f"{bundle.lease:x}": {"term": bundles.active_term(bundle, now), "live": len(bundle.live_channels)}
            for bundle in bundles.all
            if bundle.live_channels
        }
    if sharing.placement is not None:
        shown["placement"] = sharing.placement.status_page()
    return json.dumps(shown)


def leases(node: "Node", now: float) -> dict[str, Any]:
    """Of each limit: who holds it as far as was heard, and the term if it is this router."""
    if node.leases is None or node.limits is None:
        return {}
    return {
        f"limit/{limit.rule.name}": {
            "holder": node.leases.holder(limit.lease, now),
            "term": node.leases.holds(limit.lease, now),
        }
        for limit in node.limits.registry
    }


def limits(sharing: "Sharing", node: "Node") -> dict[str, Any]:
    """Of each limit: values that are kept apart now, and how much was refused here."""
    local_limits = node.limits.local_limits if node.limits is not None else ()
    kept, counts = Counter(limit.fleet_limit.rule.name for limit in local_limits), sharing.counters.counts
    return {
        rule.name: {"values": kept[rule.name], "refused": counts[f"limit.refused.{rule.name}"]}
        for rule in sharing.settings.limits
    }


def words(sharing: "Sharing", node: "Node", now: float) -> dict[str, Any]:
    """The fleet's words that count here now."""
    shown = {}
    for subject, name in list(sharing.names.items())[-WORDS_MOST:]:
        word = node.verdicts.word(subject, now) if node.verdicts is not None else None
        if word is not None:
            is_ = word.fault.name.lower()
            shown[name] = {"is": is_, "by": word.witnesses, "age_s": round(word.age, 3)}
    return shown
