"""The tier as a real process; the test plays its clients, the other nodes, the origin and the feed."""

import contextlib
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import pytest
from harness import ROOT, WAIT, Party, told, until
from rig_tier import SECRET, FeedServer, Rig, TierClient, node, rig_with_ready_tier, tier_rig

from paddlequay.hierarchy.fill_path import FillPath, Keyring, SigningKey

rig = pytest.fixture(tier_rig, name="rig")
ready = pytest.fixture(rig_with_ready_tier, name="ready")


def test_one_fill_serves_many_requests_and_no_copy_from_before_a_purge_is_served(ready: Rig) -> None:
    client = ready.connect()
    for number in range(40):
        client.send_request(f"q{number}")
    until(lambda: ready.hierarchy_page()["waiting"] == 40, "all of them are read")
    words = ready.answer_as_origin("old")
    assert not told(words).keys() & {"hops", "claim", "via"}  # an origin gets no fields of the hierarchy
    answers = [client.read_answer() for _ in range(40)]
    assert {each[1] for each in answers} == {"HIT"} and {each[3] for each in answers} == {b"old"}
    assert sorted(each[2]["detail"] for each in answers) == ["COLLAPSED"] * 39 + ["MISS_ORIGIN"]
    client.send_request("again", known="old")
    assert client.read_answer()[1:2] == ("VALID",)
    ready.feed.publish(recall={"item": f"{7:016x}", "issued": round(time.time() * 1000) + 1})
    until(lambda: ready.hierarchy_page()["copies"] == 0, "the copy is gone")
    client.send_request("after")
    ready.answer_as_origin("new", time.time() + 0.01)
    assert client.read_answer()[3] == b"new" and ready.origin.lines.empty()


def test_a_requester_that_reads_slowly_gets_an_answer_to_each_request(ready: Rig) -> None:
    # Guards against: requests lost with the connection once a requester left too many bytes unread.
    client = ready.connect()
    client.send_request("first")
    stamp = f"tag=t,minted={round(time.time() * 1000)}"
    ready.origin.answer("HIT", stamp, bytes(240_000))
    assert client.read_answer()[1] == "HIT"
    for number in range(150):  # 36 MB, of which the kernel takes some and 12 MB may wait unsent
        client.send_request(f"q{number}")

    def limit_reached() -> bool:
        ready.processes["a"].send_signal(signal.SIGUSR1)
        return any("unread_answers=" in line or "slow_readers=" in line for line in list(ready.log))

    until(limit_reached, "answers reach the limit")
    answers = [client.read_answer() for _ in range(150)]
    assert {each[0] for each in answers} == {f"q{number}" for number in range(150)}
    assert {(each[1], len(each[3])) for each in answers} == {("HIT", 240_000), ("SHED", 0)}


def drain(rig: Rig, _: TierClient) -> None:
    assert rig.call_console("/-/drain")[0] == 200


def send_malformed_bytes(_: Rig, client: TierClient) -> None:
    client.socket.sendall(b"noise\r\n")


def terminate(rig: Rig, _: TierClient) -> None:
    rig.processes["a"].terminate()


CLOSES = {"drain": drain, "malformed bytes": send_malformed_bytes, "SIGTERM": terminate}


@pytest.mark.parametrize("close", CLOSES.values(), ids=CLOSES)
def test_a_requester_that_still_receives_answers_loses_none_by_a_close(
    ready: Rig, close: Callable[[Rig, TierClient], None]
) -> None:
    # Guards against: answers in the process or the kernel, dropped as the node closes the connection.
    client = ready.connect(receive_buffer=16_384)
    client.send_request("first")
    stamp = f"tag=t,minted={round(time.time() * 1000)}"
    ready.origin.answer("HIT", stamp, bytes(240_000))
    assert client.read_answer()[1] == "HIT"
    for number in range(8):
        client.send_request(f"q{number}")
    time.sleep(0.3)  # the node reads them all
    until(lambda: ready.hierarchy_page()["waiting"] == 0, "all are answered")
    close(ready, client)
    time.sleep(0.6)  # two sweeps
    with contextlib.suppress(OSError):
        client.send_request("late")
    answers = []
    for _ in range(8):
        answers.append(client.read_answer())
        time.sleep(0.1)
    assert [(each[0], each[1], len(each[3])) for each in answers] == [
        (f"q{number}", "HIT", 240_000) for number in range(8)
    ]


