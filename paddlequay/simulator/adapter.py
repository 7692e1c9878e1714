"""Connects the routing policy of many routers to a simulator, by a line protocol on stdin and stdout.

The adapter only translates between lines and the events and actions of the policy.
"""

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
CLUSTER_ALARM_NONCE = "cluster"  # the nonce of alarms that are set for a cluster
MEMBER_STATES = {"IN": MemberState.READY, "LAME": MemberState.DRAINING, "OUT": MemberState.REMOVED}
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
REPLY_DETAILS = {str(detail.value): detail for detail in ReplyDetail}
UPDATE_MODES = {  # mode: (the list is complete, the call failed)
    "update": (False, False),
    "replace": (True, False),
    "restored": (True, False),
    "unavailable": (False, True),
}
TEXT_FIELDS = ("settings=", "text=")


class WireError(ValueError):
    """Input that violates the line protocol; `router` is the id of the instance that it is for, if known."""

    router: str | None = None


def read_settings(text: str) -> RoutingSettings:
    """Returns the settings in the JSON object of a `provision` line; raises `WireError`."""
    try:
        return parse_settings(json.loads(text))
    except json.JSONDecodeError as error:
        raise WireError(f"settings: expected a JSON object: {error}") from None
    except SettingsError as error:
        raise WireError(str(error)) from None


class Fields:
    """The event name and the name=value fields of one line; each field is parsed when it is read."""

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

    def optional(self, key: str, read: Callable[[str], T]) -> T | None:
        """Returns the parsed value of a field; None if the field is missing or empty."""
        value = self.values.get(key)
        if value is None or value == "":
            return None
        try:
            return read(value)
        except WireError:
            raise
        except (ValueError, KeyError):
            expected = EXPECTED_VALUES.get(read, "one of the words of the wire")
            raise WireError(f"{self.name}: field {key}: expected {expected}, got {value[:60]!r}") from None

    def required(self, key: str, read: Callable[[str], T]) -> T:
        """Returns the parsed value of a field; raises `WireError` if the field is missing or empty."""
        value = self.optional(key, read)
        if value is None:
            raise WireError(f"{self.name}: field {key} is missing")
        return value


def parse_number(text: str) -> float:
    """Returns a finite number; raises `ValueError` for any other text."""
    value = float(text)
    if not math.isfinite(value):
        raise ValueError
    return value


def parse_flag(text: str) -> bool:
    """Returns the boolean that `1` or `0` stands for; raises `KeyError` for any other text."""
    return {"1": True, "0": False}[text]


def parse_load_report(text: str) -> LoadReport:
    """Returns the load report of `name:value` pairs separated by commas."""
    pairs = (pair.partition(":") for pair in text.split(","))
    return load_report([(name, parse_number(value)) for name, _, value in pairs])


EXPECTED_VALUES: dict[Callable[[str], Any], str] = {
    parse_number: "a number",
    int: "a whole number",
    parse_flag: "1 or 0",
    parse_load_report: "name:value pairs",
}


def read_reply_detail(text: str) -> ReplyDetail | None:
    """Returns the reply detail of a number; None for 0 and unknown numbers."""
    int(text)
    return REPLY_DETAILS.get(text)


def read_member(fields: Fields) -> Member:
    """Returns the member that an `entry` line describes."""
    return Member(
        name=fields.required("cache", str),
        zone=fields.optional("rackZone", str),
        kind=fields.optional("shape", str),
        cell=fields.optional("cluster", int),
        state=fields.optional("status", MEMBER_STATES.__getitem__),
        weight=fields.optional("units", parse_number),
        started=fields.optional("bootTime", parse_number),
    )


def read_event(fields: Fields, entries: list[Member]) -> Event | None:
    """Returns the routing policy's event for one line; None for lines that the policy has no event for."""
    match fields.name:
        case "update":
            full, failed = fields.required("mode", UPDATE_MODES.__getitem__)
            return MembersChanged(tuple(entries), full, failed)
        case "query":
            return Request(
                id=fields.required("rid", str),
                class_name=fields.required("grade", str),
                time_left=fields.required("timeBudget", parse_number),
                key=fields.optional("item", int),
                part=fields.optional("piece", int),
                group=fields.optional("purgeGroup", int),
                size_kb=fields.optional("bytesK", parse_number),
                tenant=fields.optional("party", str),
                retry=fields.optional("resent", parse_flag),
                write=fields.optional("update", parse_flag),
            )
        case "head_received":
            return ResponseStarted(fields.required("rid", str), fields.required("try", int))
        case "returned":
            return AttemptEnded(
                request=fields.required("rid", str),
                attempt=fields.required("try", int),
                target=fields.required("cache", str),
                outcome=fields.required("result", OUTCOMES.__getitem__),
                latency=fields.required("delaySeen", parse_number),
                final=bool(fields.optional("last", parse_flag)),
                detail=fields.optional("info", read_reply_detail),
                source_wait=fields.optional("fillWait", parse_number),
                load_report=fields.optional("feedback", parse_load_report) or NO_LOAD_REPORT,
            )
        case "withdrawn":
            return ClientDisconnected(fields.required("rid", str))
        case "invalidated":
            return Purged(
                fields.required("age", parse_number),
                fields.optional("group", int),
                fields.optional("item", int),
            )
        case "alarm":
            return TimerFired(fields.required("nonce", str))
    return None


