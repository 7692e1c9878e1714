"""The load report of a node, which goes back with every reply."""

BUSY_SMOOTHING_FACTOR = 0.2  # weight of the last beat
HIT_DECAY_FACTOR = 0.98  # each beat


class LoadMeter:
    """Moving averages of a node's hits and processor use."""

    def __init__(self) -> None:
        self.hits = 0.0
        self.replies = 0.0
        self.busy_ratio = 0.0

    def record_reply(self, is_hit: bool) -> None:
        """Counts a reply; `is_hit` where it came from the cache."""
        self.replies += 1.0
        self.hits += is_hit

    def on_heartbeat(self, busy_ratio: float) -> None:
        """Ages the averages; `busy_ratio` is the use of the node's cores since the last beat, 0 to 1."""
        self.busy_ratio += BUSY_SMOOTHING_FACTOR * (min(1.0, busy_ratio) - self.busy_ratio)
        self.hits *= HIT_DECAY_FACTOR
        self.replies *= HIT_DECAY_FACTOR

    def report(self, waiting: int, fills: int) -> str:
        """Returns the report: requests that wait, use of the cores, share of hits, fills in flight."""
        hit_ratio = self.hits / self.replies if self.replies else 0.0
        return f"inflight:{waiting};util:{self.busy_ratio:.2f};x0:{hit_ratio:.2f};x1:{fills}"