def test_requests_for_cached_copies_only_are_answered_at_once_without_a_fill(ready: Rig) -> None:
    client = ready.connect()
    client.send_request("q1", via="")
    assert client.read_answer()[1] == "NONE"
    client.send_request("q2", opts="held")
    assert client.read_answer()[1] == "NONE"
    client.send_request("q3")
    ready.answer_as_origin()
    assert client.read_answer()[1] == "HIT"
    client.send_request("q4", opts="held+join")
    assert client.read_answer()[1] == "HIT" and ready.origin.lines.empty()
    client.socket.sendall(b"NOOP n1\r\nINFO i1\r\n")
    assert [client.read_answer()[:2] for _ in range(2)] == [("n1", "PONG"), ("i1", "PONG")]


@pytest.mark.parametrize(
    ("fields", "detail"),
    [
        ({"hops": "garbage"}, "BAD_HOPS"),
        ({"hops": "k1:1:b:" + "0" * 32}, "BAD_HOPS"),
        ({"hops": "k1:1:" + "~".join(f"n{i}" for i in range(600)) + ":0"}, "BAD_HOPS"),
        ({"claim": "5@127.0.0.1:5"}, "BAD_FIELD"),
        ({"queue": "none"}, "BAD_FIELD"),
        ({"blk": "x"}, "BAD_FIELD"),
        ({"budget": "9" * 30}, "BAD_FIELD"),
    ],
)
def test_a_forged_path_or_an_invalid_field_fails_its_own_request_only(
    ready: Rig, fields: dict[str, str], detail: str
) -> None:
    client = ready.connect()
    client.send_request("good")
    client.send_request("bad", **fields)
    assert client.read_answer()[:3:2] == ("bad", {"detail": detail})
    ready.answer_as_origin()
    assert client.read_answer()[0] == "good"


@pytest.mark.parametrize(
    "noise", [b"HELLO\r\n", b"ASK a b\r\n", b"\xff\xff\r\n", b"A" * 9000, b"ASK a - 9\r\nxy"]
)
def test_malformed_bytes_end_their_own_connection_only(ready: Rig, noise: bytes) -> None:
    client, bad = ready.connect(), ready.connect()
    bad.socket.sendall(noise)
    if noise.endswith(b"xy"):
        bad.socket.shutdown(socket.SHUT_WR)
    assert bad.file.read() == b""
    client.send_request("q")
    ready.answer_as_origin()
    assert client.read_answer()[1] == "HIT"


def test_two_nodes_that_are_each_others_parents_serve_each_object_with_one_fill(rig: Rig) -> None:
    rig.publish_topology(node("a", rig.address("a"), "b", "store"), node("b", rig.address("b"), "store"))
    rig.start("a")
    rig.wait_for_version(1, "a")
    rig.feed.stop()  # `a` keeps the first topology; `b` gets the second one from another feed
    first_feed, rig.feed = rig.feed, FeedServer()
    rig.feed.events = first_feed.events[:]
    rig.publish_topology(node("a", rig.address("a"), "store"), node("b", rig.address("b"), "a", "store"))
    rig.start("b")
    rig.wait_for_version(2, "b")
    assert rig.hierarchy_page("a")["version"] == 1
    started_at = time.monotonic()
    clients = [rig.connect("a"), rig.connect("b")]
    names = [f"{number:016x}" for number in range(20)]
    for name in names:
        for client in clients:
            client.send_request(f"q{name}", name=name)
    for _ in names:
        rig.answer_as_origin()
    for client in clients:
        assert {client.read_answer()[1] for _ in names} == {"HIT"}
    assert time.monotonic() - started_at < 3 and rig.origin.lines.empty()
    assert (
        sum(
            rig.hierarchy_page(name)["loops_found"] + rig.hierarchy_page(name)["rings_refused"]
            for name in "ab"
        )
        >= 1
    )


