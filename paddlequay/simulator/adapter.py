"""The simulator's wire on standard input and output; hosts many routers. It decides nothing."""

import json
import math
import os
import re
import sys
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any, TextIO, TypeVar

from paddlequay.config.settings import parse_settings
from paddlequay.errors import SettingsError
from paddlequay.policy import Router
from paddlequay.protocol.load_reports import load_report
from paddlequay.routing.interface import (
    NO_LOAD_REPORT,
    Action,
    AttemptEnded,
    Cancel,
    ClientDisconnected,
    Event,
    Fail,
    Fetch,
    LoadReport,
    LogMessage,
    Member,
    MembersChanged,
    MemberState,
    Outcome,
    Purged,
    Reject,
    ReplyDetail,
    Request,
    ResponseStarted,
    RoutingSettings,
    SetTimer,
    Subscribe,
    TimerFired,
)

if TYPE_CHECKING:
    from paddlequay.simulator.cluster import SimulatorCluster

    MakeCluster = Callable[["Fields", Router, float], SimulatorCluster | None]

T = TypeVar("T")
CLUSTER = "cluster"  # the nonce of a cluster's alarms
STATES = {"IN": MemberState.READY, "LAME": MemberState.DRAINING, "OUT": MemberState.REMOVED}
OUTCOMES = {
    "served": Outcome.SERVED,
    "server_error": Outcome.ERROR,
    "turned_away": Outcome.REJECTED,
    "no_answer": Outcome.TIMEOUT,
    "no_connection": Outcome.CONNECT_FAILED,
    "connection_lost": Outcome.RESET,
    "called_off": Outcome.CANCELLED,
    "not_sent": Outcome.NOT_SENT,
    "not_stored": Outcome.MISS,
}
NOTES = {str(note.value): note for note in ReplyDetail}
MODES = {  # (complete list, failed call)
    "update": (False, False),
    "replace": (True, False),
    "restored": (True, False),
    "unavailable": (False, True),
}
TEXT_FIELDS = ("settings=", "text=")


class WireError(ValueError):
    """Malformed input, with what was expected; `router` is the instance it concerns, if known."""

    router: str | None = None


def read_settings(text: str) -> RoutingSettings:
    """The JSON object of `provision`."""
    try:
        return parse_settings(json.loads(text))
    except json.JSONDecodeError as error:
        raise WireError(f"settings: expected a JSON object: {error}") from None
    except SettingsError as error:
        raise WireError(str(error)) from None


class Fields:
    """The name=value pairs of one line, read with a type each."""

    def __init__(self, line: str) -> None:
        self.name, _, rest = line.partition("\t")
        self.values: dict[str, str] = {}
        while rest:
            pair = rest if rest.startswith(TEXT_FIELDS) else rest.partition("\t")[0]
            rest = rest[len(pair) + 1 :]
            key, equals, value = pair.partition("=")
            if not equals:
                raise WireError(f"{self.name}: expected name=value, got {pair[:60]!r}")
            self.values[key] = value

    def maybe(self, key: str, read: Callable[[str], T]) -> T | None:
        """The field's value, or None where the wire leaves it out."""
        value = self.values.get(key)
        if value is None or value == "":
            return None
        try:
            return read(value)
        except WireError:
            raise
        except (ValueError, KeyError):
            expected = EXPECTED.get(read, "one of the words of the wire")
            raise WireError(f"{self.name}: field {key}: expected {expected}, got {value[:60]!r}") from None

    def need(self, key: str, read: Callable[[str], T]) -> T:
        """A field that the wire never leaves out."""
        value = self.maybe(key, read)
        if value is None:
            raise WireError(f"{self.name}: field {key} is missing")
        return value


def number(text: str) -> float:
    """Returns a finite number; raises ValueError for any other text."""
    value = float(text)
    if not math.isfinite(value):
        raise ValueError
    return value


def flag(text: str) -> bool:
    """1 or 0."""
    return {"1": True, "0": False}[text]


def load(text: str) -> LoadReport:
    """Returns the load report of `name:value` pairs separated by commas."""
    pairs = (pair.partition(":") for pair in text.split(","))
    return load_report([(name, number(value)) for name, _, value in pairs])


EXPECTED: dict[Callable[[str], Any], str] = {
    number: "a number",
    int: "a whole number",
    flag: "1 or 0",
    load: "name:value pairs",
}


def read_note(text: str) -> ReplyDetail | None:
    """0 and figures not known are no note."""
    int(text)
    return NOTES.get(text)


