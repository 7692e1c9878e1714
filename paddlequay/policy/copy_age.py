"""Age limits of copies: purges, and how old a copy may be."""

import math
from collections import OrderedDict

MAX_PURGES = 5000


class PurgeHistory:
    """When objects and groups were purged, for the seconds in which older copies may live.

    Where `completion_time` is not given a purge binds for good, which costs refetches and breaks no rule.
    """

    def __init__(self, completion_time: float | None) -> None:
        self.completion_time = math.inf if completion_time is None else completion_time
        self.purged_at: OrderedDict[tuple[str, int | None], float] = OrderedDict()
        self.all_purged_at = -math.inf

    def add(self, group: int | None, key: int | None, at: float, now: float) -> None:
        """Remember a purge until the copies are cleared; too many fold into one purge of everything."""
        name = ("group", group or 0) if key is None else ("key", key)
        self.purged_at[name] = max(self.purged_at.get(name, -math.inf), at)
        self.purged_at.move_to_end(name)
        while self.purged_at and (
            len(self.purged_at) > MAX_PURGES
            or now - next(iter(self.purged_at.values())) > self.completion_time
        ):
            at = self.purged_at.popitem(last=False)[1]
            if now - at <= self.completion_time:
                self.all_purged_at = max(self.all_purged_at, at)

    def age(self, group: int | None, key: int | None, now: float) -> float | None:
        """Seconds since an object was last purged; None where no older copy lives."""
        purged = self.all_purged_at
        for name in (("group", group), ("key", key)):
            purged = max(purged, self.purged_at.get(name, -math.inf))
        return now - purged if now - purged <= self.completion_time and purged > -math.inf else None
