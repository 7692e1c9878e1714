"""What is believed of members' health: failures, who is skipped for them, and trials of who is."""

from collections.abc import Callable, Iterable

from paddlequay.routing.interface import Action, Log
from paddlequay.routing.state import Server

SKIP_FAILURES = 3  # consecutive failures: one is chance, three in a row hardly ever
TRIAL_DELAY_S = 5.0  # a skipped member gets one trial after this long
SAME_FAULT_S = 0.05  # connections lost so close together count once: one that breaks ends all that is on it
ALIVE_S = 1.0  # a plain error says little of a member that has served within this time


Recall = Callable[[Server], Iterable[Action]]


class Health:
    """Who fails; `recall` gives the actions that take back what waits at a member just found failing."""

    def __init__(self, recall: Recall) -> None:
        self.recall = recall

    def usable(self, server: Server, now: float) -> bool:
        """Not skipped, or due its trial."""
        return not server.skipped or (server.trial is None and now >= server.trial_at)

    def try_out(self, server: Server, request: str) -> None:
        """A request goes there: the trial of a member that is skipped, if it has none yet."""
        if server.skipped and server.trial is None:
            server.trial = request

    def end_trial(self, server: Server, request: str) -> None:
        if server.trial == request:
            server.trial = None

    def succeed(self, server: Server, now: float) -> list[Action]:
        said: list[Action] = [Log(f"{server.entry.name} answers again")] if server.skipped else []
        server.ok_at, server.failures, server.skipped = now, 0, False
        return said

    def told(self, server: Server, now: float) -> None:
        """By the fleet's word it fails: this router's own trial comes first, unless it has served lately."""
        if not server.skipped and now - server.ok_at > ALIVE_S:
            server.skipped, server.trial_at, server.failures = True, now, SKIP_FAILURES - 1

    def fail(self, server: Server, broke: bool, now: float) -> list[Action]:
        """Skip after consecutive failures; a failed trial puts the next one off."""
        if broke and now - server.failed_at < SAME_FAULT_S:
            return []
        server.failed_at, server.failures = now, server.failures + 1
        if server.failures < SKIP_FAILURES:
            return []
        server.trial_at, known, server.skipped = now + TRIAL_DELAY_S, server.skipped, True
        if known:
            return []
        return [Log(f"{server.entry.name} skipped after {server.failures} failures"), *self.recall(server)]
