"""The names of the figures in a load report, as caches and settings spell them."""

from collections.abc import Iterable

from paddlequay.routing.interface import LoadReport

FIELDS = {
    "active": "active_requests",
    "cpu": "utilization",
    "x0": "hit_ratio",
    "x1": "link_multiple",
}


def load_report(figures: Iterable[tuple[str, float]]) -> LoadReport:
    """Returns the load report of named figures; ignores unknown names, the last of a name counts."""
    return LoadReport(**{FIELDS[name]: value for name, value in figures if name in FIELDS})
