"""Generates the program's output to each wire and file from fixed input, to compare with committed samples.

Each function in `SAMPLES` yields the lines of one file in `data/`. Run as a program, with `tests` and the
repository root on the path, this module rewrites these files. Do so only when a format changes on purpose,
never to make a failing comparison pass.
"""

import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Callable, Iterator
from pathlib import Path

from driver import ALL_MEMBERS, settings
from test_adapter import batch, provision, query

from paddlequay.cluster.messages import MESSAGE_TYPES, PeerMessage
from paddlequay.cluster.wire import Codec, Header
from paddlequay.discovery.membership import Membership
from paddlequay.discovery.reports import SourceRule
from paddlequay.hierarchy.migration import MigrationLimits, MigrationPlan
from paddlequay.hierarchy.topology import (
    NodeSpec,
    Topology,
    TopologyDelta,
    TopologyLimits,
    apply_delta,
    full_delta,
)
from paddlequay.hierarchy.topology_json import encode_delta
from paddlequay.lifecycle.operator_state import OperatorState, Override
from paddlequay.net.clients.client_messages import format_answer
from paddlequay.net.upstreams.cache_messages import request_fields
from paddlequay.policy import Router
from paddlequay.protocol import caches, clients, console, hot_restart
from paddlequay.protocol.endpoint_watch import Endpoint, EndpointList, PurgeEvent
from paddlequay.requests.messages import AnswerStatus, CopyStamp, FinalAnswer, UpstreamRequest
from paddlequay.requests.quotas import QuotaInUse
from paddlequay.routing.interface import (
    AttemptEnded,
    Fetch,
    LoadReport,
    Member,
    MembersChanged,
    MemberState,
    Outcome,
    ReplyDetail,
    Request,
)
from paddlequay.routing.membership_state import (
    FlapRecord,
    MembershipState,
    ReportedMember,
    ReportRecord,
    StartRecord,
)
from paddlequay.store.record import encode

ROOT = Path(__file__).parent.parent.parent
DATA = Path(__file__).parent / "data"
OVERRIDES = {
    "out:edge-1": Override(1_700_000_000_000_000_001, True),
    "drain": Override(1_700_000_000_000_000_002, False),
}
FLEET_SIZE = 12
GOLDEN_MEMBER = Member("edge-1", "here", "box", 2, MemberState.DRAINING, 1.5, 1_764_576_000.123)
GOLDEN_ENDPOINT = Endpoint(GOLDEN_MEMBER, ("127.0.0.1", 6565))
REMOVED_ENDPOINT = Endpoint(Member(name="edge-2", state=MemberState.REMOVED), ("", 0))
GOLDEN_PURGES = (
    PurgeEvent(42, 1_764_576_000.123, 0x7F3A9C21E0B4D655, None),
    PurgeEvent(43, 1_764_576_000.48, None, 17),
)


def link_messages() -> list[hot_restart.LinkMessage]:
    """Returns messages of each type on the link between the two processes of a hot restart."""
    return [
        hot_restart.StateMessage({}, (), {}),
        hot_restart.StateMessage(
            OVERRIDES, ("edge-1", "edge-2"), {"edge_rate": 1.25, "limit edge-1": 10.0, "work pages": 0.15}
        ),
        hot_restart.OverrideMessage(7, "out:edge-1", OVERRIDES["out:edge-1"]),
        hot_restart.OverrideMessage(8, "drain", OVERRIDES["drain"]),
        hot_restart.OverrideConfirmed(7),
        hot_restart.SuccessorReady(),
        QuotaInUse(341, 643),
        hot_restart.StateMessage({}, (), {}, "8d3f0a51c2b7e694"),
        hot_restart.KnownEvents(42, (EndpointList(42, True, (GOLDEN_ENDPOINT,)),), is_last=False),
        hot_restart.KnownEvents(42, (GOLDEN_PURGES[0],), is_last=True),
        hot_restart.NewEvent(GOLDEN_PURGES[1]),
        hot_restart.NewEvent(EndpointList(44, False, (REMOVED_ENDPOINT,))),
        hot_restart.StateMessage({}, (), {}, "8d3f0a51c2b7e694", ("9b1f03aa5c7e2d41",)),
        hot_restart.RequestExecuted("9b1f03aa5c7e2d42"),
    ]


