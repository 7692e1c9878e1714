"""The ids of requests that may have been executed, so that none of them is executed twice."""

from collections import OrderedDict
from collections.abc import Callable

HOLD_S = 60.0  # several times as long as any client waits for an answer
MAX_IDS = 16_384  # of these classes; a limit on memory, some minutes at usual rates


class ExecutedIds:
    """Ids of requests of classes that are not idempotent, from the first write of an attempt.

    A client gives each request an id of its own. If one comes again, after its client has left, has been
    answered, or at the other process of a hot restart, an attempt for it may run a second time.

    Args:
        now: The clock, in monotonic seconds.

    Attributes:
        added_at: When each id was added, the oldest first.
        on_add: Receives each id that this process adds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.added_at: OrderedDict[str, float] = OrderedDict()
        self.on_add: Callable[[str], None] = lambda _: None

    def __contains__(self, id: str) -> bool:
        self._expire()
        return id in self.added_at

    def add(self, id: str) -> None:
        """Adds an id, an attempt of which was written by this process."""
        if id not in self.added_at:
            self.on_add(id)
        self.inherit(id)

    def inherit(self, id: str) -> None:
        """Adds an id, an attempt of which was written by another process of this router."""
        self.added_at.pop(id, None)
        self.added_at[id] = self.now()
        self._expire()

    def remove(self, id: str) -> None:
        """Removes an id whose request provably had no effect; ignores an unknown one."""
        self.added_at.pop(id, None)

    def recent(self) -> tuple[str, ...]:
        """Returns all ids, the oldest first."""
        self._expire()
        return tuple(self.added_at)

    def _expire(self) -> None:
        """Removes the ids that are too old or too many."""
        oldest_allowed = self.now() - HOLD_S
        while self.added_at:
            id, added_at = next(iter(self.added_at.items()))
            if added_at > oldest_allowed and len(self.added_at) <= MAX_IDS:
                return
            del self.added_at[id]
