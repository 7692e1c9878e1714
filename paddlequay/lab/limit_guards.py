"""Variants of the fleet limits that lack one guard each; the search must find an exceeded limit."""

from dataclasses import replace

from paddlequay.cluster.buckets import ActiveGrant, BucketTiming, RateBucket, SlotBucket, SlotKind
from paddlequay.cluster.fleet_limits import FleetLimits
from paddlequay.cluster.grant_ledger import Ledger
from paddlequay.cluster.granter import Granter
from paddlequay.cluster.limit_registry import FleetLimit
from paddlequay.cluster.local_limits import LocalLimit
from paddlequay.cluster.messages import QuotaGrant
from paddlequay.cluster.quota_client import QuotaClient
from paddlequay.cluster.quotas import NO_QUOTA, LimitDivision, Quota
from paddlequay.cluster.types import NameDigest, Peer


class ValidFromReceipt(FleetLimits):
    """A grant is valid from its receipt instead of from the request that it answers."""

    class client_class(QuotaClient):  # noqa: N801
        def valid_from(self, limit: LocalLimit, grant: QuotaGrant, now: float) -> float | None:
            return None if super().valid_from(limit, grant, now) is None else now


class AnyRequestAnswered(FleetLimits):
    """A grant is taken as the answer to the last request, whichever request it answers."""

    class client_class(QuotaClient):  # noqa: N801
        def valid_from(self, limit: LocalLimit, grant: QuotaGrant, now: float) -> float | None:
            return limit.last_request_at if limit.sent_requests else None


class FilledByFastClock(FleetLimits):
    """Buckets are filled without allowing for a clock that runs fast."""

    def min_clock_rate(self) -> float:
        return 1.0


class LowerShareAtOnce(FleetLimits):
    """The holder counts only the last grant of a router, although an earlier, higher one is still valid."""

    class granter_class(Granter):  # noqa: N801
        def issue(
            self, ledger: Ledger, limit: FleetLimit, sender: Peer, incarnation: int, now: float
        ) -> Quota:
            quota = super().issue(ledger, limit, sender, incarnation, now)
            outstanding = ledger.outstanding[sender, incarnation]
            outstanding.grants = outstanding.grants[-1:]
            return quota


class FormerProcessForgotten(FleetLimits):
    """The holder forgets the grants of a router's former process when the new process sends a request."""

    class granter_class(Granter):  # noqa: N801
        def granted_to_others(self, ledger: Ledger, sender: Peer, incarnation: int, now: float) -> Quota:
            ledger.outstanding = {
                process: outstanding
                for process, outstanding in ledger.outstanding.items()
                if process[0] != sender or process[1] == incarnation
            }
            return super().granted_to_others(ledger, sender, incarnation, now)


class WithoutWait(FleetLimits):
    """A new holder grants without waiting for the former holder's grants to expire."""

    class granter_class(Granter):  # noqa: N801
        def wait_after_acquisition(self, limit: FleetLimit) -> float:
            return 0.0


class WithoutDriftOfGrants(FleetLimits):
    """The holder counts a grant's validity by its own clock without allowing for drift."""

    class granter_class(Granter):  # noqa: N801
        def outstanding_for(self, grant_validity_s: float) -> float:
            return grant_validity_s


class FormerTermRemembered(FleetLimits):
    """A router that has lost the lease continues to grant under its former term."""

    class granter_class(Granter):  # noqa: N801
        def granting_term(self, lease: NameDigest, now: float) -> int | None:
            held = super().granting_term(lease, now)
            return held if held is not None else self.terms.get(lease, (None, 0.0))[0]


class FullAtStart(FleetLimits):
    """The buckets of a new process are full."""

    class rate_bucket_class(RateBucket):  # noqa: N801
        def initial_tokens(self, now: float) -> float:
            return self.division.floor.burst_milli


class RaisedWithTokens(FleetLimits):
    """A higher quota adds the tokens of its larger burst at once."""

    class rate_bucket_class(RateBucket):  # noqa: N801
        def change_grant(self, grant: ActiveGrant) -> None:
            self.tokens += max(0, grant.quota.burst_milli - self.grant.quota.burst_milli)
            super().change_grant(grant)


class WithoutClipping(FleetLimits):
    """A lower or expired quota does not reduce the tokens that the bucket holds."""

    class rate_bucket_class(RateBucket):  # noqa: N801
        def fill(self, now: float) -> None:
            if now > self.filled_at:
                gained = self.rate_milli * (now - self.filled_at) * self.timing.min_clock_rate
                self.tokens = max(self.tokens, min(self.capacity_milli, self.tokens + gained))
                self.filled_at = now

        def change_grant(self, grant: ActiveGrant) -> None:
            self.grant = grant


class ExpiryFoundLate(FleetLimits):
    """The expiry of a grant is noticed up to 10 s late instead of at the next use."""

    class rate_bucket_class(RateBucket):  # noqa: N801
        def advance(self, now: float, isolated: bool) -> None:
            if self.grant.valid_until <= now < self.grant.valid_until + 10:
                self.fill(now)
            else:
                super().advance(now, isolated)


class EndingAfterGrant(FleetLimits):
    """Requests that end after the grant expires may use one of its slots."""

    class slot_bucket_class(SlotBucket):  # noqa: N801
        def free_slot(self, now: float, duration_s: float) -> SlotKind | None:
            if self.grant.quota is NO_QUOTA:
                return super().free_slot(now, duration_s)
            return super().free_slot(now, min(duration_s, self.grant.valid_until - now))


class FloorsNeverBlocked(FleetLimits):
    """Floor slots of a new process are available at once."""

    class slot_bucket_class(SlotBucket):  # noqa: N801
        def is_floor_open(self, now: float) -> bool:
            return True


class WholeGrantRetained(FleetLimits):
    """A router that is isolated in the open mode retains its whole quota."""

    class rate_bucket_class(RateBucket):  # noqa: N801
        def __init__(self, division: LimitDivision, timing: BucketTiming, now: float) -> None:
            max_retained = division.limit if division.max_retained != NO_QUOTA else NO_QUOTA
            super().__init__(replace(division, max_retained=max_retained), timing, now)


WITHOUT_GUARD: tuple[type[FleetLimits], ...] = (
    ValidFromReceipt,
    AnyRequestAnswered,
    FilledByFastClock,
    LowerShareAtOnce,
    FormerProcessForgotten,
    WithoutWait,
    WithoutDriftOfGrants,
    FormerTermRemembered,
    FullAtStart,
    RaisedWithTokens,
    WithoutClipping,
    ExpiryFoundLate,
    EndingAfterGrant,
    FloorsNeverBlocked,
    WholeGrantRetained,
)
