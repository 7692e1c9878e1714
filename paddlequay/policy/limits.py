"""Concurrency limits: whether a member may be sent more, by what is in flight there."""

import math

from paddlequay.routing.concurrency import MAX_LATE_SHARE, ConcurrencyTracker
from paddlequay.routing.state import RequestState, Upstream

SHARE_TOLERANCE = 1.5  # roots of its share that a router may be above it: few requests come unevenly
MAX_REPORT_AGE_S = 2.0  # reports are made every 240 to 990 ms and come late; an older one tells nothing


class ConcurrencyLimits(ConcurrencyTracker):
    """What the tracked limits allow one request."""

    def is_busy(self, upstream: Upstream, request: RequestState, now: float) -> bool:
        """Whether its limit is reached: large transfers reach it first, and a share under one sheds some."""
        reported = self.zone_load.has_fresh_report(upstream.member.name, now)
        late = upstream.late_share > MAX_LATE_SHARE and not reported
        if not late and (now - upstream.spare_capacity_at < MAX_REPORT_AGE_S or upstream.in_flight == 0):
            return False  # nothing out, no jam: a share under one request would shed by chance, not by load
        share = upstream.concurrency_limit / self.contending_routers[upstream.tier]
        limit = share + SHARE_TOLERANCE * math.sqrt(share)
        if request.cost * request.sampling_draw > limit:
            return True
        return upstream.in_flight > 0 and upstream.in_flight + request.cost > limit
