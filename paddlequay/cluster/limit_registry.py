"""The limits that all routers of a fleet share: their leases, their division and their names."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from paddlequay.cluster.quotas import LimitDivision, divide_limit
from paddlequay.cluster.settings import LimitRule, LimitScope
from paddlequay.cluster.types import ClusterBounds, NameDigest

VALUE_BITS = 40  # low bits of a limit's name, which identify the value; the upper 24 identify the rule
VALUE_MASK = (1 << VALUE_BITS) - 1
ANY_VALUE = "*"


def lease_of(rule: LimitRule) -> NameDigest:
    """Returns the name of the lease whose holder grants the quotas of a rule."""
    return xxh3_64_intdigest(f"limit/{rule.name}")


def limit_of(lease: NameDigest, value: str) -> NameDigest:
    """Returns the name of the limit that a rule sets for one value.

    The name contains the digest of the rule, so that the lease's holder can find the rule of a value that it
    has never seen. Values with the same digest share one limit, so none of them can exceed it.
    """
    return (lease & ~VALUE_MASK) | (xxh3_64_intdigest(value) & VALUE_MASK)


@dataclass(frozen=True, slots=True)
class FleetLimit:
    """A limit over all routers.

    Attributes:
        rule: The rule in the settings.
        lease: The name of the lease whose holder grants quotas of the limit.
        division: How the limit is divided over the fleet.
        grant_validity_s: How long a grant is valid, in seconds.
    """

    rule: LimitRule
    lease: NameDigest
    division: LimitDivision
    grant_validity_s: float

    def applies_to(self, value: str) -> bool:
        """Returns whether this limit applies to a value of the rule's scope."""
        return self.rule.match in (ANY_VALUE, value)


class LimitRegistry:
    """All limits of the settings, found by scope and value or by the name of a value's limit."""

    def __init__(
        self,
        rules: Iterable[LimitRule],
        fleet_size: int,
        bounds: ClusterBounds,
        slot_grant_extension_s: float,
    ) -> None:
        """Divides the limits over the fleet.

        Args:
            rules: The limits of the settings.
            fleet_size: The number of routers.
            bounds: The times that all routers share.
            slot_grant_extension_s: How much longer a grant under a limit on requests in flight is valid than
                another grant, in seconds.

        Raises:
            ValueError: A rule is invalid, or the digests of two rules' names have the same upper 24 bits.
        """
        self._by_scope: dict[LimitScope, list[FleetLimit]] = {}
        self._by_rule_bits: dict[int, FleetLimit] = {}
        for rule in rules:
            lease = lease_of(rule)
            extension_s = slot_grant_extension_s if rule.max_in_flight is not None else 0.0
            limit = FleetLimit(
                rule, lease, divide_limit(rule, fleet_size), bounds.grant_validity_s + extension_s
            )
            rule_bits = lease >> VALUE_BITS
            if rule_bits in self._by_rule_bits:
                raise ValueError(
                    f"limit {rule.name}: another limit has the same name, or a name with the same digest"
                )
            self._by_rule_bits[rule_bits] = limit
            self._by_scope.setdefault(rule.scope, []).append(limit)

    def __iter__(self) -> Iterator[FleetLimit]:
        return iter(self._by_rule_bits.values())

    @property
    def leases(self) -> tuple[NameDigest, ...]:
        """The names of the leases whose holders grant the quotas of the limits."""
        return tuple(limit.lease for limit in self)

    def of_name(self, limit: NameDigest) -> FleetLimit | None:
        """Returns the fleet limit of a name that `limit_of` returned; None if its rule is unknown."""
        return self._by_rule_bits.get(limit >> VALUE_BITS)

    def matching(self, scope: LimitScope, value: str) -> Iterator[FleetLimit]:
        """Yields the limits that apply to a value of a scope."""
        return (limit for limit in self._by_scope.get(scope, ()) if limit.applies_to(value))
