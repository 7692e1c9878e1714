"""Incarnation numbers, which identify the process that sent a message and order its refutations.

An incarnation is the Unix time of the process's start in milliseconds, shifted left by `REFUTATION_BITS`. The
low bits count the refutations of that process, so that a restart can be distinguished from a refutation.
"""

REFUTATION_BITS = 16
# Two process starts below the largest field value, so that a refutation of any valid number fits into a
# field.
MAX_INCARNATION = (1 << 63) - (1 << (REFUTATION_BITS + 1))


def first_incarnation(start_unix_ms: int) -> int:
    """Returns the incarnation of a new process, which is higher than all refutations of earlier processes."""
    return max(1, start_unix_ms) << REFUTATION_BITS


def process_start_ms(incarnation: int) -> int:
    """Returns the Unix time of the process's start in milliseconds, which all its incarnations share."""
    return incarnation >> REFUTATION_BITS


def refuting_incarnation(own_incarnation: int, reported_incarnation: int) -> int:
    """Returns the incarnation with which a router refutes a report about itself.

    Args:
        own_incarnation: the router's current incarnation.
        reported_incarnation: the reported one, possibly of an earlier process whose clock was ahead.
    """
    if process_start_ms(reported_incarnation) > process_start_ms(own_incarnation):
        return first_incarnation(process_start_ms(reported_incarnation) + 1)
    return reported_incarnation + 1


def is_valid_incarnation(incarnation: int) -> bool:
    """Returns whether a number received from a peer is in the range of incarnations."""
    return 0 < incarnation <= MAX_INCARNATION
