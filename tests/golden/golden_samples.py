"""What the program writes to each wire and file, from fixed input, for comparison with the committed samples.

Each function gives the lines of one file in `data/`. Run as a program, with `tests` and the root on the
path, this module writes the files anew: for a deliberate change of a format alone, never to make a failing
comparison pass.
"""

import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Callable, Iterator
from pathlib import Path

from driver import EVERYBODY, settings
from test_adapter import batch, provision, query

from paddlequay.cluster.messages import MESSAGE_TYPES, PeerMessage
from paddlequay.cluster.wire import Codec, Header
from paddlequay.discovery.membership import Membership
from paddlequay.discovery.reports import ReportedMember, SourceRule
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
from paddlequay.protocol import caches, clients, console
from paddlequay.protocol import hot_restart as twin
from paddlequay.requests.messages import AnswerStatus, CopyStamp, FinalAnswer, UpstreamRequest
from paddlequay.requests.quotas import QuotaInUse
from paddlequay.routing.interface import (
    AttemptEnded,
    Fetch,
    LoadReport,
    MembersChanged,
    MemberState,
    Outcome,
    Request,
)
from paddlequay.routing.interface import ReplyDetail as AnswerNote
from paddlequay.store.record import encode

ROOT = Path(__file__).parent.parent.parent
DATA = Path(__file__).parent / "data"
MARKS = {
    "out:edge-1": Override(1_700_000_000_000_000_001, True),
    "drain": Override(1_700_000_000_000_000_002, False),
}
FLEET_SIZE = 12


def link_messages() -> list[twin.LinkMessage]:
    """Every message of the link between two processes of one router."""
    return [
        twin.StateMessage({}, (), {}),
        twin.StateMessage(
            MARKS, ("edge-1", "edge-2"), {"edge_rate": 1.25, "limit edge-1": 10.0, "work pages": 0.15}
        ),
        twin.OverrideMessage(7, "out:edge-1", MARKS["out:edge-1"]),
        twin.OverrideMessage(8, "drain", MARKS["drain"]),
        twin.OverrideConfirmed(7),
        twin.SuccessorReady(),
        QuotaInUse(341, 643),
    ]


def link() -> Iterator[str]:
    """The link's lines."""
    for message in link_messages():
        yield twin.pack(message).decode().removesuffix("\n")


def note_samples() -> Iterator[tuple[PeerMessage, PeerMessage]]:
    """Each datagram kind twice: with every field at its least, and at its greatest value."""
    for format_ in Codec("golden", FLEET_SIZE).formats.values():
        least = [field.minimum if field.type is int else field.type() for field in format_.fields]
        most = [field.maximum if field.type is int else field.type() for field in format_.fields]
        yield format_.message_type(*least), format_.message_type(*most)


def datagrams() -> Iterator[str]:
    """Kind, fields with type and range, and a whole datagram with two notes of the kind, in hex."""
    codec = Codec("golden", FLEET_SIZE)
    for number, (least, most) in zip(MESSAGE_TYPES, note_samples(), strict=True):
        fields = [
            (field.type.__name__, field.minimum, field.maximum) for field in codec.formats[number].fields
        ]
        head = Header(1, 3, 5, 70 + number, 9)
        data = codec.pack(head, [codec.pack_message(least), codec.pack_message(most)])
        yield json.dumps([number, codec.formats[number].required_count, fields, data.hex()])


def left_out() -> Iterator[str]:
    """The file of caches that operators have left out."""
    with tempfile.TemporaryDirectory() as folder:
        operation = OperatorState(Path(folder) / "marks.json")
        operation.apply_all(MARKS)
        yield operation.serialize_ejections()


def membership() -> Membership:
    """Two members, one of them draining."""
    members = Membership(
        (SourceRule("list", retain_for=60.0, silent_after=5.0), SourceRule("kept", retain_for=60.0))
    )
    boxes = [
        ReportedMember("s-1", ("127.0.0.1", 80), "cache", "here", 2, 1.5, 7.0),
        ReportedMember("s-2", ("127.0.0.2", 81), state=MemberState.DRAINING),
    ]
    members.report("list", boxes, True, 10.0)
    return members


def saved_members() -> Iterator[str]:
    """The members kept over a restart."""
    yield json.dumps(membership().snapshot(), separators=(",", ":"))


def shape() -> Topology:
    """A store, and two nodes of which one drains."""
    nodes = (
        NodeSpec("o", ("127.0.0.1", 9), is_origin=True, group="g"),
        NodeSpec("r", ("127.0.0.1", 10), parents=("o",), weight=2.0, started_at=3.5),
        NodeSpec("a", ("127.0.0.1", 11), parents=("r", "o"), state=MemberState.DRAINING),
    )
    return apply_delta(Topology(), TopologyDelta(4, None, nodes), TopologyLimits())


def saved_shape() -> Iterator[str]:
    """The shape of a hierarchy as a tier's node saves it, and a record's bytes."""
    migration = MigrationPlan("a", MigrationLimits())
    migration.restore_state([{"version": 3, "left": 1.5, "members": {"a": 1.0, "r": 2.0}}], 2.0)
    body = json.dumps(
        {"shape": encode_delta(full_delta(shape())), "epochs": migration.export_state()},
        separators=(",", ":"),
    )
    yield body
    yield encode("shape", 1, body.encode()).partition(b"\n")[0].decode()


