"""The console's pages on placement: the table in use, and where an object is placed and why."""

import json
from collections.abc import Callable

from paddlequay.cluster.placement_epochs import PlacementEpochs
from paddlequay.cluster.table_epochs import short_epoch
from paddlequay.errors import PaddlequayError
from paddlequay.net.cluster.table_compilation import DIGEST_CHARS, TableCompilation
from paddlequay.placement.homes import object_key
from paddlequay.placement.migration import CurrentPlacement, Migration
from paddlequay.placement.table import ShardMap, Table
from paddlequay.placement.table_homes import HomeKey, home_key
from paddlequay.routing.interface import Request

QUERY_FIELDS = ("class", "tenant", "group", "key", "part")

FindPlacement = Callable[[HomeKey], tuple[ShardMap, CurrentPlacement] | None]


class QueryError(PaddlequayError, ValueError):
    """A console query that does not have the expected form; `expected` describes that form."""

    def __init__(self, expected: object) -> None:
        super().__init__(str(expected))
        self.expected = expected


def placement_page(
    compilation: TableCompilation,
    epochs: PlacementEpochs | None,
    migration: Migration | None,
    pending_table: Table | None,
    now: float,
) -> dict[str, object]:
    """Returns the epoch and table in use and the table compiled at a router, as JSON values."""
    epoch = epochs.epoch_in_use(now) if epochs is not None else None
    compiled = compilation.table
    return {
        "epoch": None if epoch is None else short_epoch(epoch),
        "table": None if epoch is None or epochs is None else f"{epochs.table_in_use(now) or 0:016x}",
        "follows": None if epoch is None or migration is None else migration.table.digest[:DIGEST_CHARS],
        "compiled": None if compiled is None else compiled.digest,
        "members": None if compiled is None else len(compiled.names),
        "short": {} if compiled is None else compiled.incomplete_shards(),
        "moving": migration.pending_count(now) if migration is not None else 0,
        "next_waits": pending_table is not None,
    }


def explain_placement(query: str, find_placement: FindPlacement, migration: Migration | None) -> str:
    """Returns as JSON where an object is placed, and why.

    Args:
        query: The query, as `key=ab12,part=3,class=video,group=7,tenant=acme`; any field may be missing.
        find_placement: Returns the current placement of a request.
        migration: Holds the table in use, None if there is none.
    """
    try:
        request = parse_query(query)
    except QueryError as error:
        return json.dumps({"expected": error.expected})
    found = find_placement(home_key(request))
    if found is None or migration is None:
        return json.dumps(
            {"rule": None, "why": "no table is in use, or no rule is for it: as without a file"}
        )
    _, placement = found
    class_name = request.class_name or None
    explanation = migration.table.explain(
        class_name, request.tenant, request.group, request.key, request.part
    )
    del explanation["epoch"]
    return json.dumps(
        explanation
        | {
            "now": list(placement.found.members),
            "former": list(placement.previous),
            "waits": placement.pending,
        }
    )


def parse_query(query: str) -> Request:
    """Returns the request that a query describes; raises `QueryError` if it is malformed."""
    pairs = [each.partition("=")[::2] for each in query.split(",")]
    fields = {name.strip(): value.strip() for name, value in pairs if value}
    if len(fields) < len(pairs) or not set(fields) <= set(QUERY_FIELDS):
        raise QueryError([f"{name}=..." for name in QUERY_FIELDS])
    try:
        group = int(fields["group"]) if "group" in fields else None
        part = int(fields["part"]) if "part" in fields else None
    except ValueError:
        raise QueryError("whole numbers for group and part") from None
    key = object_key(fields["key"]) if "key" in fields else None
    return Request("", fields.get("class", ""), 0.0, key, part, group, tenant=fields.get("tenant"))
