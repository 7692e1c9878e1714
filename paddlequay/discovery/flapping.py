"""Holds back members that are added and removed too often, for a pause that doubles each time."""

import math
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from paddlequay.discovery.reports import MembershipLimits
from paddlequay.routing.membership_state import Address

MAX_HISTORIES = 20_000
CHANGES_PER_FLAP = 2  # an addition and a removal


@dataclass(slots=True)
class FlapHistory:
    """The recent additions and removals of an address, and its pause; all times are seconds."""

    changed_at: deque[float] = field(default_factory=deque)
    pause: float = 0.0
    paused_until: float = -math.inf


class FlapGuard:
    """Detects flapping among the last `MAX_HISTORIES` changed addresses; times are seconds of one clock."""

    def __init__(self, limits: MembershipLimits) -> None:
        self.limits = limits
        self.histories: OrderedDict[Address, FlapHistory] = OrderedDict()

    def record(self, address: Address, now: float) -> None:
        """Records an addition or removal; more than `max_flaps` of each in `flap_window` start a pause."""
        limits = self.limits
        history = self.histories.get(address, FlapHistory())
        self.restore(address, history)
        history.changed_at.append(now)
        while now - history.changed_at[0] > limits.flap_window:
            history.changed_at.popleft()
        if len(history.changed_at) > CHANGES_PER_FLAP * limits.max_flaps:
            history.pause = min(limits.max_flap_pause, max(limits.flap_pause, 2 * history.pause))
            history.paused_until = now + history.pause
            history.changed_at.clear()

    def restore(self, address: Address, history: FlapHistory) -> None:
        """Sets the history of an address; drops the oldest ones beyond `MAX_HISTORIES`."""
        self.histories[address] = history
        self.histories.move_to_end(address)
        while len(self.histories) > MAX_HISTORIES:
            self.histories.popitem(last=False)

    def paused_until(self, address: Address, now: float) -> float | None:
        """Returns when the pause of an address ends; None if it has no pause."""
        history = self.histories.get(address)
        return None if history is None or now >= history.paused_until else history.paused_until
