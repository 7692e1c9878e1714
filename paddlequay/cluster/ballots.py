"""Ballots of leases: a counter, the number of the router that made the ballot, and a nonce of its process.

A ballot has 63 bits, `counter << 32 | router << 16 | nonce`, and is the term of the holder that acquires a
lease with it. A run is one process of a router, identified by number and nonce; no two runs make the same
ballot.
"""

import random

from paddlequay.cluster.types import Peer

RUN_BITS = 32
NONCE_BITS = 16
RUN_MASK = (1 << RUN_BITS) - 1
ROUTER_MASK = (1 << (RUN_BITS - NONCE_BITS)) - 1
MAX_COUNTER = (1 << 31) - 1


def counter_of(ballot: int) -> int:
    """Returns the counter of a ballot, by which the ballots of all routers are ordered."""
    return ballot >> RUN_BITS


def run_of(ballot: int) -> int:
    """Returns the run that made a ballot.

    A restarted router counts as another owner, since its former process may still be running.
    """
    return ballot & RUN_MASK


def router_of(ballot: int) -> Peer:
    """Returns the number of the router that made a ballot."""
    return ballot >> NONCE_BITS & ROUTER_MASK


def highest_of_counter(counter: int) -> int:
    """Returns the highest ballot that any run can make with this counter."""
    return counter << RUN_BITS | RUN_MASK


class BallotCounter:
    """Makes the ballots of one run, each higher than all ballots that this router has observed."""

    def __init__(self, me: Peer, rng: random.Random) -> None:
        self.highest = 0
        self.run = me << NONCE_BITS | rng.getrandbits(NONCE_BITS)

    def observe(self, counter: int) -> None:
        """Raises the counter to one that another router uses; ignores one that is out of range."""
        if self.highest < counter < MAX_COUNTER:
            self.highest = counter

    def next_ballot(self) -> int | None:
        """Returns a new ballot, or None once the counter is exhausted."""
        if self.highest + 1 >= MAX_COUNTER:
            return None
        self.highest += 1
        return self.highest << RUN_BITS | self.run
