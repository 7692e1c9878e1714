"""The console page of a tier node, `GET /-/hierarchy`: one line of JSON."""

import json
from typing import Any

from paddlequay.hierarchy.migration import MigrationPlan
from paddlequay.hierarchy.node import CacheNode
from paddlequay.hierarchy.topology_tracker import TopologyTracker

SAMPLED_KEY_COUNT = 256
KEY_STEP = 0x9E3779B97F4A7C15  # spreads the sampled keys evenly over 64 bits
KEY_LIMIT = 1 << 64


def tier_page(node: CacheNode, tracker: TopologyTracker, now: float) -> str:
    """Returns the page: topology, homes, migrations, fills and loops; `now` is in Unix seconds."""
    selector = node.source_selector
    own = node.topology.nodes.get(node.name)
    counts = node.counters.counts
    data: dict[str, Any] = {
        "name": node.name,
        "group": selector.group,
        "version": node.topology.version,
        "nodes": len(node.topology.nodes),
        "listed": own is not None,
        "parents": list(own.parents) if own is not None else [],
        "home_shares": _home_shares(selector.migration),
        "left_out": sorted(selector.ejected),
        "moves": [
            {"from_version": earlier_group.version, "since_s": round(now - earlier_group.replaced_at, 3)}
            for earlier_group in selector.migration.earlier_groups
        ],
        "claims": len(selector.claims),
        "fills_under_way": len(node.leases),
        "oldest_fill_s": round(node.leases.oldest_age(now), 3),
        "waiting": node.waiting_count,
        "copies": len(node.cache.copies),
        "copy_bytes": node.cache.copies.bytes,
        "loops_found": counts["loops_found"],
        "loops_cut": counts["loops_cut"],
        "rings_refused": counts["rings_refused"],
        "deltas_held": len(tracker.pending),
    }
    return json.dumps(data)


def _home_shares(migration: MigrationPlan) -> dict[str, float]:
    """Returns, for each member of the group, the share of sampled objects that it is the home of."""
    home_counts = dict.fromkeys(migration.weights, 0)
    for sample in range(SAMPLED_KEY_COUNT):
        home = migration.homes.first_home(sample * KEY_STEP % KEY_LIMIT)
        if home is not None:
            home_counts[home] += 1
    return {name: round(count / SAMPLED_KEY_COUNT, 3) for name, count in home_counts.items()}
