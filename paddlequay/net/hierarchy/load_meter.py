"""The load report of a node, which is sent with every reply."""

BUSY_SMOOTHING_FACTOR = 0.2  # weight of the latest heartbeat in the moving average
HIT_DECAY_FACTOR = 0.98  # applied to both counts at each heartbeat


class LoadMeter:
    """Moving averages of a node's hit ratio and processor use."""

    def __init__(self) -> None:
        self.hits = 0.0
        self.replies = 0.0
        self.busy_ratio = 0.0

    def record_reply(self, is_hit: bool) -> None:
        """Counts a reply; `is_hit` if it was served from the cache."""
        self.replies += 1.0
        self.hits += is_hit

    def on_heartbeat(self, busy_ratio: float) -> None:
        """Updates the averages; `busy_ratio` is the use of the cores since the last heartbeat, 0 to 1."""
        self.busy_ratio += BUSY_SMOOTHING_FACTOR * (min(1.0, busy_ratio) - self.busy_ratio)
        self.hits *= HIT_DECAY_FACTOR
        self.replies *= HIT_DECAY_FACTOR

    def report(self, waiting: int, fills: int) -> str:
        """Returns the report: waiting requests, use of the cores, hit ratio and fills in flight."""
        hit_ratio = self.hits / self.replies if self.replies else 0.0
        return f"inflight:{waiting};util:{self.busy_ratio:.2f};x0:{hit_ratio:.2f};x1:{fills}"
