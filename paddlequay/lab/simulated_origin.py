"""The origin of a simulated hierarchy: purges that were issued, and the fills that it gave out."""

from collections import Counter
from dataclasses import dataclass

from paddlequay.hierarchy.copy_cache import PartKey


@dataclass(frozen=True, slots=True)
class OriginFill:
    """A copy that the origin has given out.

    `epoch` counts the purges of the object that were issued before. `living_holders` are the living nodes
    that held the object then, or were sent it, and that the filling node may ask as far as it knows.
    """

    key: PartKey
    epoch: int
    node: str
    living_holders: tuple[str, ...]


class SimulatedOrigin:
    """Gives out copies, and records each."""

    def __init__(self) -> None:
        self.epochs: Counter[str] = Counter()  # purges of an object that have been issued
        self.purged_at: dict[str, float] = {}  # the latest purge of an object
        self.fills: list[OriginFill] = []
        # Copies on their way: the part, the node that they are sent to, the epoch.
        self.outstanding: Counter[tuple[PartKey, str, int]] = Counter()

    def purge(self, object_name: str, purged_at: float) -> None:
        """Records a purge of an object."""
        self.epochs[object_name] += 1
        self.purged_at[object_name] = purged_at

    def give(self, key: PartKey, node: str, living_holders: tuple[str, ...]) -> None:
        """Records a fill whose copy is on its way to a node."""
        epoch = self.epochs[key.object_name]
        self.fills.append(OriginFill(key, epoch, node, living_holders))
        self.outstanding[key, node, epoch] += 1

    def on_arrived(self, key: PartKey, node: str, epoch: int) -> None:
        """Records that a copy has arrived."""
        self.outstanding[key, node, epoch] -= 1

    def is_sending(self, key: PartKey, node: str) -> bool:
        """Returns whether a copy of the current epoch is on its way to a node."""
        return bool(self.outstanding[key, node, self.epochs[key.object_name]])

    def second_fills(self) -> list[OriginFill]:
        """Returns the fills of an object and part since the same purge, beyond the first."""
        seen: set[tuple[PartKey, int]] = set()
        second = []
        for fill in self.fills:
            if (fill.key, fill.epoch) in seen:
                second.append(fill)
            seen.add((fill.key, fill.epoch))
        return second
