"""Holds signals back while the program cannot handle them.

The default action of a signal would end the process before the event loop has its handlers, that is while
modules and the configuration are loaded, and after the loop is closed. While they are loaded, signals are
blocked rather than ignored, so that an early SIGHUP still takes effect. The kernel may deliver a signal to a
thread of a library, which does not block it; such a signal is recorded and raised again in `release`.
"""

import asyncio
import signal

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)
pending_signals: set[int] = set()


def block() -> None:
    """Holds signals back until `release` is called."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    for each in HANDLED_SIGNALS:
        signal.signal(each, lambda number, _: pending_signals.add(number))


def release() -> None:
    """Delivers the signals that were held back, to the handlers that the event loop must have by now."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
    while pending_signals:
        signal.raise_signal(pending_signals.pop())


def ignore(loop: asyncio.AbstractEventLoop) -> None:
    """Ignores all handled signals from now on, because closing the loop restores their default actions."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    for each in HANDLED_SIGNALS:
        loop.remove_signal_handler(each)
        signal.signal(each, signal.SIG_IGN)
