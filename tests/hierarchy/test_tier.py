"""The real tier as a process, between boxes, other nodes, a store and a feed that the test plays."""

import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest
from harness import ROOT, WAIT, Party, told, until
from rig_tier import SECRET, Feed, Rig, made_one, made_rig, node

from paddlequay.hierarchy.fill_path import FillPath, Keyring, SigningKey

rig = pytest.fixture(made_rig, name="rig")
one = pytest.fixture(made_one, name="one")


def test_one_fill_serves_many_and_a_purge_lets_nothing_older_answer(one: Rig) -> None:
    asker = one.asker()
    for number in range(40):
        asker.ask(f"q{number}")
    words = one.give("old")
    assert not told(words).keys() & {"hops", "claim", "via"}  # the store is told what any cache tells it
    answers = [asker.answer() for _ in range(40)]
    assert {each[1] for each in answers} == {"HIT"} and {each[3] for each in answers} == {b"old"}
    assert sorted(each[2]["detail"] for each in answers) == ["COLLAPSED"] * 39 + ["MISS_ORIGIN"]
    asker.ask("again", known="old")
    assert asker.answer()[1:2] == ("VALID",)
    one.feed.tell(recall={"item": f"{7:016x}", "issued": round(time.time() * 1000) + 1})
    until(lambda: one.page()["copies"] == 0, "the copy is gone")
    asker.ask("after")
    one.give("new", time.time() + 0.01)
    assert asker.answer()[3] == b"new" and one.store.lines.empty()


def test_what_is_held_is_given_without_a_fill_and_what_is_not_is_told_at_once(one: Rig) -> None:
    asker = one.asker()
    asker.ask("q1", via="")
    assert asker.answer()[1] == "NONE"
    asker.ask("q2", opts="held")
    assert asker.answer()[1] == "NONE"
    asker.ask("q3")
    one.give()
    assert asker.answer()[1] == "HIT"
    asker.ask("q4", opts="held+join")
    assert asker.answer()[1] == "HIT" and one.store.lines.empty()
    asker.socket.sendall(b"NOOP n1\r\nINFO i1\r\n")
    assert [asker.answer()[:2] for _ in range(2)] == [("n1", "PONG"), ("i1", "PONG")]


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
def test_forged_hops_and_fields_that_cannot_be_used_fail_alone(
    one: Rig, fields: dict[str, str], detail: str
) -> None:
    asker = one.asker()
    asker.ask("good")
    asker.ask("bad", **fields)
    assert asker.answer()[:3:2] == ("bad", {"detail": detail})
    one.give()
    assert asker.answer()[0] == "good"


@pytest.mark.parametrize(
    "noise", [b"HELLO\r\n", b"ASK a b\r\n", b"\xff\xff\r\n", b"A" * 9000, b"ASK a - 9\r\nxy"]
)
def test_noise_ends_its_own_connection_and_no_other(one: Rig, noise: bytes) -> None:
    asker, bad = one.asker(), one.asker()
    bad.socket.sendall(noise)
    if noise.endswith(b"xy"):
        bad.socket.shutdown(socket.SHUT_WR)
    assert bad.file.read() == b""
    asker.ask("q")
    one.give()
    assert asker.answer()[1] == "HIT"


def test_two_that_name_each_other_serve_at_once_and_fill_once(rig: Rig) -> None:
    rig.shape(node("a", rig.at("a"), "b", "store"), node("b", rig.at("b"), "store"))
    rig.start("a")
    rig.reached(1, "a")
    rig.feed.away()  # `a` stays with the first shape, `b` has the second from a feed of its own
    first, rig.feed = rig.feed, Feed()
    rig.feed.events = first.events[:]
    rig.shape(node("a", rig.at("a"), "store"), node("b", rig.at("b"), "a", "store"))
    rig.start("b")
    rig.reached(2, "b")
    assert rig.page("a")["version"] == 1
    began = time.monotonic()
    askers = [rig.asker("a"), rig.asker("b")]
    names = [f"{number:016x}" for number in range(20)]
    for name in names:
        for asker in askers:
            asker.ask(f"q{name}", name=name)
    for _ in names:
        rig.give()
    for asker in askers:
        assert {asker.answer()[1] for _ in names} == {"HIT"}
    assert time.monotonic() - began < 3 and rig.store.lines.empty()
    assert sum(rig.page(name)["loops_found"] + rig.page(name)["rings_refused"] for name in "ab") >= 1


def test_a_home_that_dies_in_mid_fill_with_forty_joiners_is_passed_over_at_once(rig: Rig) -> None:
    peer = Party()
    rig.shape(node("a", rig.at("a"), "store"), node("b", peer.address, "store", weight=1e6))
    rig.start()
    rig.reached(1)
    asker = rig.asker()
    for number in range(40):
        asker.ask(f"q{number}")
    connection, words = peer.line()
    trail = Keyring([SigningKey("k1", SECRET)]).decode(
        told(words)["hops"], f"{words[1]} video {7:016x} 0 ", time.time()
    )
    assert trail.hops == ("a",) and "via" in told(words)
    connection.shutdown(socket.SHUT_RDWR)
    connection.close()
    rig.give()
    assert {asker.answer()[1] for _ in range(40)} == {"HIT"} and rig.store.lines.empty()
    peer.listener.close()