def read_member(fields: Fields) -> Member:
    """One `entry` line."""
    return Member(
        name=fields.need("cache", str),
        zone=fields.maybe("rackZone", str),
        kind=fields.maybe("shape", str),
        cell=fields.maybe("cluster", int),
        state=fields.maybe("status", STATES.__getitem__),
        weight=fields.maybe("units", number),
        started=fields.maybe("bootTime", number),
    )


def read_event(fields: Fields, entries: list[Member]) -> Event | None:
    """The interface's event for one line, or None where it has none for it."""
    match fields.name:
        case "update":
            full, failed = fields.need("mode", MODES.__getitem__)
            return MembersChanged(tuple(entries), full, failed)
        case "query":
            return Request(
                id=fields.need("rid", str),
                class_name=fields.need("grade", str),
                time_left=fields.need("timeBudget", number),
                key=fields.maybe("item", int),
                part=fields.maybe("piece", int),
                group=fields.maybe("purgeGroup", int),
                size_kb=fields.maybe("bytesK", number),
                tenant=fields.maybe("party", str),
                retry=fields.maybe("resent", flag),
                write=fields.maybe("update", flag),
            )
        case "head_received":
            return ResponseStarted(fields.need("rid", str), fields.need("try", int))
        case "returned":
            return AttemptEnded(
                request=fields.need("rid", str),
                attempt=fields.need("try", int),
                target=fields.need("cache", str),
                outcome=fields.need("result", OUTCOMES.__getitem__),
                latency=fields.need("delaySeen", number),
                final=bool(fields.maybe("last", flag)),
                detail=fields.maybe("info", read_note),
                source_wait=fields.maybe("fillWait", number),
                load_report=fields.maybe("feedback", load) or NO_LOAD_REPORT,
            )
        case "withdrawn":
            return ClientDisconnected(fields.need("rid", str))
        case "invalidated":
            return Purged(fields.need("age", number), fields.maybe("group", int), fields.maybe("item", int))
        case "alarm":
            return TimerFired(fields.need("nonce", str))
    return None


def write_action(router: str, action: Action) -> str:
    """One reply line."""

    def line(name: str, **values: str | float | None) -> str:
        shown = {key: f"{v:.6f}" if isinstance(v, float) else v for key, v in values.items() if v is not None}
        return "\t".join([name, f"router={router}", *(f"{key}={value}" for key, value in shown.items())])

    match action:
        case Fetch():
            bits = action.coalesce + 2 * action.only_if_cached + 8 * action.refresh
            return line(
                "obtain",
                rid=action.request,
                cache=action.target,
                feeder=action.source,
                storeAs=action.retention,
                maxWait=action.timeout,
                age=action.max_age,
                opts=bits,
            )
        case Cancel():
            return line("revoke", rid=action.request, **{"try": action.attempt})
        case Reject():
            return line("overload_reply", rid=action.request, retryIn=action.retry_after)
        case Fail():
            return line("lose", rid=action.request)
        case SetTimer():
            return line("wake_at", offset=action.delay, nonce=action.token)
        case Subscribe():
            return line("follow", on=1)
        case LogMessage():
            return line("log", text=action.text)


