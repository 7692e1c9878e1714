"""How much of a limit a router would use: the smoothed count of its requests."""

import math

from paddlequay.cluster.quotas import MILLI_PER_REQUEST

MAX_WINDOWS = 6  # 1.2 s, so that a shift too small to stand out is followed within 2 s
SHIFT_WINDOWS = 3  # that together may stand out
SHIFT_DEVIATIONS = 2.5  # standard deviations of a count; chance goes so far about once in 80 windows
MIN_OBSERVED_RATIO = 0.25  # of a window: no rate is computed from a shorter time


def stands_out(count: int, mean: float) -> bool:
    """Returns whether a count is too far from its mean for chance."""
    return abs(count - mean) > SHIFT_DEVIATIONS * math.sqrt(mean) + 1


class DemandMeter:
    """Averages requests over windows for as long as chance explains how the windows differ.

    A quota that followed the noise of small counts would be lost to others for a grant's validity each time.
    """

    __slots__ = ("count", "mean", "opened_at", "recent_counts", "window_s", "windows")

    def __init__(self, now: float, window_s: float) -> None:
        self.window_s = window_s
        self.opened_at = now
        self.count = 0
        self.recent_counts: tuple[int, ...] = ()  # of the last windows, the newest first
        self.mean = 0.0  # per window
        self.windows = 0  # that the mean rests on

    def add(self, now: float) -> None:
        """Counts a request."""
        self._close_windows(now)
        self.count += 1

    def rate_milli(self, now: float) -> int:
        """Returns thousandths of a request per second; a rise shows before its window has ended."""
        self._close_windows(now)
        mean = self.mean
        elapsed = (now - self.opened_at) / self.window_s
        if self.count > mean * elapsed and stands_out(self.count, mean * elapsed):
            mean = max(mean, self.count / max(elapsed, MIN_OBSERVED_RATIO))
        return int(mean / self.window_s * MILLI_PER_REQUEST)

    def peak(self, now: float) -> int:
        """Returns the larger of the counts of the last window and of the running one."""
        self._close_windows(now)
        return max(self.count, *self.recent_counts[:1], 0)

    def _close_windows(self, now: float) -> None:
        """Closes the windows that have ended; those without a call in between were empty."""
        ended = math.floor((now - self.opened_at) / self.window_s)
        if ended < 1:
            return
        for count in (self.count, 0)[:ended]:
            self._close_window(count)
        if ended > MAX_WINDOWS:
            self.mean = 0.0
            self.recent_counts = ()
        self.count = 0
        self.opened_at += ended * self.window_s

    def _close_window(self, count: int) -> None:
        """Takes a window into the mean, or starts the mean anew from the windows that stand out."""
        self.recent_counts = (count, *self.recent_counts[: SHIFT_WINDOWS - 1])
        self.windows = min(MAX_WINDOWS, self.windows + 1)
        mean = self.mean + (count - self.mean) / self.windows
        for window_count in range(1, len(self.recent_counts) + 1):
            recent = sum(self.recent_counts[:window_count])
            # Against the mean before this window, so that the window itself does not hide a shift.
            if stands_out(recent, self.mean * window_count):
                self.windows = window_count
                mean = recent / window_count
                break
        self.mean = mean
