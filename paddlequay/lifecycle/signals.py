"""Holds signals back while the program cannot act on them.

The default actions of signals end the process: while modules and the configuration are read, and after
the event loop is closed. Signals are blocked then, not ignored, so that a SIGHUP that comes early still
takes effect. A signal that the system delivers to a thread of a library, which does not block it, is
noted and raised again.
"""

import asyncio
import signal

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)
pending_signals: set[int] = set()


def block() -> None:
    """Holds signals back until `release`."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    for each in HANDLED_SIGNALS:
        signal.signal(each, lambda number, _: pending_signals.add(number))


def release() -> None:
    """Delivers the signals held back; the event loop must have its handlers by now."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
    while pending_signals:
        signal.raise_signal(pending_signals.pop())


def ignore(loop: asyncio.AbstractEventLoop) -> None:
    """Ignores all signals from now on, since closing the event loop restores their default actions."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    for each in HANDLED_SIGNALS:
        loop.remove_signal_handler(each)
        signal.signal(each, signal.SIG_IGN)
