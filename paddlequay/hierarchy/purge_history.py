"""Recent purges, which decide how old a copy of an object may be to serve a request."""

import math
from collections import OrderedDict
from typing import NamedTuple

MAX_PURGES = 20_000


class PurgeTarget(NamedTuple):
    """The target of a purge: an object, or a group if `object_name` is None."""

    object_name: str | None
    group: int | None


class PurgeHistory:
    """The times at which objects and groups were last purged.

    Above `max_purges` the oldest purges are merged into one purge of all objects. This costs extra fills, but
    no purged copy is served.

    Args:
        memory_s: For how many seconds a purge is remembered; after that no cache holds a copy from before it.
        max_purges: How many purges are remembered.
    """

    def __init__(self, memory_s: float, max_purges: int = MAX_PURGES) -> None:
        self.memory_s = memory_s
        self.max_purges = max_purges
        self.purged_at: OrderedDict[PurgeTarget, float] = OrderedDict()  # in order of arrival
        self.latest_of_any_group = -math.inf  # applies to copies whose group is not known
        self.latest_of_everything = -math.inf

    def add(self, object_name: str | None, group: int | None, purged_at: float, now: float) -> None:
        """Records a purge.

        Args:
            object_name: The object that is purged; None for the purge of a group.
            group: The group that is purged, where `object_name` is None.
            purged_at: When the purge was issued, in Unix seconds.
            now: The time in Unix seconds.
        """
        target = PurgeTarget(object_name, None if object_name is not None else group)
        self.purged_at[target] = max(purged_at, self.purged_at.pop(target, -math.inf))
        if object_name is None:
            self.latest_of_any_group = max(self.latest_of_any_group, purged_at)
        self._forget_oldest(now)

    def latest_of_object(self, object_name: str) -> float:
        """Returns the latest purge of an object, in Unix seconds, without purges of groups.

        It is for a fill, whose copy's group is not known yet.
        """
        return max(self.latest_of_everything, self._latest(PurgeTarget(object_name, None)))

    def min_generated_at(self, object_name: str, group: int | None) -> float:
        """Returns the Unix second before which no copy of an object may have been generated.

        Args:
            object_name: The object.
            group: The group of the copy; None if it is not known, so that purges of all groups count.
        """
        by_object = self.latest_of_object(object_name)
        if group is None:
            return max(self.latest_of_any_group, by_object)
        return max(self._latest(PurgeTarget(None, group)), by_object)

    def _latest(self, target: PurgeTarget) -> float:
        return self.purged_at.get(target, -math.inf)

    def _forget_oldest(self, now: float) -> None:
        """Drops expired purges, and merges those above the limit into one purge of all objects."""
        while self.purged_at:
            oldest = next(iter(self.purged_at.values()))
            is_expired = now - oldest > self.memory_s
            if not is_expired and len(self.purged_at) <= self.max_purges:
                return
            self.purged_at.popitem(last=False)
            if not is_expired:
                self.latest_of_everything = max(self.latest_of_everything, oldest)