def test_a_new_home_asks_the_earlier_one_for_what_it_holds_and_claims_the_object(rig: Rig) -> None:
    peer = Party()
    b = node("b", peer.address, "store")
    rig.shape(node("a", rig.at("a"), "store", weight=1e-5), b)
    rig.start()
    rig.reached(1)
    rig.shape(node("a", rig.at("a"), "store", weight=1e5), b)
    rig.reached(2)
    asker = rig.asker()
    asker.ask("q1")
    words = peer.answer("HIT", f"tag=held,minted={round(time.time() * 1000)}", b"held")
    assert told(words)["opts"] == "join+held" and "via" not in told(words)
    assert told(words)["claim"] == f"2@{rig.at('a')}"
    assert asker.answer()[3] == b"held"
    asker.ask("q2", name=f"{8:016x}")
    peer.answer("NONE", "detail=UP_MISS")
    rig.give()
    assert asker.answer()[1] == "HIT" and rig.store.lines.empty()


def test_who_stands_in_the_trail_is_told_of_the_loop(one: Rig) -> None:
    asker = one.asker()
    trail = Keyring([SigningKey("k1", SECRET)]).encode(
        FillPath(1, ("a", "b")), f"q1 video {7:016x} 0 ", time.time()
    )
    asker.ask("q1", hops=trail)
    word, fields = asker.answer()[1:3]
    use = dict(pair.split(":") for pair in fields.pop("use").split(";"))
    assert 0.0 <= float(use.pop("util")) <= 1.0  # of a core that others use too
    assert (word, fields, use) == ("NONE", {"detail": "LOOP"}, {"inflight": "0", "x0": "0.00", "x1": "0"})


def test_operators_take_a_node_out_and_put_it_back_and_empty_this_one(rig: Rig) -> None:
    peer = Party()
    rig.shape(node("a", rig.at("a"), "store"), node("b", peer.address, "store", weight=1e6))
    rig.start()
    rig.reached(1)
    asker = rig.asker()
    assert rig.call("/-/caches/b/disable") == (200, "out; left out now: b\n")
    assert rig.page()["left_out"] == ["b"]
    asker.ask("q1")
    rig.give()
    assert asker.answer()[1] == "HIT" and peer.lines.empty()
    assert rig.call("/-/caches/b/enable")[0] == 200
    asker.ask("q2", name=f"{8:016x}")
    peer.answer("HIT", f"tag=p,minted={round(time.time() * 1000)}", b"p")
    assert asker.answer()[3] == b"p"
    assert rig.call("/-/caches/nobody/disable")[0] == 404 and rig.call("/-/hierarchy")[0] == 405
    assert rig.call("/-/drain")[0] == 200 and rig.call("/-/ready", "GET")[0] == 503
    assert asker.file.read() == b""  # nothing is owed: closed
    assert rig.call("/-/resume")[0] == 200 and rig.call("/-/ready", "GET")[0] == 200
    peer.listener.close()


def test_keys_change_in_service_and_the_end_is_in_order(one: Rig) -> None:
    (one.folder / "new.key").write_bytes(b"another secret, much newer")
    old = 'hop_key { id: "k1" file: "hop.key" }'
    one.settings("a", **{old: f'{old}\n  hop_key {{ id: "k2" file: "new.key" since_unix: 1 }}'})
    one.processes["a"].send_signal(signal.SIGHUP)
    one.logged("event=reloaded")
    asker = one.asker()
    for id, key in (
        ("q1", SigningKey("k1", SECRET)),
        ("q2", SigningKey("k2", b"another secret, much newer")),
    ):
        trail = Keyring([key]).encode(FillPath(1, ("a",)), f"{id} video {7:016x} 0 ", time.time())
        asker.ask(id, hops=trail)
        assert asker.answer()[2]["detail"] == "LOOP"
    one.settings("a", listen="lisn")
    one.processes["a"].send_signal(signal.SIGHUP)
    assert "a.txtpb:4" in one.logged("reload_refused")
    asker.ask("open")
    until(lambda: one.page()["waiting"] == 1, "it waits")
    one.processes["a"].terminate()
    one.logged("event=shutdown_started")
    one.give()
    assert asker.answer()[1] == "HIT" and one.processes["a"].wait(timeout=WAIT) == 0
    one.logged("event=counters")


@pytest.mark.parametrize(
    ("old", "new", "said"),
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
def test_check_names_file_line_and_field(rig: Rig, old: str, new: str, said: str) -> None:
    path = rig.settings("a", **{old: new})

    def check(file: Path) -> tuple[int, str]:
        done = subprocess.run(
            [sys.executable, "-m", "paddlequay", "check", str(file)], cwd=ROOT, capture_output=True, text=True
        )
        return done.returncode, done.stdout + done.stderr

    code, text = check(path)
    if said or old == "tier {":
        assert code == 2 and said in text and str(path) in text and text.count("\n") == 1
    assert check(rig.settings("a")) == (0, f"{path}: tier a of aimag: can be used\n")
    assert check(rig.folder / "none")[0] == 2


@pytest.mark.parametrize("words", [["nonsense"], ["tier"], ["lab", "run"], ["lab", "up", "--rate", "x"]])
def test_bad_use_of_the_command_line_is_one_error_with_exit_2(words: list[str]) -> None:
    done = subprocess.run(
        [sys.executable, "-m", "paddlequay", *words], cwd=ROOT, capture_output=True, text=True
    )
    assert done.returncode == 2 and "Error" in done.stderr and "Traceback" not in done.stderr


def test_the_router_loads_none_of_what_it_does_not_use() -> None:
    code = (
        "import sys, paddlequay.__main__, paddlequay.programs.router; "
        "print([m for m in ('click', 'google', 'numpy', 'matplotlib', 'structlog', 'hdrh', 'paddlequay.lab', "
        "'paddlequay.cli', 'paddlequay.schema', 'paddlequay.hierarchy.node') if m in sys.modules])"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, env=os.environ
    )
    assert done.stdout == "[]\n"
