"""Holds signals back while the program cannot act on them.

The default actions of signals end the process: while modules and the configuration are read, and after
the event loop is closed. Signals are blocked then, not ignored, so that a SIGHUP that comes early still
takes effect. A signal that the system delivers to a thread of a library, which does not block it, is
noted and raised again.
"""

import asyncio
import signal

HANDLED = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)
pending: set[int] = set()


def block() -> None:
    """Holds signals back until `release`."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED)
    for each in HANDLED:
        signal.signal(each, lambda number, _: pending.add(number))


def release() -> None:
    """Delivers the signals held back; the event loop must have its handlers by now."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED)
    while pending:
        signal.raise_signal(pending.pop())


def ignore(loop: asyncio.AbstractEventLoop) -> None:
    """Ignores all signals from now on, since closing the event loop restores their default actions."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED)
    for each in HANDLED:
        loop.remove_signal_handler(each)
        signal.signal(each, signal.SIG_IGN)
