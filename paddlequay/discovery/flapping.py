"""Members that come and go too often are kept out for a pause, twice as long each time."""

import math
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from paddlequay.discovery.reports import Address, MembershipLimits

MAX_HISTORIES = 20_000


@dataclass(slots=True)
class FlapHistory:
    """When a member came and went lately, and until when it is kept out for that."""

    changed_at: deque[float] = field(default_factory=deque)
    pause: float = 0.0
    paused_until: float = -math.inf


class FlapGuard:
    """The histories of addresses, the latest `MAX_HISTORIES` of them; times are seconds of one clock."""

    def __init__(self, limits: MembershipLimits) -> None:
        self.limits = limits
        self.histories: OrderedDict[Address, FlapHistory] = OrderedDict()

    def record(self, address: Address, now: float) -> None:
        """Count a coming or going; too many of them within the window earn a pause."""
        limits = self.limits
        flaps = self.histories.setdefault(address, FlapHistory())
        self.histories.move_to_end(address)
        while len(self.histories) > MAX_HISTORIES:
            self.histories.popitem(last=False)
        flaps.changed_at.append(now)
        while now - flaps.changed_at[0] > limits.flap_window:
            flaps.changed_at.popleft()
        if len(flaps.changed_at) > 2 * limits.max_flaps:
            flaps.pause = min(limits.max_flap_pause, max(limits.flap_pause, 2 * flaps.pause))
            flaps.paused_until = now + flaps.pause
            flaps.changed_at.clear()

    def paused_until(self, address: Address, now: float) -> float | None:
        """Until when an address is kept out; None where it is not."""
        flaps = self.histories.get(address)
        return None if flaps is None or now >= flaps.paused_until else flaps.paused_until
