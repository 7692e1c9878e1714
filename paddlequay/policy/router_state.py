"""The state of one router, divided among the rules that own it: no rule writes the state of another."""

from paddlequay.policy.attempt_timeouts import AttemptTimeouts
from paddlequay.policy.concurrency_limits import ConcurrencyLimits
from paddlequay.policy.copy_age import PurgeTimes
from paddlequay.policy.fill_admission import FillAdmission, LinkLoad
from paddlequay.policy.hot_objects import HotObjects
from paddlequay.policy.load_shedding import ZoneLoad
from paddlequay.policy.member_directory import MemberDirectory
from paddlequay.policy.origin_shedding import OriginWait
from paddlequay.policy.outlier_ejection import CancelPending, OutlierDetector
from paddlequay.policy.retry_rules import RetryRules
from paddlequay.routing.interface import RoutingSettings
from paddlequay.routing.latency import LatencyEstimator


class RouterState:
    """The rules of one router that have state, made from its settings.

    Args:
        settings: The settings of the router.
        cancel_pending: Returns the actions that cancel the requests pending at a member just ejected.
    """

    def __init__(self, settings: RoutingSettings, cancel_pending: CancelPending) -> None:
        self.settings = settings
        self.latency = LatencyEstimator(settings)
        self.zone_load = ZoneLoad(settings.zone_router_count or 1)
        self.zone_link = LinkLoad.from_settings(settings)
        self.fill_admission = FillAdmission(settings, self.zone_load, self.zone_link, self.latency)
        self.origin_wait = OriginWait()
        self.members = MemberDirectory(settings, self.zone_load)
        self.outliers = OutlierDetector(cancel_pending)
        self.limits = ConcurrencyLimits(settings, self.zone_load, self.zone_link)
        self.retries = RetryRules(settings)
        self.timeouts = AttemptTimeouts(settings, self.latency)
        self.hot_objects = HotObjects()
        self.purges = PurgeTimes(settings.purge_completion)