def trained_router() -> Router:
    """A router that has served some requests."""
    router = Router(settings(), seed=1)
    router.handle(MembersChanged(EVERYBODY, full=True), 100.0)
    for number in range(40):
        now = 100.0 + number / 10
        actions = router.handle(Request(f"r{number}", "pages", 2.0, number % 9, 0, 1, size_kb=20.0), now)
        for fetch in [action for action in actions if isinstance(action, Fetch)]:
            late = number % 8 == 0
            ended = AttemptEnded(
                fetch.request, 0, fetch.target, Outcome.SERVED, 0.9 if late else 0.04, True,
                AnswerNote.FILLED_FROM_ORIGIN if number % 3 else AnswerNote.HIT, 0.01,
                LoadReport(3.0, 0.3, 0.5, 0.2),
            )  # fmt: skip
            router.handle(ended, now + 0.05)
    return router


def knowledge() -> Iterator[str]:
    """What a process hands to its successor, with its keys."""
    yield json.dumps(trained_router().export_state(), sort_keys=True)


def orders() -> Iterator[UpstreamRequest]:
    """Orders of every form."""
    plain = UpstreamRequest(
        "id1", "pages", "00ff", None, b"", None, None, 1.5, None, 0, None, False, False, False, {}
    )
    yield plain
    full = UpstreamRequest(
        "id2", "orders", "00fe", 3, b"abc", "0011", "dup-1", 0.25, "parent-1", 2, 8.5, True, True, True,
        {"route": "a.b", "num": "5"},
    )  # fmt: skip
    yield full
    for join, held, renew in ((True, False, False), (False, True, False), (False, False, True)):
        yield UpstreamRequest(
            "id3", "pages", "0a", 0, b"", None, None, 0.0001, "p", 1, 0.0001, join, held, renew, {}
        )  # fmt: skip


def ask_lines() -> Iterator[str]:
    """`ASK` lines of every form, and `QUIT`."""
    for order in orders():
        yield (
            caches.request_line(order.id, request_fields(order), len(order.body))
            .decode()
            .removesuffix("\r\n")
        )
    yield caches.cancel_line("id1").decode().removesuffix("\r\n")


def client_answers() -> Iterator[str]:
    """Answers to clients, in hex."""
    stamp = CopyStamp("t", 1.0, 2)
    replies = [
        FinalAnswer(AnswerStatus.SERVED, b"body", stamp=stamp, detail=AnswerNote.HIT, served_by="e"),
        FinalAnswer(AnswerStatus.SERVED),
        FinalAnswer(AnswerStatus.NOT_MODIFIED, stamp=stamp),
        FinalAnswer(AnswerStatus.REJECTED),
        FinalAnswer(AnswerStatus.REJECTED, retry_after=0.1),
        FinalAnswer(AnswerStatus.REJECTED, retry_after=0.0001),
        FinalAnswer(AnswerStatus.FAILED, detail=AnswerNote.ORIGIN_FAILED),
    ]
    for number, reply in enumerate(replies, 126):
        yield b"".join(map(bytes, format_answer(number, reply))).hex()
    yield clients.readiness_answer(1, True).hex()
    yield clients.readiness_answer(2, False).hex()


def console_answers() -> Iterator[str]:
    """The console's answers as bytes."""
    for status, why, allow, head in (
        (200, "ready", "", False),
        (405, "expected GET, HEAD", "GET, HEAD", False),
        (503, "draining", "", True),
    ):
        yield json.dumps(console.format_answer(status, why, allow, head).decode())


def simulator_input() -> str:
    """Batches of the simulator's wire with each line that a router reads."""
    head = "returned\trouter=0\trid=rq_0_"
    return "".join(
        (
            batch(1.0, *provision(0)),
            batch(1.1, *(query(0, number) for number in range(4))),
            batch(
                1.2,
                f"{head}0\ttry=0\tcache=10.0.0.1:7001\tresult=served\tdelaySeen=0.1\tlast=1\tinfo=3"
                "\tfillWait=0.02\tfeedback=active:3,cpu:0.5",
                f"{head}1\ttry=0\tcache=10.0.0.2:7002\tresult=no_answer\tdelaySeen=0.5\tlast=0",
                f"{head}2\ttry=0\tcache=10.0.0.1:7001\tresult=connection_lost\tdelaySeen=0.1",
                "withdrawn\trouter=0\trid=rq_0_3",
                "invalidated\trouter=0\tage=0.5\titem=1",
                "head_received\trouter=0\trid=rq_0_1\ttry=0",
            ),
            batch(1.3, "update\trouter=0\tmode=unavailable\tstamp=2\tmembersList=0", query(0, 8)),
            batch(
                1.4,
                *(
                    f"{head}{n}\ttry=1\tcache=10.0.0.2:7002\tresult=turned_away\tdelaySeen=0.1"
                    for n in (1, 2)
                ),
            ),
            batch(1.6, *(query(0, number) for number in range(10, 40))),
            batch(1.7, "kill\trouter=0"),
        )
    )


def simulator() -> Iterator[str]:
    """The answers of the simulator's adapter to `simulator_input`."""
    done = subprocess.run(
        [sys.executable, "-m", "paddlequay.adapter"],
        input=simulator_input(), capture_output=True, text=True, cwd=ROOT, check=True,
        env=os.environ | {"PYTHONHASHSEED": "0"},
    )  # fmt: skip
    yield from done.stdout.splitlines()


SAMPLES: dict[str, Callable[[], Iterator[str]]] = {
    "link.jsonl": link,
    "datagrams.jsonl": datagrams,
    "left_out.json": left_out,
    "saved_members.json": saved_members,
    "saved_shape.txt": saved_shape,
    "knowledge.json": knowledge,
    "ask_lines.txt": ask_lines,
    "client_answers.hex": client_answers,
    "console_answers.jsonl": console_answers,
    "simulator.txt": simulator,
}


def main() -> None:
    """Write all samples anew."""
    for name, lines in SAMPLES.items():
        (DATA / name).write_text("".join(f"{line}\n" for line in lines()), encoding="utf-8")


if __name__ == "__main__":
    main()
