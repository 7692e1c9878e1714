"""The load of the origin, by how long fills have waited for it.

All routers' fills end at one origin, which slows down under contention: what each of them forwards, and
retries after a time-out, is little, and the sum halves what the origin gets done. No router knows what the
others have in flight there, but each fill that came by way of the origin reports how long it waited for its
first byte, which is the same for all. A wait past the latency objective makes an answer of next to no value,
so what no parent holds is then better rejected at once, which leaves the origin to those that can still be in
time.
"""

import math
from dataclasses import dataclass

from paddlequay.policy.load_shedding import MAX_REPORT_AGE_S, position_in_span

DECAY_S = 1.0  # of the mean wait: a jam builds up within a second or two
WAIT_SPAN = (
    0.5,
    1.5,
)  # of the objective: what has waited so long is late with its sending time, or without it


@dataclass(slots=True)
class OriginWait:
    """The mean wait of the fills that came from the origin lately, in seconds."""

    mean: float = 0.0
    updated_at: float = -math.inf

    def record(self, wait: float, now: float) -> None:
        """A fill came by way of the origin after a wait of so many seconds."""
        self.mean += (wait - self.mean) * (1.0 - math.exp(-(now - self.updated_at) / DECAY_S))
        self.updated_at = now

    def record_abandoned(self, wait: float, now: float) -> None:
        """A fill was abandoned after so many seconds, for no nearer reason: its wait would have been longer.

        Without these, nothing showed an origin that served nobody any more; counted as waits that had ended,
        impatient readers made the origin look idle.
        """
        self.record(max(wait, self.recent(now)), now)

    def recent(self, now: float) -> float:
        """The mean wait, decayed by the time since the last record."""
        return self.mean * math.exp(-(now - self.updated_at) / MAX_REPORT_AGE_S)

    def sheds(self, objective: float, sampling_draw: float, now: float) -> bool:
        """Whether a request with this latency objective and sampling draw in [0, 1) skips the origin.

        The record decays, so that after a time in which nothing was sent there not all routers begin
        together.
        """
        return sampling_draw < position_in_span(self.recent(now) / objective, WAIT_SPAN)
