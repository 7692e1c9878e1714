"""Variants of the leases that lack one guard each; the search must find the fault that it prevents."""

from dataclasses import dataclass

from paddlequay.cluster.acceptor import LeaseAcceptor, Vote
from paddlequay.cluster.bids import Bid
from paddlequay.cluster.elections import Elections
from paddlequay.cluster.leases import Leases
from paddlequay.cluster.messages import Propose
from paddlequay.cluster.types import NameDigest
from paddlequay.lab.lease_world import LeaseProcess


class CachedProcess(LeaseProcess):
    """A process relies on its last event instead of asking for the lease at the moment of use."""

    def holds(self, lease: NameDigest) -> int | None:
        """Returns the term of the last event, None after the lease was lost."""
        return self.acquired.get(lease)


class WithoutRestartDelay(Leases):
    """A restarted acceptor votes without waiting for its restart delay."""

    class acceptor_class(LeaseAcceptor):  # noqa: N801
        def seconds_until_voting(self, now: float) -> float:
            return 0.0


class WithoutAcceptorDrift(Leases):
    """An acceptor locks a lease without allowing for the drift of its own clock."""

    class acceptor_class(LeaseAcceptor):  # noqa: N801
        def lock_end(self, duration_s: float, now: float) -> float:
            return now + duration_s


class WithoutHolderDrift(Leases):
    """A holder computes the end of its lease without allowing for the drift of its own clock."""

    class elections_class(Elections):  # noqa: N801
        def lease_end(self, sent_at: float, now: float) -> float:
            return sent_at + self.timing.duration_ms / 1000


class CountingFromAnswer(Leases):
    """A holder counts its lease from the answers of a majority instead of from before its request."""

    class elections_class(Elections):  # noqa: N801
        def lease_end(self, sent_at: float, now: float) -> float:
            return super().lease_end(now, now)


class WithoutMajority(Leases):
    """A bidder needs one acceptance instead of a majority."""

    class elections_class(Elections):  # noqa: N801
        def required_acceptances(self) -> int:
            return 1


class WithoutBallotCheck(Leases):
    """An acceptor accepts a proposal of any ballot, whatever it has promised."""

    class acceptor_class(LeaseAcceptor):  # noqa: N801
        def may_accept(self, vote: Vote, message: Propose, now: float) -> bool:
            return True


class OverwritingLocks(Leases):
    """An acceptor lets another owner overwrite a lock that has not ended."""

    class acceptor_class(LeaseAcceptor):  # noqa: N801
        def is_locked_by_other(self, vote: Vote, ballot: int, now: float) -> bool:
            return False


class WithoutFloor(Leases):
    """A restarted acceptor promises any ballot, without a lower bound."""

    class acceptor_class(LeaseAcceptor):  # noqa: N801
        def floor_after_restart(self, highest_counter: int) -> int:
            return 0


class WithoutEnd(Leases):
    """A holder believes it holds its lease until its next tick, also after the end of the lease."""

    class elections_class(Elections):  # noqa: N801
        def is_held(self, bid: Bid, now: float) -> bool:
            return bid.held_until > 0 and bid.phase.value == "holding"


class WithoutHeaderCounter(Leases):
    """A process ignores the ballot counters in the headers of datagrams."""

    def observe_counter(self, counter: int) -> None:
        """Ignores the counter."""


@dataclass(frozen=True, slots=True)
class Variant:
    """The classes of leases and processes that a search runs."""

    leases: type[Leases] = Leases
    process: type[LeaseProcess] = LeaseProcess


COMPLETE = Variant()
WITHOUT_GUARD: dict[str, Variant] = {
    "restart stay-out": Variant(WithoutRestartDelay),
    "drift at the acceptor": Variant(WithoutAcceptorDrift),
    "drift at the holder": Variant(WithoutHolderDrift),
    "count from before sending": Variant(CountingFromAnswer),
    "majority": Variant(WithoutMajority),
    "ballot check in accept": Variant(WithoutBallotCheck),
    "no overwriting of a lock": Variant(OverwritingLocks),
    "clock in heads": Variant(WithoutHeaderCounter),
    "floor after a restart": Variant(WithoutFloor),
    "end of what is held": Variant(WithoutEnd),
    "holds asked at use": Variant(process=CachedProcess),
}
