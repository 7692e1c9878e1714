"""Measures how much of a limit a router would use, as a smoothed rate of its requests."""

import math

from paddlequay.cluster.quotas import MILLI_PER_REQUEST

MAX_AVERAGED_WINDOWS = 6  # 1.2 s, so that the mean follows an insignificant shift within 2 s
MAX_SHIFT_WINDOWS = 3  # latest windows whose sum is tested for a shift
SHIFT_DEVIATIONS = 2.5  # standard deviations of a count, which chance exceeds about once in 80 windows
MIN_OBSERVED_RATIO = 0.25  # of a window; the shortest time from which a rate is computed


def is_significant_deviation(count: int, mean: float) -> bool:
    """Returns whether a count differs from its mean by more than chance explains."""
    return abs(count - mean) > SHIFT_DEVIATIONS * math.sqrt(mean) + 1


class DemandMeter:
    """Averages the requests of recent windows, and starts the mean anew after a significant shift.

    If quotas followed the noise of small counts, each change would withhold a part of the limit from other
    routers for the validity of a grant.
    """

    __slots__ = ("count", "mean", "opened_at", "recent_counts", "window_s", "windows")

    def __init__(self, now: float, window_s: float) -> None:
        self.window_s = window_s
        self.opened_at = now
        self.count = 0
        self.recent_counts: tuple[int, ...] = ()  # of the latest windows, the newest first
        self.mean = 0.0  # requests per window
        self.windows = 0  # number of windows in the mean

    def add(self, now: float) -> None:
        """Counts a request."""
        self._close_windows(now)
        self.count += 1

    def rate_milli(self, now: float) -> int:
        """Returns thousandths of a request per second; includes a significant rise in the current window."""
        self._close_windows(now)
        mean = self.mean
        elapsed = (now - self.opened_at) / self.window_s
        if self.count > mean * elapsed and is_significant_deviation(self.count, mean * elapsed):
            mean = max(mean, self.count / max(elapsed, MIN_OBSERVED_RATIO))
        return int(mean / self.window_s * MILLI_PER_REQUEST)

    def peak(self, now: float) -> int:
        """Returns the larger of the counts of the last and of the current window."""
        self._close_windows(now)
        return max(self.count, *self.recent_counts[:1], 0)

    def _close_windows(self, now: float) -> None:
        """Closes the windows that have ended: the current one, and empty ones since."""
        ended = math.floor((now - self.opened_at) / self.window_s)
        if ended < 1:
            return
        for count in (self.count, 0)[:ended]:
            self._close_window(count)
        if ended > MAX_AVERAGED_WINDOWS:
            self.mean = 0.0
            self.recent_counts = ()
        self.count = 0
        self.opened_at += ended * self.window_s

    def _close_window(self, count: int) -> None:
        """Adds a window to the mean, or starts the mean anew from the windows that show a shift."""
        self.recent_counts = (count, *self.recent_counts[: MAX_SHIFT_WINDOWS - 1])
        self.windows = min(MAX_AVERAGED_WINDOWS, self.windows + 1)
        mean = self.mean + (count - self.mean) / self.windows
        for window_count in range(1, len(self.recent_counts) + 1):
            recent = sum(self.recent_counts[:window_count])
            # Compares with the mean before this window, so that the window itself does not hide a shift.
            if is_significant_deviation(recent, self.mean * window_count):
                self.windows = window_count
                mean = recent / window_count
                break
        self.mean = mean