def member_messages() -> list[hot_restart.LinkMessage]:
    """Returns messages on what sources of members have told, of each type on the link of a hot restart."""
    draining = ReportedMember(
        "edge-1", ("127.0.0.1", 6565), "box", "here", 2, 1.5, 1_764_576_000.123, MemberState.DRAINING
    )
    removed = ReportedMember("edge-2", ("127.0.0.2", 6566), state=MemberState.REMOVED)
    omitted = ReportedMember("edge-3", ("127.0.0.3", 6567))
    state = MembershipState(
        (("list", 1_764_576_010.5), ("dns", 1_764_576_009.0)),
        (
            ReportRecord("list", draining, 1_764_576_001.0),
            ReportRecord("list", removed, 1_764_576_002.0),
            ReportRecord("dns", omitted, 1_764_576_003.0, 1_764_576_004.0),
        ),
        (FlapRecord(("127.0.0.4", 6568), 5.0, 1_764_576_015.0, (1_764_576_001.0, 1_764_576_002.0), False),),
        (StartRecord("edge-3", ("127.0.0.3", 6567), 1_764_576_003.0),),
        1_764_576_000.0,
    )
    return [
        hot_restart.StateMessage({}, (), {}, "8d3f0a51c2b7e694", ("9b1f03aa5c7e2d41",), True),
        hot_restart.InheritedMembers(42, state),
        hot_restart.InheritedMembers(0, MembershipState()),
        hot_restart.ListChanges(43, (draining, removed)),
        hot_restart.ListChanges(0, (omitted,)),
    ]


def member_lines() -> Iterator[str]:
    """Yields the lines on members that the link carries."""
    for message in member_messages():
        yield hot_restart.pack(message).decode().removesuffix("\n")


def link_lines() -> Iterator[str]:
    """Yields the lines that the link carries."""
    for message in link_messages():
        yield hot_restart.pack(message).decode().removesuffix("\n")


def message_samples() -> Iterator[tuple[PeerMessage, PeerMessage]]:
    """Yields two messages per message type: all fields at their minimum, and all at their maximum."""
    for message_format in Codec("golden", FLEET_SIZE).formats.values():
        lowest = [field.minimum if field.type is int else field.type() for field in message_format.fields]
        highest = [field.maximum if field.type is int else field.type() for field in message_format.fields]
        yield message_format.message_type(*lowest), message_format.message_type(*highest)


def datagrams() -> Iterator[str]:
    """Yields per message type its number, its fields, and a datagram with two such messages, in hex."""
    codec = Codec("golden", FLEET_SIZE)
    for number, (lowest, highest) in zip(MESSAGE_TYPES, message_samples(), strict=True):
        fields = [
            (field.type.__name__, field.minimum, field.maximum) for field in codec.formats[number].fields
        ]
        head = Header(1, 3, 5, 70 + number, 9)
        data = codec.pack(head, [codec.pack_message(lowest), codec.pack_message(highest)])
        yield json.dumps([number, codec.formats[number].required_count, fields, data.hex()])


def ejected_caches() -> Iterator[str]:
    """Yields the file of the caches that operators have ejected."""
    with tempfile.TemporaryDirectory() as folder:
        operation = OperatorState(Path(folder) / "marks.json")
        operation.apply_all(OVERRIDES)
        yield operation.serialize_ejections()


def sample_membership() -> Membership:
    """Returns a membership of two members, one of them draining."""
    members = Membership(
        (SourceRule("list", retain_for=60.0, silent_after=5.0), SourceRule("kept", retain_for=60.0))
    )
    reported_members = [
        ReportedMember("s-1", ("127.0.0.1", 80), "cache", "here", 2, 1.5, 7.0),
        ReportedMember("s-2", ("127.0.0.2", 81), state=MemberState.DRAINING),
    ]
    members.report("list", reported_members, True, 10.0)
    return members