class Host:
    """All routers of one process. They share nothing but messages; `make_cluster` makes their clusters."""

    def __init__(self, make_cluster: "MakeCluster | None" = None) -> None:
        self.routers: dict[str, Router | None] = {}
        self.make_cluster = make_cluster
        self.clusters: dict[str, SimulatorCluster] = {}

    def batch(self, lines: list[str]) -> list[str]:
        """The reply to one batch, its closing line left off."""
        tick = Fields(lines[0] if lines else "")
        if tick.name != "tick":
            raise WireError(f"expected a tick line first, got {tick.name[:60]!r}")
        now = tick.need("ts", number)
        reply: list[str] = []
        place = 1
        while place < len(lines):
            try:
                fields = Fields(lines[place])
                count = fields.maybe("membersList", int) or 0
                if not 0 <= count < len(lines) - place:
                    raise WireError(f"update: field membersList: expected {count} entry lines, got fewer")
                entries = [Fields(line) for line in lines[place + 1 : place + 1 + count]]
                for entry in entries:
                    if entry.name != "entry":
                        raise WireError(f"update: expected an entry line, got {entry.name[:60]!r}")
                reply.extend(self.deliver(fields, [read_member(entry) for entry in entries], now))
            except ValueError as error:
                failure = error if isinstance(error, WireError) else WireError(str(error))
                named = re.search(r"\trouter=(\d+)(\t|$)", lines[place])
                failure.router = named[1] if named else None
                raise failure from None
            place += 1 + count
        return reply

    def deliver(self, fields: Fields, entries: list[Member], now: float) -> list[str]:
        """One event to its router."""
        router = str(fields.need("router", int))
        if fields.name == "provision":
            made = Router(fields.need("settings", read_settings), fields.need("salt", int))
            self.routers[router] = made
            cluster = self.make_cluster(fields, made, now) if self.make_cluster is not None else None
            if cluster is None:
                return []
            self.clusters[router] = cluster
            return write_posts(router, cluster, now)
        if fields.name == "kill":
            self.routers[router] = None
            self.clusters.pop(router, None)
            return []
        if router in self.clusters:
            return self.deliver_to_cluster(router, self.clusters[router], fields, entries, now)
        event = read_event(fields, entries)
        if event is None:
            return []
        if router not in self.routers:
            raise WireError(f"{fields.name}: router {router} was never provisioned")
        instance = self.routers[router]
        return [] if instance is None else [write_action(router, act) for act in instance.handle(event, now)]

    def deliver_to_cluster(
        self, router: str, cluster: "SimulatorCluster", fields: Fields, entries: list[Member], now: float
    ) -> list[str]:
        """Handles an event of a router in a cluster, and the reports that the cluster makes of it."""
        instance = self.routers[router]
        assert instance is not None
        events: list[Event] = []
        if fields.name == "note_from":
            events += cluster.receive(fields.need("srcPeer", int), fields.need("content", str), now)
        elif fields.name == "alarm" and fields.need("nonce", str) == CLUSTER:
            events += cluster.tick(now)
        else:
            event = read_event(fields, entries)
            if event is not None:
                events.append(event)
        reply: list[str] = []
        for event in events:
            actions = instance.handle(event, now)
            cluster.record_actions(actions)
            reply += [write_action(router, act) for act in actions]
            if isinstance(event, AttemptEnded):
                events += cluster.handle_attempt_end(event, now)
            for act in actions:
                if isinstance(act, Reject | Fail):
                    cluster.forget_request(act.request)
            if isinstance(event, ClientDisconnected):
                cluster.forget_request(event.request)
        return reply + write_posts(router, cluster, now)


def write_posts(router: str, cluster: "SimulatorCluster", now: float) -> list[str]:
    """Returns the lines of a cluster's messages, and of its next alarm."""
    reply = [
        f"post\trouter={router}\tpeer={post.peer}\tcontent={post.content}" for post in cluster.take_posts(now)
    ]
    wait = cluster.set_alarm(now)
    return reply if wait is None else [*reply, write_action(router, SetTimer(wait, CLUSTER))]


def cluster_factory(path: str) -> "MakeCluster":
    """Returns a function that makes an instance's cluster, where the instance's settings allow peers."""
    from paddlequay.schema.cluster import read_cluster
    from paddlequay.simulator.cluster import SimulatorCluster

    settings = read_cluster(Path(path))

    def make_cluster(fields: Fields, router: Router, now: float) -> SimulatorCluster | None:
        told = json.loads(fields.need("settings", str))
        allowed = (told.get("limits") or {}).get("peers") is True
        me, size, salt = told.get("me"), told.get("groupSize"), fields.need("salt", int)
        if not allowed or not isinstance(me, int) or not isinstance(size, int) or not 0 <= me < size:
            return None
        return SimulatorCluster(settings, me, size, router, salt, now)

    return make_cluster


def main(source: TextIO = sys.stdin, sink: TextIO = sys.stdout) -> int:
    """Answer batches until the input ends; 1 after malformed input."""
    path = os.environ.get("PADDLEQUAY_CLUSTER")
    host = Host(cluster_factory(path) if path else None)
    lines: list[str] = []
    for raw in source:
        line = raw.rstrip("\r\n")
        if line != "your_turn":
            lines.append(line)
            continue
        try:
            reply = host.batch(lines)
        except WireError as error:
            print(f"paddlequay: {error}", file=sys.stderr)
            if error.router is not None:
                print(f"bug\trouter={error.router}\ttext={error}\nack", file=sink, flush=True)
            return 1
        lines = []
        sink.write("\n".join([*reply, "ack"]) + "\n")
        sink.flush()
    if lines:
        print("paddlequay: the input ends inside a batch: expected your_turn", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
