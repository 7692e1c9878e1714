"""Leaves under the fleet's limits: a request has one before it is taken in, an attempt before it is written.

The limits decide (`cluster/limits.py`); kept here is who has which leave, so that each is given back once.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from paddlequay.asks import Ask, Attempt, Open
from paddlequay.cluster.limits import Limits, Ticket
from paddlequay.cluster.settings import By, ClusterSettings, Mode
from paddlequay.counters import Counters
from paddlequay.exchange import Exchange
from paddlequay.interface import Member, Note

OUT_PAUSE = 0.3  # told a client whose request falls under a strict limit while this process has no share
LEAVE_S = 0.1  # a leave that was not written on for so long is asked for anew


@dataclass(slots=True)
class Leave:
    """What a request was let through by, when, and whether it was written since."""

    ticket: Ticket
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
        self.writes: dict[str, list[tuple[Attempt, Ticket]]] = {}  # the same, for what is out
        self.matches = {rule.match for rule in settings.limits}

    def asked(self, item: Open, left: float) -> float | None:
        """A request is about to be taken in: None, or the seconds for which the client is to stay away."""
        if self.limits is None:
            return OUT_PAUSE if self.shut(item.ask) else None
        answer = self.limits.admit_all(self.under(item.ask), self.clock(), left)
        if isinstance(answer, Ticket):
            if answer.limits:
                self.requests[item.serial] = Leave(answer, self.clock())
                self.counters.add("limit.admitted")
            return None
        self.counters.add(f"limit.refused.{answer.rule}")
        return answer.retry_in

    @staticmethod
    def under(ask: Ask) -> list[tuple[By, str]]:
        """What a request falls under."""
        under: list[tuple[By, str]] = [(By.CLASS, ask.class_name)]
        if ask.group is not None:
            under.append((By.GROUP, str(ask.group)))
        if ask.tenant is not None:
            under.append((By.TENANT, ask.tenant))
        return under

    def renewed(self, attempt: Attempt, left: float) -> bool:
        """Whether the request's leave still stands for its first write.

        One that was given longer ago than `LEAVE_S` has to be given anew: a process that was stopped between,
        or waited for a connection, may not act on what it held.
        """
        leave, now = self.requests.get(attempt.owner.serial), self.clock()
        if leave is None or leave.used or self.limits is None:
            return True
        leave.used = True
        if now - leave.at <= LEAVE_S:
            return True
        self.give_back(leave.ticket)
        del self.requests[attempt.owner.serial]
        answer = self.limits.admit_all(self.under(attempt.owner.ask), now, left)
        if not isinstance(answer, Ticket):
            return False
        self.requests[attempt.owner.serial] = Leave(answer, now, used=True)
        return True

    def shut(self, ask: Ask) -> bool:
        """Whether it falls under a strict limit, of which an earlier process may still use the share."""
        told = {By.CLASS: ask.class_name, By.TENANT: ask.tenant, By.GROUP: str(ask.group)}
        return any(
            rule.mode is Mode.STRICT and told.get(rule.by) is not None and rule.match in ("*", told[rule.by])
            for rule in self.settings.limits
        )

    def writing(self, attempt: Attempt, left: float) -> Note | None:
        """An attempt is about to be written: None, or the note under which it counts as refused."""
        if self.limits is None:
            return None
        if not self.renewed(attempt, left):
            self.counters.add("limit.too_late")
            return Note.FILLS_FULL
        fetch, members = attempt.fetch, self.exchange.members
        under = [*self.of(By.MEMBER, members.get(fetch.target))]
        if fetch.source != fetch.target:
            under += self.of(By.SOURCE, members.get(fetch.source))
        elif fetch.target not in self.exchange.router.names_of_edges():
            under = [*self.of(By.SOURCE, members.get(fetch.target))]  # asked past the caches
        answer = self.limits.admit_all(under, self.clock(), left)
        if not isinstance(answer, Ticket):
            self.counters.add(f"limit.refused.{answer.rule}")
            return Note.SOURCE_REFUSED if fetch.source != fetch.target else Note.FILLS_FULL
        if answer.limits:
            self.writes.setdefault(attempt.owner.serial, []).append((attempt, answer))
        return None

    def of(self, by: By, member: Member | None) -> Iterable[tuple[By, str]]:
        """A member falls under the limits of its name, and of its kind where one is set for that."""
        if member is not None:
            yield by, member.name
            if member.kind is not None and member.kind in self.matches:
                yield by, member.kind

    def ended(self, attempt: Attempt) -> None:
        """An attempt has ended, written or not."""
        for place, (out, ticket) in enumerate(self.writes.get(attempt.owner.serial, ())):
            if out is attempt:
                self.give_back(ticket)
                del self.writes[attempt.owner.serial][place]
                return

    def over(self, item: Open) -> None:
        """A request has its final answer, or its client has left."""
        leave = self.requests.pop(item.serial, None)
        if leave is not None:
            self.give_back(leave.ticket)
        for _, out in self.writes.pop(item.serial, ()):
            self.give_back(out)

    def give_back(self, ticket: Ticket) -> None:
        if self.limits is not None:
            self.limits.done(ticket, self.clock())