def saved_members() -> Iterator[str]:
    """Yields the members as they are saved for a restart."""
    yield json.dumps(sample_membership().snapshot(), separators=(",", ":"))


def sample_topology() -> Topology:
    """Returns a topology of an origin and two nodes, one of them draining."""
    nodes = (
        NodeSpec("o", ("127.0.0.1", 9), is_origin=True, group="g"),
        NodeSpec("r", ("127.0.0.1", 10), parents=("o",), weight=2.0, started_at=3.5),
        NodeSpec("a", ("127.0.0.1", 11), parents=("r", "o"), state=MemberState.DRAINING),
    )
    return apply_delta(Topology(), TopologyDelta(4, None, nodes), TopologyLimits())


def saved_topology() -> Iterator[str]:
    """Yields the topology and migration state as a tier node saves them, and the header of their record."""
    migration = MigrationPlan("a", MigrationLimits())
    migration.restore_state([{"version": 3, "left": 1.5, "members": {"a": 1.0, "r": 2.0}}], 2.0)
    body = json.dumps(
        {"shape": encode_delta(full_delta(sample_topology())), "epochs": migration.export_state()},
        separators=(",", ":"),
    )
    yield body
    yield encode("shape", 1, body.encode()).partition(b"\n")[0].decode()


def trained_router() -> Router:
    """Returns a router that has learned from 40 requests."""
    router = Router(settings(), seed=1)
    router.handle(MembersChanged(ALL_MEMBERS, full=True), 100.0)
    for number in range(40):
        now = 100.0 + number / 10
        actions = router.handle(Request(f"r{number}", "pages", 2.0, number % 9, 0, 1, size_kb=20.0), now)
        for fetch in [action for action in actions if isinstance(action, Fetch)]:
            is_slow = number % 8 == 0
            ended = AttemptEnded(
                fetch.request, 0, fetch.target, Outcome.SERVED, 0.9 if is_slow else 0.04, True,
                ReplyDetail.FILLED_FROM_ORIGIN if number % 3 else ReplyDetail.HIT, 0.01,
                LoadReport(3.0, 0.3, 0.5, 0.2),
            )  # fmt: skip
            router.handle(ended, now + 0.05)
    return router


def learned_state() -> Iterator[str]:
    """Yields the learned state that a process hands to its successor."""
    yield json.dumps(trained_router().export_state(), sort_keys=True)


def upstream_requests() -> Iterator[UpstreamRequest]:
    """Yields upstream requests that lead to an `ASK` line of each form."""
    plain = UpstreamRequest(
        "id1", "pages", "00ff", None, b"", None, None, 1.5, None, 0, None, False, False, False, {}
    )
    yield plain
    full = UpstreamRequest(
        "id2", "orders", "00fe", 3, b"abc", "0011", "dup-1", 0.25, "parent-1", 2, 8.5, True, True, True,
        {"route": "a.b", "num": "5"},
    )  # fmt: skip
    yield full
    for coalesce, only_if_cached, refresh in (
        (True, False, False),
        (False, True, False),
        (False, False, True),
    ):
        yield UpstreamRequest(
            "id3", "pages", "0a", 0, b"", None, None, 0.0001, "p", 1, 0.0001,
            coalesce, only_if_cached, refresh, {},
        )  # fmt: skip


def ask_lines() -> Iterator[str]:
    """Yields an `ASK` line of each form, and a `QUIT` line."""
    for request in upstream_requests():
        yield (
            caches.request_line(request.id, request_fields(request), len(request.body))
            .decode()
            .removesuffix("\r\n")
        )
    yield caches.cancel_line("id1").decode().removesuffix("\r\n")