def test_fill_with_forty_waiters_goes_to_the_origin_at_once_when_its_home_dies(rig: Rig) -> None:
    peer = Party()
    rig.publish_topology(node("a", rig.address("a"), "store"), node("b", peer.address, "store", weight=1e6))
    rig.start()
    rig.wait_for_version(1)
    client = rig.connect()
    for number in range(40):
        client.send_request(f"q{number}")
    connection, words = peer.line()
    path = Keyring([SigningKey("k1", SECRET)]).decode(
        told(words)["hops"], f"{words[1]} video {7:016x} 0 ", time.time()
    )
    assert path.hops == ("a",) and "via" in told(words)
    connection.shutdown(socket.SHUT_RDWR)
    connection.close()
    rig.answer_as_origin()
    assert {client.read_answer()[1] for _ in range(40)} == {"HIT"} and rig.origin.lines.empty()
    peer.listener.close()


def test_a_new_home_asks_the_earlier_home_for_its_cached_copy_and_claims_the_object(rig: Rig) -> None:
    peer = Party()
    b = node("b", peer.address, "store")
    rig.publish_topology(node("a", rig.address("a"), "store", weight=1e-5), b)
    rig.start()
    rig.wait_for_version(1)
    rig.publish_topology(node("a", rig.address("a"), "store", weight=1e5), b)
    rig.wait_for_version(2)
    client = rig.connect()
    client.send_request("q1")
    words = peer.answer("HIT", f"tag=held,minted={round(time.time() * 1000)}", b"held")
    assert told(words)["opts"] == "join+held" and "via" not in told(words)
    assert told(words)["claim"] == f"2@{rig.address('a')}"
    assert client.read_answer()[3] == b"held"
    client.send_request("q2", name=f"{8:016x}")
    peer.answer("NONE", "detail=UP_MISS")
    rig.answer_as_origin()
    assert client.read_answer()[1] == "HIT" and rig.origin.lines.empty()


def test_a_fill_that_has_passed_the_node_is_rejected_as_a_loop(ready: Rig) -> None:
    client = ready.connect()
    encoded_path = Keyring([SigningKey("k1", SECRET)]).encode(
        FillPath(1, ("a", "b")), f"q1 video {7:016x} 0 ", time.time()
    )
    client.send_request("q1", hops=encoded_path)
    status, fields = client.read_answer()[1:3]
    use = dict(pair.split(":") for pair in fields.pop("use").split(";"))
    assert 0.0 <= float(use.pop("util")) <= 1.0  # not a fixed value, as other processes use the core too
    assert (status, fields, use) == ("NONE", {"detail": "LOOP"}, {"inflight": "0", "x0": "0.00", "x1": "0"})


def test_operators_can_eject_and_restore_another_node_and_drain_this_one(rig: Rig) -> None:
    peer = Party()
    rig.publish_topology(node("a", rig.address("a"), "store"), node("b", peer.address, "store", weight=1e6))
    rig.start()
    rig.wait_for_version(1)
    client = rig.connect()
    assert rig.call_console("/-/caches/b/disable") == (200, "out; left out now: b\n")
    assert rig.hierarchy_page()["left_out"] == ["b"]
    client.send_request("q1")
    rig.answer_as_origin()
    assert client.read_answer()[1] == "HIT" and peer.lines.empty()
    assert rig.call_console("/-/caches/b/enable")[0] == 200
    client.send_request("q2", name=f"{8:016x}")
    peer.answer("HIT", f"tag=p,minted={round(time.time() * 1000)}", b"p")
    assert client.read_answer()[3] == b"p"
    assert (
        rig.call_console("/-/caches/nobody/disable")[0] == 404 and rig.call_console("/-/hierarchy")[0] == 405
    )
    assert rig.call_console("/-/drain")[0] == 200 and rig.call_console("/-/ready", "GET")[0] == 503
    assert client.file.read() == b""  # closed, as no request is open
    assert rig.call_console("/-/resume")[0] == 200 and rig.call_console("/-/ready", "GET")[0] == 200
    peer.listener.close()


