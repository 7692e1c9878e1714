"""Handing bundles on: whom an owner gives one to, when, and how the receiver takes it over.

Bounds, by a router: `AT_ONCE` bundles offered, or being taken over, at a time; one move for load in `MOVE_S`;
a bundle stays `REST_S` at least with who took it before it is moved for load.
"""

from paddlequay.cluster.bundles import FOLLOWED_S, Bundle, Bundles, LeasesOf, Offered, Taking
from paddlequay.cluster.messages import HandoffOffer, HandoffReply, OwnerLoad
from paddlequay.cluster.settings import ChannelRule
from paddlequay.cluster.types import NEVER, Action, LogEvent, Peer, SendMessage, Urgency

AT_ONCE = 4
WARM_S = 0.1  # an offered bundle's bid has had its answer, and waits
OFFER_S, OFFER_AGAIN_S = 3.0, 0.3  # an offer's answer may take two delays of a second and a vote's
TAKE_S = 5.0  # a bundle offered but not released by then will not be
REFUSED_S = 5.0  # before one that did not take a bundle is asked again
MOVE_S, REST_S = 5.0, 10.0


class Handoff:
    """Both sides of a handoff. `loads`: parts filled ahead a second, and when that was heard; by peer."""

    def __init__(self, rule: ChannelRule, bundles: Bundles, leases: LeasesOf) -> None:
        self.rule, self.bundles, self.leases = rule, bundles, leases
        self.loads: dict[Peer, tuple[float, float]] = {}
        self.away: set[Peer] = set()  # suspect or dead
        self.draining = False
        self.moved = -NEVER

    # --- load ---

    def said(self, now: float) -> OwnerLoad:
        return OwnerLoad(int(self.load(now) * 1000), len(self.bundles.owned()))

    def load(self, now: float) -> float:
        """Parts that this router fills ahead a second."""
        return sum(bundle.rate.now(now) for bundle in self.bundles.owned())

    def load_of(self, peer: Peer, now: float) -> float:
        """A peer's load as told, and what it is being offered."""
        coming = (b.rate.now(now) for b in self.bundles.owned() if b.offered and b.offered.to == peer)
        return self.loads.get(peer, (0.0, 0.0))[0] + sum(coming)

    # --- the owner ---

    def give_up(self, bundle: Bundle, now: float) -> list[Action]:
        """Release without an heir; whoever reads the bundle is told to look for an owner."""
        gone = HandoffReply(bundle.lease, bundle.term, 0)
        out = self.bundles.release(bundle, now, None)
        out += [SendMessage(peer, gone, Urgency.CHANGE) for peer in bundle.following(now)]
        bundle.followers.clear()
        return out

    def moves(self, now: float) -> list[Action]:
        """Give away: everything when drained, one bundle now and then when carrying far more than others."""
        owned = self.bundles.owned()
        out: list[Action] = []
        room = AT_ONCE - sum(bundle.offered is not None for bundle in owned)
        if self.draining:
            for bundle in [each for each in owned if each.offered is None]:
                heir = self.heir(bundle, now)
                if heir is None:
                    out += self.give_up(bundle, now)
                elif room > 0:
                    room -= 1
                    out += self.give(bundle, heir, now)
        elif len(owned) > 1 and room == AT_ONCE and now - self.moved >= MOVE_S:
            out += self.even(owned, now)
        return out

    def even(self, owned: list[Bundle], now: float) -> list[Action]:
        """Move the largest bundle that leaves its receiver no more loaded than this router stays.

        The mean is of all who could own and have told their load, those who own nothing among them: a router
        that owns everything would else be the mean itself.
        """
        others = [load for load, at in self.loads.values() if now - at <= FOLLOWED_S]
        own = self.load(now)
        mean = (own + sum(others)) / (1 + len(others))
        if not others or own <= self.rule.move_above * mean:
            return []
        for bundle in sorted(owned, key=lambda each: -each.rate.now(now)):
            heir, rate = self.heir(bundle, now), bundle.rate.now(now)
            if heir is None or now - bundle.taken < REST_S:
                continue
            if rate > 0 and self.load_of(heir, now) + rate <= own - rate:
                self.moved = now
                return self.give(bundle, heir, now)
        return []

    def heir(self, bundle: Bundle, now: float) -> Peer | None:
        """The least loaded of those who read the bundle, are alive and have not refused it lately."""
        bundle.refused = {peer: at for peer, at in bundle.refused.items() if now - at < REFUSED_S}
        shut = self.away | bundle.refused.keys()
        able = [peer for peer in bundle.following(now) if peer not in shut]
        return min(able, key=lambda peer: (self.load_of(peer, now), peer), default=None)

    def give(self, bundle: Bundle, heir: Peer, now: float) -> list[Action]:
        bundle.offered = Offered(heir, now, now)
        return [SendMessage(heir, self.offer(bundle, now), Urgency.LEASE)]

    def offer(self, bundle: Bundle, now: float) -> HandoffOffer:
        return HandoffOffer(bundle.lease, bundle.term, int(bundle.rate.now(now) * 1000))

    def offering(self, bundle: Bundle, offered: Offered, now: float) -> list[Action]:
        """Say an offer again, or end it."""
        if now - offered.since > OFFER_S or offered.to in self.away:
            bundle.refused[offered.to], bundle.offered = now, None
        elif now - offered.said >= OFFER_AGAIN_S:
            offered.said = now
            return [SendMessage(offered.to, self.offer(bundle, now), Urgency.LEASE)]
        return []

    def ready(self, sender: Peer, bundle: Bundle, message: HandoffReply, now: float) -> list[Action]:
        """The answer to an offer."""
        offered = bundle.offered
        if not bundle.term or bundle.term != message.term or offered is None or offered.to != sender:
            return []
        if not message.accepted:
            bundle.refused[sender], bundle.offered = now, None
            return self.moves(now)
        out = self.bundles.release(bundle, now, sender)
        return [*out, LogEvent("channels-handed-on", (("bundle", bundle.lease), ("to", sender)))]

    def over(self, bundle: Bundle, now: float) -> list[Action]:
        """The overlap has ended: followers look for the new owner."""
        if bundle.overlap is None:
            return []
        gone = HandoffReply(bundle.lease, bundle.overlap.term, 0)
        bundle.overlap = None
        out: list[Action] = [SendMessage(peer, gone, Urgency.CHANGE) for peer in bundle.following(now)]
        bundle.followers.clear()
        return out

    # --- the receiver ---

    def offered(self, sender: Peer, bundle: Bundle | None, message: HandoffOffer, now: float) -> list[Action]:
        """Bid, or decline: only who reads the bundle itself knows which part comes next."""
        if bundle is None or not bundle.saw(message.term, now):
            return []
        taking = bundle.taking
        if taking is not None and taking.term == message.term:
            return [self.yes(bundle, taking)] if taking.ready else []
        busy = sum(each.taking is not None for each in self.bundles.all) >= AT_ONCE
        if self.draining or busy or not bundle.live or bundle.term:
            return [SendMessage(sender, HandoffReply(bundle.lease, message.term, 0), Urgency.LEASE)]
        bundle.taking = Taking(sender, message.term, now)
        bundle.wanted, bundle.bids_from = True, None
        return self.leases.request(bundle.lease, now)

    def take(self, bundle: Bundle, taking: Taking, now: float) -> list[Action]:
        """Say that this router is ready once its bid has been told who holds the lease, and waits."""
        if now - taking.since > TAKE_S:
            bundle.taking = None
        elif not taking.ready and now - taking.since >= WARM_S:
            taking.ready = self.leases.holder(bundle.lease, now) == taking.former
            return [self.yes(bundle, taking)] if taking.ready else []
        return []

    def yes(self, bundle: Bundle, taking: Taking) -> SendMessage:
        return SendMessage(taking.former, HandoffReply(bundle.lease, taking.term, 1), Urgency.LEASE)
