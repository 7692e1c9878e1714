"""Maps the names in load reports on the wire and in the settings to the fields of `LoadReport`."""

from collections.abc import Iterable

from paddlequay.routing.interface import LoadReport

FIELDS_BY_NAME = {
    "active": "active_requests",
    "cpu": "utilization",
    "x0": "hit_ratio",
    "x1": "link_multiple",
}


def load_report(values: Iterable[tuple[str, float]]) -> LoadReport:
    """Returns the load report of named values; ignores unknown names, uses the last value of each name."""
    return LoadReport(**{FIELDS_BY_NAME[name]: value for name, value in values if name in FIELDS_BY_NAME})