def test_reload_adds_a_signing_key_and_shutdown_answers_open_requests(ready: Rig) -> None:
    (ready.folder / "new.key").write_bytes(b"another secret, much newer")
    old = 'hop_key { id: "k1" file: "hop.key" }'
    ready.write_settings("a", **{old: f'{old}\n  hop_key {{ id: "k2" file: "new.key" since_unix: 1 }}'})
    ready.processes["a"].send_signal(signal.SIGHUP)
    ready.wait_for_log_line("event=reloaded")
    client = ready.connect()
    for id, key in (
        ("q1", SigningKey("k1", SECRET)),
        ("q2", SigningKey("k2", b"another secret, much newer")),
    ):
        encoded_path = Keyring([key]).encode(FillPath(1, ("a",)), f"{id} video {7:016x} 0 ", time.time())
        client.send_request(id, hops=encoded_path)
        assert client.read_answer()[2]["detail"] == "LOOP"
    ready.write_settings("a", listen="lisn")
    ready.processes["a"].send_signal(signal.SIGHUP)
    assert "a.txtpb:4" in ready.wait_for_log_line("reload_refused")
    client.send_request("open")
    until(lambda: ready.hierarchy_page()["waiting"] == 1, "the request waits")
    ready.processes["a"].terminate()
    ready.wait_for_log_line("event=shutdown_started")
    ready.answer_as_origin()
    assert client.read_answer()[1] == "HIT" and ready.processes["a"].wait(timeout=WAIT) == 0
    ready.wait_for_log_line("event=counters")


@pytest.mark.parametrize(
    ("old", "new", "expected_error"),
    [
        ("listen", "lisn", ":4:3: "),
        ('group: "aimag"', 'group: "a b"', ":3: tier.group: expected 1 to 64 letters"),
        ("127.0.0.1", "nowhere", ""),
        ("aim_s: 0.6", "aim_s: -1", "tier.class[0].aim_s: expected a number above 0, got -1"),
        ("hop.key", "no.key", ":9: tier.hop_key[0].file: no.key: No such file"),
        ('feed: "', 'feed: "x', ""),
        ("class {", "klass {", ":8:3: "),
        ('folder: "."', "memory_bytes: -5", ":7:"),
        ("tier {", "", ""),
    ],
)
def test_check_command_reports_file_line_and_field(rig: Rig, old: str, new: str, expected_error: str) -> None:
    path = rig.write_settings("a", **{old: new})

    def check(file: Path) -> tuple[int, str]:
        done = subprocess.run(
            [sys.executable, "-m", "paddlequay", "check", str(file)], cwd=ROOT, capture_output=True, text=True
        )
        return done.returncode, done.stdout + done.stderr

    code, text = check(path)
    if expected_error or old == "tier {":
        assert code == 2 and expected_error in text and str(path) in text and text.count("\n") == 1
    assert check(rig.write_settings("a")) == (0, f"{path}: tier a of aimag: can be used\n")
    assert check(rig.folder / "none")[0] == 2


@pytest.mark.parametrize("words", [["nonsense"], ["tier"], ["lab", "run"], ["lab", "up", "--rate", "x"]])
def test_invalid_command_lines_end_with_one_error_and_exit_2(words: list[str]) -> None:
    done = subprocess.run(
        [sys.executable, "-m", "paddlequay", *words], cwd=ROOT, capture_output=True, text=True
    )
    assert done.returncode == 2 and "Error" in done.stderr and "Traceback" not in done.stderr


def test_the_router_imports_no_module_that_it_does_not_use() -> None:
    code = (
        "import sys, paddlequay.__main__, paddlequay.programs.router; "
        "print([m for m in ('click', 'google', 'numpy', 'matplotlib', 'structlog', 'hdrh', 'paddlequay.lab', "
        "'paddlequay.cli', 'paddlequay.schema', 'paddlequay.hierarchy.node') if m in sys.modules])"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, env=os.environ
    )
    assert done.stdout == "[]\n"
