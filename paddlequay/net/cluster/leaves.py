"""Leaves under the fleet's limits: a request has one before it is taken in, an attempt before it is written.

The limits decide (`cluster/limits.py`); kept here is who has which leave, so that each is given back once.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from paddlequay.cluster.limits import Limits, Ticket
from paddlequay.cluster.settings import By, ClusterSettings, Mode
from paddlequay.observability.counters import Counters
from paddlequay.requests.exchange import Exchange
from paddlequay.requests.messages import AttemptResult, ClientRequest, PendingRequest, UpstreamAttempt
from paddlequay.routing.interface import Member, Outcome, ReplyDetail

OUT_PAUSE = 0.3  # told a client whose request falls under a strict limit while this process has no share
LEAVE_S = 0.1  # a leave that was not written on for so long is asked for anew
IDLE = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.MISS)  # nothing ran

What = list[tuple[By, str]]


@dataclass(slots=True)
class Leave:
    """What a request was let through by, and when; None: it was refused one since, and has to ask again.

    `used`: an attempt was written on it, and may have run.
    """

    ticket: Ticket | None
    at: float
    used: bool = False


class Leaves:
    """Of all that is open, each until its request ends. `limits` is None while this process has no share."""

    def __init__(
        self, settings: ClusterSettings, exchange: Exchange, counters: Counters, clock: Callable[[], float]
    ) -> None:
        self.settings, self.exchange, self.counters, self.clock = settings, exchange, counters, clock
        self.limits: Limits | None = None
        self.requests: dict[str, Leave] = {}  # by serial
        self.writes: dict[str, list[tuple[UpstreamAttempt, Ticket]]] = {}  # the same, for what is out
        self.named = {by: {rule.match for rule in settings.limits if rule.by is by} - {"*"} for by in By}

    def joined(self, limits: Limits | None) -> None:
        """Another life in the cluster, or none: leaves of the one before are nothing to it."""
        self.limits = limits
        self.writes.clear()
        for leave in self.requests.values():
            leave.ticket = None

    def admit(self, item: PendingRequest, left: float) -> float | None:
        """A request is about to be taken in: None, or the seconds for which the client is to stay away."""
        under = self.under(item.request)
        if self.limits is None:
            if self.strict(under):
                return OUT_PAUSE
            return None
        answer = self.limits.admit_all(under, self.clock(), left)
        if isinstance(answer, Ticket):
            if answer.limits:
                self.requests[item.serial] = Leave(answer, self.clock())
                self.counters.add("limit.admitted")
            return None
        self.counters.add(f"limit.refused.{answer.rule}")
        return answer.retry_in

    @staticmethod
    def under(ask: ClientRequest) -> What:
        """What a request falls under."""
        under: What = [(By.CLASS, ask.class_name)]
        if ask.group is not None:
            under.append((By.GROUP, str(ask.group)))
        if ask.tenant is not None:
            under.append((By.TENANT, ask.tenant))
        return under

    def strict(self, under: What) -> bool:
        """Whether a strict limit is among these, of which another process may still use the share."""
        return any(
            rule.mode is Mode.STRICT and rule.by is by and rule.match in ("*", value)
            for rule in self.settings.limits
            for by, value in under
        )

    def renewed(self, attempt: UpstreamAttempt) -> bool:
        """Whether the request's leave still stands for a write.

        One that was given longer ago than `LEAVE_S`, and on which nothing may have run, has to be given anew:
        a process that was stopped between, or waited for a connection, may not act on what it held.
        """
        item, now = attempt.pending, self.clock()
        leave = self.requests.get(item.serial)
        if leave is None or leave.used or (leave.ticket is not None and now - leave.at <= LEAVE_S):
            return True
        if self.limits is None:
            return not self.strict(self.under(item.request))
        if leave.ticket is not None:
            self.limits.done(leave.ticket, now)
        # For all that is left of the request, not of the attempt: it may go on after that.
        answer = self.limits.admit_all(self.under(item.request), now, item.deadline - now)
        leave.ticket, leave.at = (answer if isinstance(answer, Ticket) else None), now
        return leave.ticket is not None

    def before_write(self, attempt: UpstreamAttempt, left: float) -> ReplyDetail | None:
        """An attempt is about to be written: None, or the note under which it counts as refused."""
        if not self.renewed(attempt):
            self.counters.add("limit.too_late")
            return ReplyDetail.FILL_LIMIT
        fetch = attempt.fetch
        fills = fetch.source != fetch.target
        under = list(self.of(By.MEMBER, fetch.target))
        if fills:
            under += self.of(By.SOURCE, fetch.source)
        elif fetch.target not in self.exchange.router.edge_names():
            under = list(self.of(By.SOURCE, fetch.target))  # asked past the caches
        refused = ReplyDetail.SOURCE_REJECTED if fills else ReplyDetail.FILL_LIMIT
        if self.limits is None:
            return refused if self.strict(under) else None
        answer = self.limits.admit_all(under, self.clock(), left)
        if not isinstance(answer, Ticket):
            self.counters.add(f"limit.refused.{answer.rule}")
            return refused
        if answer.limits:
            self.writes.setdefault(attempt.pending.serial, []).append((attempt, answer))
        leave = self.requests.get(attempt.pending.serial)
        if leave is not None:
            leave.used = True
        return None

    def of(self, by: By, name: str) -> Iterable[tuple[By, str]]:
        """A member falls under the limits of its name, and of its kind where one is set for that."""
        member: Member | None = self.exchange.members.get(name)
        if member is not None:
            yield by, member.name
            if member.kind is not None and member.kind in self.named[by]:
                yield by, member.kind

    def attempt_ended(self, attempt: UpstreamAttempt, end: AttemptResult) -> None:
        """An attempt has ended, written or not."""
        serial = attempt.pending.serial
        leave = self.requests.get(serial)
        if leave is not None and end.outcome in IDLE:
            leave.used = False  # what comes next is the first that may run: by a leave that is young enough
        for place, (out, ticket) in enumerate(self.writes.get(serial, ())):
            if out is attempt:
                self.give_back(ticket)
                del self.writes[serial][place]
                return

    def request_ended(self, item: PendingRequest) -> None:
        """A request has its final answer, or its client has left."""
        leave = self.requests.pop(item.serial, None)
        if leave is not None and leave.ticket is not None:
            self.give_back(leave.ticket)
        for _, out in self.writes.pop(item.serial, ()):
            self.give_back(out)

    def give_back(self, ticket: Ticket) -> None:
        if self.limits is not None:
            self.limits.done(ticket, self.clock())
