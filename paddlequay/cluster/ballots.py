"""Ballots of leases: a counter, the router that made the ballot, and a nonce of the run of that router.

A ballot has 63 bits, `counter << 32 | router << 16 | nonce`, and is the term of the holder that acquires a
lease with it. No two runs make the same ballot.
"""

import random

from paddlequay.cluster.types import Peer

RUN_BITS = 32
NONCE_BITS = 16
RUN_MASK = (1 << RUN_BITS) - 1
ROUTER_MASK = (1 << (RUN_BITS - NONCE_BITS)) - 1
MAX_COUNTER = (1 << 31) - 1


def counter_of(ballot: int) -> int:
    """Returns the counter of a ballot, which orders ballots of all routers."""
    return ballot >> RUN_BITS


def run_of(ballot: int) -> int:
    """Returns the run that made a ballot.

    A restarted router is another owner of its leases, since its former process may still run.
    """
    return ballot & RUN_MASK


def router_of(ballot: int) -> Peer:
    """Returns the number of the router that made a ballot."""
    return ballot >> NONCE_BITS & ROUTER_MASK


def highest_of_counter(counter: int) -> int:
    """Returns the highest ballot that any run can make with a counter."""
    return counter << RUN_BITS | RUN_MASK


class BallotCounter:
    """Makes the ballots of one run, each above all ballots that this router has heard of."""

    def __init__(self, me: Peer, rng: random.Random) -> None:
        self.highest = 0
        self.run = me << NONCE_BITS | rng.getrandbits(NONCE_BITS)

    def observe(self, counter: int) -> None:
        """Raises the counter to one that another router uses; ignores one that is out of range."""
        if self.highest < counter < MAX_COUNTER:
            self.highest = counter

    def next_ballot(self) -> int | None:
        """Returns a new ballot, or None where the counter has no more bits."""
        if self.highest + 1 >= MAX_COUNTER:
            return None
        self.highest += 1
        return self.highest << RUN_BITS | self.run