def write_action(router: str, action: Action) -> str:
    """Returns the reply line for one action."""

    def line(name: str, **values: str | float | None) -> str:
        texts = {key: f"{v:.6f}" if isinstance(v, float) else v for key, v in values.items() if v is not None}
        return "\t".join([name, f"router={router}", *(f"{key}={value}" for key, value in texts.items())])

    match action:
        case Fetch():
            option_bits = action.coalesce + 2 * action.only_if_cached + 8 * action.refresh
            return line(
                "obtain",
                rid=action.request,
                cache=action.target,
                feeder=action.source,
                storeAs=action.retention,
                maxWait=action.timeout,
                age=action.max_age,
                opts=option_bits,
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


class RouterHost:
    """All routers of one process; they share no state.

    Args:
        make_cluster: Returns the cluster of a new router; None if no router has one.
    """

    def __init__(self, make_cluster: "MakeCluster | None" = None) -> None:
        self.routers: dict[str, Router | None] = {}
        self.make_cluster = make_cluster
        self.clusters: dict[str, SimulatorCluster] = {}

    def handle_batch(self, lines: list[str]) -> list[str]:
        """Returns the reply lines to one batch, without the closing `ack`; raises `WireError`."""
        tick = Fields(lines[0] if lines else "")
        if tick.name != "tick":
            raise WireError(f"expected a tick line first, got {tick.name[:60]!r}")
        now = tick.required("ts", parse_number)
        reply: list[str] = []
        line_index = 1
        while line_index < len(lines):
            try:
                fields = Fields(lines[line_index])
                count = fields.optional("membersList", int) or 0
                if not 0 <= count < len(lines) - line_index:
                    raise WireError(f"update: field membersList: expected {count} entry lines, got fewer")
                entries = [Fields(line) for line in lines[line_index + 1 : line_index + 1 + count]]
                for entry in entries:
                    if entry.name != "entry":
                        raise WireError(f"update: expected an entry line, got {entry.name[:60]!r}")
                reply.extend(self.deliver(fields, [read_member(entry) for entry in entries], now))
            except ValueError as error:
                failure = error if isinstance(error, WireError) else WireError(str(error))
                router_match = re.search(r"\trouter=(\d+)(\t|$)", lines[line_index])
                failure.router = router_match[1] if router_match else None
                raise failure from None
            line_index += 1 + count
        return reply

    def deliver(self, fields: Fields, entries: list[Member], now: float) -> list[str]:
        """Delivers one event to the router that it names; returns the reply lines."""
        router = str(fields.required("router", int))
        if fields.name == "provision":
            new_router = Router(fields.required("settings", read_settings), fields.required("salt", int))
            self.routers[router] = new_router
            cluster = self.make_cluster(fields, new_router, now) if self.make_cluster is not None else None
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
        """Delivers an event to a router in a cluster, then the outlier reports that result from it."""
        instance = self.routers[router]
        assert instance is not None
        events: list[Event] = []
        if fields.name == "note_from":
            events += cluster.receive(fields.required("srcPeer", int), fields.required("content", str), now)
        elif fields.name == "alarm" and fields.required("nonce", str) == CLUSTER_ALARM_NONCE:
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
    """Returns the lines that send a cluster's messages and set its next alarm."""
    reply = [
        f"post\trouter={router}\tpeer={post.peer}\tcontent={post.content}" for post in cluster.take_posts(now)
    ]
    wait = cluster.set_alarm(now)
    return reply if wait is None else [*reply, write_action(router, SetTimer(wait, CLUSTER_ALARM_NONCE))]


def cluster_factory(path: str) -> "MakeCluster":
    """Returns a function that makes the cluster of an instance whose settings allow peers, else None."""
    from paddlequay.schema.cluster import read_cluster
    from paddlequay.simulator.cluster import SimulatorCluster

    settings = read_cluster(Path(path))

    def make_cluster(fields: Fields, router: Router, now: float) -> SimulatorCluster | None:
        values = json.loads(fields.required("settings", str))
        allowed = (values.get("limits") or {}).get("peers") is True
        number, size, salt = values.get("me"), values.get("groupSize"), fields.required("salt", int)
        if not allowed or not isinstance(number, int) or not isinstance(size, int) or not 0 <= number < size:
            return None
        return SimulatorCluster(settings, number, size, router, salt, now)

    return make_cluster


def main(source: TextIO = sys.stdin, sink: TextIO = sys.stdout) -> int:
    """Answers batches until the input ends; returns the exit code, 1 after malformed input."""
    path = os.environ.get("PADDLEQUAY_CLUSTER")
    host = RouterHost(cluster_factory(path) if path else None)
    lines: list[str] = []
    for raw_line in source:
        line = raw_line.rstrip("\r\n")
        if line != "your_turn":
            lines.append(line)
            continue
        try:
            reply = host.handle_batch(lines)
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
