"""The state of one router by the part that owns it: nobody else writes a part's state."""

from paddlequay.policy.concurrency_limits import ConcurrencyLimits
from paddlequay.policy.copy_age import PurgeHistory
from paddlequay.policy.fill_admission import LinkLoad
from paddlequay.policy.hot_objects import HotObjects
from paddlequay.policy.load_shedding import ZoneLoad
from paddlequay.policy.member_directory import MemberDirectory
from paddlequay.policy.origin_shedding import OriginWait
from paddlequay.policy.outlier_ejection import CancelWaiting, OutlierDetector
from paddlequay.routing.interface import RoutingSettings
from paddlequay.routing.latency import LatencyEstimator


class RouterState:
    """The parts, made from the settings; `cancel_waiting` cancels what waits at a member just ejected."""

    def __init__(self, settings: RoutingSettings, cancel_waiting: CancelWaiting) -> None:
        self.settings = settings
        self.zone_load = ZoneLoad(settings.zone_router_count or 1)
        self.origin_wait = OriginWait()
        self.members = MemberDirectory(settings, self.zone_load)
        self.outliers = OutlierDetector(cancel_waiting)
        self.zone_link = LinkLoad.from_settings(settings)
        self.limits = ConcurrencyLimits(settings, self.zone_load, self.zone_link)
        self.hot_objects = HotObjects()
        self.latency = LatencyEstimator(settings)
        self.purges = PurgeHistory(settings.purge_completion)