def client_answers() -> Iterator[str]:
    """Yields answers to clients, in hex."""
    stamp = CopyStamp("t", 1.0, 2)
    replies = [
        FinalAnswer(AnswerStatus.SERVED, b"body", stamp=stamp, detail=ReplyDetail.HIT, served_by="e"),
        FinalAnswer(AnswerStatus.SERVED),
        FinalAnswer(AnswerStatus.NOT_MODIFIED, stamp=stamp),
        FinalAnswer(AnswerStatus.REJECTED),
        FinalAnswer(AnswerStatus.REJECTED, retry_after=0.1),
        FinalAnswer(AnswerStatus.REJECTED, retry_after=0.0001),
        FinalAnswer(AnswerStatus.FAILED, detail=ReplyDetail.ORIGIN_FAILED),
    ]
    for number, reply in enumerate(replies, 126):
        yield b"".join(map(bytes, format_answer(number, reply))).hex()
    yield clients.readiness_answer(1, True).hex()
    yield clients.readiness_answer(2, False).hex()


def console_answers() -> Iterator[str]:
    """Yields whole HTTP answers of the console."""
    for status, reason, allow, head in (
        (200, "ready", "", False),
        (405, "expected GET, HEAD", "GET, HEAD", False),
        (503, "draining", "", True),
    ):
        yield json.dumps(console.format_answer(status, reason, allow, head).decode())


def simulator_input() -> str:
    """Returns batches of the simulator's protocol that hold each line that a router reads."""
    prefix = "returned\trouter=0\trid=rq_0_"
    return "".join(
        (
            batch(1.0, *provision(0)),
            batch(1.1, *(query(0, number) for number in range(4))),
            batch(
                1.2,
                f"{prefix}0\ttry=0\tcache=10.0.0.1:7001\tresult=served\tdelaySeen=0.1\tlast=1\tinfo=3"
                "\tfillWait=0.02\tfeedback=active:3,cpu:0.5",
                f"{prefix}1\ttry=0\tcache=10.0.0.2:7002\tresult=no_answer\tdelaySeen=0.5\tlast=0",
                f"{prefix}2\ttry=0\tcache=10.0.0.1:7001\tresult=connection_lost\tdelaySeen=0.1",
                "withdrawn\trouter=0\trid=rq_0_3",
                "invalidated\trouter=0\tage=0.5\titem=1",
                "head_received\trouter=0\trid=rq_0_1\ttry=0",
            ),
            batch(1.3, "update\trouter=0\tmode=unavailable\tstamp=2\tmembersList=0", query(0, 8)),
            batch(
                1.4,
                *(
                    f"{prefix}{n}\ttry=1\tcache=10.0.0.2:7002\tresult=turned_away\tdelaySeen=0.1"
                    for n in (1, 2)
                ),
            ),
            batch(1.6, *(query(0, number) for number in range(10, 40))),
            batch(1.7, "kill\trouter=0"),
        )
    )


def simulator_output() -> Iterator[str]:
    """Yields the lines that the simulator's adapter answers to `simulator_input`."""
    completed = subprocess.run(
        [sys.executable, "-m", "paddlequay.adapter"],
        input=simulator_input(), capture_output=True, text=True, cwd=ROOT, check=True,
        env=os.environ | {"PYTHONHASHSEED": "0"},
    )  # fmt: skip
    yield from completed.stdout.splitlines()


SAMPLES: dict[str, Callable[[], Iterator[str]]] = {
    "link.jsonl": link_lines,
    "link_members.jsonl": member_lines,
    "datagrams.jsonl": datagrams,
    "left_out.json": ejected_caches,
    "saved_members.json": saved_members,
    "saved_shape.txt": saved_topology,
    "knowledge.json": learned_state,
    "ask_lines.txt": ask_lines,
    "client_answers.hex": client_answers,
    "console_answers.jsonl": console_answers,
    "simulator.txt": simulator_output,
}


def main() -> None:
    """Rewrites all sample files."""
    for name, lines in SAMPLES.items():
        (DATA / name).write_text("".join(f"{line}\n" for line in lines()), encoding="utf-8")


if __name__ == "__main__":
    main()
