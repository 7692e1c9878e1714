"""Signals wait for as long as the program cannot act on them.

Their default actions end it: while modules and configuration are read, and once the event loop is closed.
Passed over instead, a SIGHUP that came after the configuration was read left the router with the old one.
"""

import signal

ACTED_ON = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)


def hold() -> None:
    """Have those that come wait for `let_through`; where that never comes, they wait until the exit."""
    signal.pthread_sigmask(signal.SIG_BLOCK, ACTED_ON)


def let_through() -> None:
    """All have their handlers: what has come meanwhile is acted on now."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, ACTED_ON)
