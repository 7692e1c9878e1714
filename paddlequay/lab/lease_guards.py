"""Leases with one rule of the product taken out each: a search has to find the fault it prevents."""

from dataclasses import dataclass

from paddlequay.cluster.acceptor import LeaseAcceptor, Vote
from paddlequay.cluster.bids import Bid
from paddlequay.cluster.elections import Elections
from paddlequay.cluster.leases import Leases
from paddlequay.cluster.messages import Propose
from paddlequay.cluster.types import NameDigest
from paddlequay.lab.lease_world import LeaseProcess


class CachedProcess(LeaseProcess):
    """Does not ask at the moment of use, but believes its last event."""

    def holds(self, lease: NameDigest) -> int | None:
        """Returns the term of the last event."""
        return self.acquired.get(lease)


class WithoutRestartDelay(Leases):
    """A restarted acceptor votes at once."""

    class acceptor_class(LeaseAcceptor):  # noqa: N801
        def seconds_until_voting(self, now: float) -> float:
            return 0.0


class WithoutAcceptorDrift(Leases):
    """An acceptor locks a lease for no longer than the holder counts true time."""

    class acceptor_class(LeaseAcceptor):  # noqa: N801
        def lock_end(self, duration_s: float, now: float) -> float:
            return now + duration_s


class WithoutHolderDrift(Leases):
    """A holder counts its lease by a clock that it takes for true."""

    class elections_class(Elections):  # noqa: N801
        def lease_end(self, sent_at: float, now: float) -> float:
            return sent_at + self.timing.duration_ms / 1000


class CountingFromAnswer(Leases):
    """A holder counts its lease from the answers of a majority."""

    class elections_class(Elections):  # noqa: N801
        def lease_end(self, sent_at: float, now: float) -> float:
            return super().lease_end(now, now)


class WithoutMajority(Leases):
    """One acceptance is enough."""

    class elections_class(Elections):  # noqa: N801
        def required_acceptances(self) -> int:
            return 1


class WithoutBallotCheck(Leases):
    """An acceptor accepts any ballot."""

    class acceptor_class(LeaseAcceptor):  # noqa: N801
        def may_accept(self, vote: Vote, message: Propose, now: float) -> bool:
            return True


class OverwritingLocks(Leases):
    """An acceptor gives a running lock to another owner."""

    class acceptor_class(LeaseAcceptor):  # noqa: N801
        def is_locked_by_other(self, vote: Vote, ballot: int, now: float) -> bool:
            return False


class WithoutFloor(Leases):
    """A restarted acceptor promises any ballot."""

    class acceptor_class(LeaseAcceptor):  # noqa: N801
        def floor_after_restart(self, highest_counter: int) -> int:
            return 0


class WithoutEnd(Leases):
    """A holder believes in its lease until it looks at the time."""

    class elections_class(Elections):  # noqa: N801
        def is_held(self, bid: Bid, now: float) -> bool:
            return bid.held_until > 0 and bid.phase.value == "holding"


class WithoutHeaderCounter(Leases):
    """The ballot counter in headers of datagrams is ignored."""

    def observe_counter(self, counter: int) -> None:
        """Ignores the counter."""


@dataclass(frozen=True, slots=True)
class Variant:
    """The classes that a search runs."""

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
