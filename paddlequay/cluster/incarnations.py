"""Incarnation numbers: which start of a process a message belongs to, and how a claim about it is refuted.

An incarnation is the Unix time of the process's start in milliseconds, shifted left by `REFUTATION_BITS`. The
low bits count the refutations of that process, so that a restart can be told from a refutation.
"""

REFUTATION_BITS = 16
# Below the largest field by two starts, so that no claim can make a router run out of numbers.
MAX_INCARNATION = (1 << 63) - (1 << (REFUTATION_BITS + 1))


def first_incarnation(start_unix_ms: int) -> int:
    """Returns the incarnation of a new process. It is higher than all refutations of earlier processes."""
    return max(1, start_unix_ms) << REFUTATION_BITS


def process_start_ms(incarnation: int) -> int:
    """Returns the start of the process in Unix milliseconds, which all its incarnations share."""
    return incarnation >> REFUTATION_BITS


def refuting_incarnation(own: int, claimed: int) -> int:
    """Returns the incarnation with which a router refutes a claim about itself.

    Args:
        own: the router's incarnation so far.
        claimed: the incarnation in the claim, possibly of an earlier process with a later clock.
    """
    if process_start_ms(claimed) > process_start_ms(own):
        return first_incarnation(process_start_ms(claimed) + 1)
    return claimed + 1


def is_valid_incarnation(incarnation: int) -> bool:
    """Returns whether a number received from a peer can be an incarnation."""
    return 0 < incarnation <= MAX_INCARNATION
