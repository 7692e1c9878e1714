"""All that a router believes, by the part that owns it: nobody else writes a part's state."""

from paddlequay.routing.link_load import Link
from paddlequay.routing.origin_load import Waits
from paddlequay.routing.zone_load import Room
from paddlequay.routing.interface import Settings
from paddlequay.policy.health import Health, Recall
from paddlequay.policy.hotness import Hotness
from paddlequay.policy.latency import Latency
from paddlequay.policy.limits import Limits
from paddlequay.policy.members import Members
from paddlequay.routing.history import Purges


class Beliefs:
    """The parts, made from the settings; `recall` takes back what waits at a member found failing."""

    def __init__(self, settings: Settings, recall: Recall) -> None:
        self.settings = settings
        self.room = Room(settings.routers_here or 1)
        self.origin_waits = Waits()
        self.members = Members(settings, self.room)
        self.health = Health(recall)
        self.link = Link.told(settings)
        self.limits = Limits(settings, self.room, self.link)
        self.hotness = Hotness()
        self.latency = Latency(settings)
        self.purges = Purges(settings.purge_done)
