"""Keeps out members that are added and removed too often, for a pause that doubles each time."""

import math
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from paddlequay.discovery.reports import Address, MembershipLimits

MAX_HISTORIES = 20_000
CHANGES_PER_FLAP_COUNT = 2  # an addition and a removal


@dataclass(slots=True)
class FlapHistory:
    """When an address was added and removed lately, and until when it is kept out; times are seconds."""

    changed_at: deque[float] = field(default_factory=deque)
    pause: float = 0.0
    paused_until: float = -math.inf


class FlapGuard:
    """Decides which addresses flap, of the latest `MAX_HISTORIES`; times are seconds of one clock."""

    def __init__(self, limits: MembershipLimits) -> None:
        self.limits = limits
        self.histories: OrderedDict[Address, FlapHistory] = OrderedDict()

    def record(self, address: Address, now: float) -> None:
        """Counts an addition or removal; too many of them within `flap_window` start a pause."""
        limits = self.limits
        flaps = self.histories.setdefault(address, FlapHistory())
        self.histories.move_to_end(address)
        while len(self.histories) > MAX_HISTORIES:
            self.histories.popitem(last=False)
        flaps.changed_at.append(now)
        while now - flaps.changed_at[0] > limits.flap_window:
            flaps.changed_at.popleft()
        if len(flaps.changed_at) > CHANGES_PER_FLAP_COUNT * limits.max_flaps:
            flaps.pause = min(limits.max_flap_pause, max(limits.flap_pause, 2 * flaps.pause))
            flaps.paused_until = now + flaps.pause
            flaps.changed_at.clear()

    def paused_until(self, address: Address, now: float) -> float | None:
        """Returns until when an address is kept out; None if it is not."""
        flaps = self.histories.get(address)
        return None if flaps is None or now >= flaps.paused_until else flaps.paused_until
