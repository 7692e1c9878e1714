"""Signals wait for as long as the program cannot act on them.

Their default actions end it: while modules and configuration are read, and once the event loop is closed.
Ignored instead, a SIGHUP that came after the configuration was read left the router with the old one. They
are blocked; one that the system delivers to a thread which does not block it, as a library may have begun
one, is noted and raised again.
"""

import asyncio
import signal

HANDLED = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)
pending: set[int] = set()


def block() -> None:
    """Have signals wait for `release`."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED)
    for each in HANDLED:
        signal.signal(each, lambda number, _: pending.add(number))


def release() -> None:
    """All have their handlers in the loop: what has come meanwhile is acted on now."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED)
    while pending:
        signal.raise_signal(pending.pop())


def ignore(loop: asyncio.AbstractEventLoop) -> None:
    """Act on none any more: closing the loop would bring their default actions back."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED)
    for each in HANDLED:
        loop.remove_signal_handler(each)
        signal.signal(each, signal.SIG_IGN)
