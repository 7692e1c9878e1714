"""How crowded the store of everything is, by how long fills have waited for it.

All routers' fills end at one origin, which slows down when it is crowded: what each of them sends on, and
sends again after a time-out, is little, and the sum halves what the origin gets done. Nothing tells a router
what the others have out there, but each fill that came by way of the origin tells how long it waited for its
first byte, which is the same for all. A wait past the aim makes an answer that earns next to nothing, so what
no parent holds is then better refused at once, and leaves the origin to those that can still be in time.
"""

import math
from dataclasses import dataclass

from paddlequay.routing.zone_load import MAX_REPORT_AGE_S, position_in_span

MEMORY_S = 1.0  # of the mean wait: a jam builds up within a second or two
WAIT_SPAN = (0.5, 1.5)  # of the aim: what has waited so long is late with its sending time, or without it


@dataclass(slots=True)
class OriginWait:
    """The mean wait of the fills that came from the origin lately, in seconds."""

    mean: float = 0.0
    updated_at: float = -math.inf

    def record(self, waited: float, now: float) -> None:
        """A fill came by way of the origin after a wait."""
        self.mean += (waited - self.mean) * (1.0 - math.exp(-(now - self.updated_at) / MEMORY_S))
        self.updated_at = now

    def record_abandoned(self, waited: float, now: float) -> None:
        """A fill was given up after so long, for no nearer reason: its wait would have been longer.

        Where only what came counted, nothing told of an origin that let nobody through any more; where this
        counted as a wait that had ended, impatient readers told that the origin had room.
        """
        self.record(max(waited, self.recent(now)), now)

    def recent(self, now: float) -> float:
        """The mean wait, faded by the time since anything was heard."""
        return self.mean * math.exp(-(now - self.updated_at) / MAX_REPORT_AGE_S)

    def sheds(self, aim: float, luck: float, now: float) -> bool:
        """Whether a request with this aim, by its luck in [0, 1), is not to be fetched from the origin.

        What was heard fades, so that after a time in which nothing was sent there not all begin together.
        """
        return luck < position_in_span(self.recent(now) / aim, WAIT_SPAN)
