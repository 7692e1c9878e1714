"""The real tier as a process, between boxes, other nodes, a store and a feed that the test plays."""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
import urllib.error
import urllib.request
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from harness import ROOT, WAIT, Party, told, until

from paddlequay.hierarchy.trail import Key, Keyring, Trail
from paddlequay.store.record import RecordError, decode, encode

SECRET = b"a secret of all the nodes"


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as free:
        return int(free.getsockname()[1])


def node(name: str, at: str, *parents: str, **also: Any) -> dict[str, Any]:
    group = (
        {"group": "stores", "store": True} if not parents else {"group": "aimag", "parents": list(parents)}
    )
    return {"id": name, "at": at} | group | also


class Feed(Party):
    """Writes lines to every node that follows it."""

    def __init__(self) -> None:
        super().__init__()
        self.events: list[dict[str, Any]] = []
        self.followers: list[socket.socket] = []
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self) -> None:
        while True:
            connection, words = self.lines.get()
            with contextlib.suppress(OSError, IndexError):
                self.followers.append(connection)
                for event in self.events[int(words[1]) :]:
                    connection.sendall(json.dumps(event).encode() + b"\n")
                self.raw(json.dumps({"no": len(self.events)}).encode() + b"\n", connection)

    def raw(self, data: bytes, *to: socket.socket) -> None:
        for connection in to or list(self.followers):
            with contextlib.suppress(OSError):
                connection.sendall(data)

    def away(self) -> None:
        """Nobody reaches it any more."""
        self.listener.shutdown(socket.SHUT_RDWR)  # a close alone would not end the accept under way
        self.listener.close()
        for connection in self.followers:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def tell(self, **event: Any) -> None:
        self.events.append({"no": len(self.events) + 1} | event)
        self.raw(json.dumps(self.events[-1]).encode() + b"\n")


class Asker:
    """A box, a router or another node: one connection to a tier."""

    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection(("127.0.0.1", port), timeout=WAIT)
        self.file = self.socket.makefile("rb")

    def ask(self, id: str, name: str = f"{7:016x}", **fields: str) -> None:
        all_ = {"queue": "video", "path": name, "blk": "0", "budget": "3000", "via": "store"} | fields
        text = ",".join(f"{key}={value}" for key, value in all_.items() if value)
        self.socket.sendall(f"ASK {id} {text} 0\r\n\r\n".encode())

    def answer(self) -> tuple[str, str, dict[str, str], bytes]:
        words = self.file.readline().decode().split()
        body = self.file.read(int(words[3]) + 2)[:-2]
        return words[0], words[1], dict(pair.split("=") for pair in words[2].split(",")), body


class Rig:
    """One tier with a store and a feed; further nodes are `Party`s or tiers of their own."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.feed, self.store = Feed(), Party()
        (folder / "hop.key").write_bytes(SECRET)
        self.ports: dict[str, tuple[int, int]] = {}
        self.processes: dict[str, subprocess.Popen[str]] = {}
        self.log: list[str] = []

    def settings(self, name: str, **replaced: str) -> Path:
        port, console = self.ports.setdefault(name, (free_port(), free_port()))
        text = f"""tier {{
  name: "{name}"
  group: "aimag"
  listen: "127.0.0.1:{port}"
  console: "127.0.0.1:{console}"
  feed: "{self.feed.address}"
  folder: "."
  class {{ name: "video" aim_s: 0.6 deadline_s: 3 }}
  hop_key {{ id: "k1" file: "hop.key" }}
}}
"""
        for old, new in replaced.items():
            text = text.replace(old, new)
        path = self.folder / f"{name}.txtpb"
        path.write_text(text)
        return path

    def start(self, name: str = "a") -> None:
        path = self.settings(name)
        process = subprocess.Popen(
            [sys.executable, "-m", "paddlequay", "tier", str(path)],
            cwd=ROOT,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.processes[name] = process
        assert process.stderr is not None
        threading.Thread(
            target=self.log.extend, args=(iter(process.stderr.readline, ""),), daemon=True
        ).start()
        until(lambda: self.call("/-/ready", "GET", name)[0] in (200, 503), "the console answers")

    def call(self, path: str, method: str = "POST", name: str = "a") -> tuple[int, str]:
        request = urllib.request.Request(f"http://127.0.0.1:{self.ports[name][1]}{path}", method=method)
        try:
            with urllib.request.urlopen(request, timeout=WAIT) as answer:
                return answer.status, answer.read().decode()
        except urllib.error.HTTPError as error:
            return error.code, error.read().decode()
        except OSError:
            return 0, ""

    def page(self, name: str = "a") -> dict[str, Any]:
        text = self.call("/-/hierarchy", "GET", name)[1]
        found: dict[str, Any] = json.loads(text) if text else {"version": 0}
        return found

    def at(self, name: str) -> str:
        return f"127.0.0.1:{self.ports.setdefault(name, (free_port(), free_port()))[0]}"

    def shape(self, *nodes: dict[str, Any]) -> None:
        """A whole shape, told to whoever follows."""
        version = 1 + sum("shape" in event for event in self.feed.events)
        put = [node("store", self.store.address), *nodes]
        self.feed.tell(shape={"version": version, "put": put})

    def reached(self, version: int, *names: str) -> None:
        def all_have() -> bool:
            return all(self.page(name)["version"] == version for name in names or ("a",))

        until(all_have, f"version {version} everywhere")

    def give(self, tag: str = "t", minted: float | None = None, word: str = "HIT", **also: str) -> list[str]:
        """The store's next answer."""
        stamp = {"tag": tag, "minted": str(round((minted or time.time()) * 1000))} | also
        text = ",".join(f"{key}={value}" for key, value in stamp.items())
        return self.store.answer(word, text, tag.encode())

    def asker(self, name: str = "a") -> Asker:
        return Asker(self.ports[name][0])

    def logged(self, text: str) -> str:
        found: str = until(lambda: next((line for line in list(self.log) if text in line), None), text)
        return found

    def close(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait(timeout=WAIT)
        for party in (self.feed, self.store):
            party.listener.close()


@pytest.fixture
def rig(tmp_path: Path) -> Iterator[Rig]:
    made = Rig(tmp_path)
    try:
        yield made
    finally:
        made.close()


@pytest.fixture
def one(rig: Rig) -> Rig:
    """A tier alone under the store, ready."""
    rig.shape(node("a", rig.at("a"), "store"))
    rig.start()
    until(lambda: rig.call("/-/ready", "GET")[0] == 200, "the tier is ready")
    return rig


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
    trail = Keyring([Key("k1", SECRET)]).read(
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
    trail = Keyring([Key("k1", SECRET)]).write(Trail(1, ("a", "b")), f"q1 video {7:016x} 0 ", time.time())
    asker.ask("q1", hops=trail)
    assert asker.answer()[1:3] == ("NONE", {"detail": "LOOP", "use": "inflight:0;util:0.00;x0:0.00;x1:0"})


def test_a_feed_may_break_go_back_and_bring_what_cannot_be_used(one: Rig) -> None:
    loop = [node("a", one.at("a"), "b"), node("b", one.at("b"), "a")]
    one.shape(*loop)
    assert "a cycle" in one.logged("shape_refused")
    assert one.page()["version"] == 1
    followers = len(one.feed.followers)
    one.feed.raw(b'{"no": 3, "shape": {"ver')
    for connection in list(one.feed.followers):
        connection.shutdown(socket.SHUT_RDWR)
    until(lambda: len(one.feed.followers) > followers, "the feed is asked again")
    one.feed.raw(b"garbage\n")
    until(lambda: len(one.feed.followers) > followers + 1, "and again")
    one.feed.events = [{"no": 1, "shape": {"version": 9, "put": one.feed.events[0]["shape"]["put"]}}]
    one.feed.raw(b'{"no": 1}\n')
    one.reached(9)
    one.feed.tell(shape={"version": 12, "base": 11, "drop": ["b"]})
    one.logged("shape_held")
    asker = one.asker()
    asker.ask("q")
    one.give()
    assert asker.answer()[1] == "HIT"


def test_a_feed_that_falls_silent_while_open_is_asked_again(one: Rig) -> None:
    followers = len(one.feed.followers)
    until(lambda: len(one.feed.followers) > followers, "no heartbeat comes: asked again")
    one.shape(node("a", one.at("a"), "store"))
    one.reached(2)


@pytest.mark.parametrize("spoil", ["", "torn", "altered", "kind", "form"])
def test_a_restart_without_a_feed_begins_with_the_shape_that_was_kept(one: Rig, spoil: str) -> None:
    one.shape(node("a", one.at("a"), "store"), node("b", one.at("b"), "store"))
    one.reached(2)
    kept = one.folder / "shape-a"
    until(lambda: kept.exists() and b'"version":2' in kept.read_bytes(), "the shape is kept")
    one.processes["a"].kill()
    one.processes["a"].wait()
    data = kept.read_bytes()
    body = decode(data, "shape", 1)
    kept.write_bytes(
        {
            "": data,
            "torn": data[:-5],
            "altered": data.replace(b"aimag", b"gaima"),
            "kind": encode("other", 1, body),
            "form": encode("shape", 2, body),
        }[spoil]
    )
    one.feed.away()
    one.start()
    if spoil:
        one.logged("shape_unreadable")
        assert one.page()["version"] == 0 and one.call("/-/ready", "GET")[0] == 503
    else:
        one.logged("shape_from_file")
        assert one.page()["version"] == 2 and one.page()["moves"]
        asker = one.asker()
        asker.ask("q")
        one.give()
        assert asker.answer()[1] == "HIT"


def test_a_feed_set_up_anew_holds_against_the_shape_that_was_kept(one: Rig) -> None:
    for _ in range(3):
        one.shape(node("a", one.at("a"), "store"), node("gone", one.at("gone"), "store"))
    one.reached(4)
    until(lambda: b'"version":4' in (one.folder / "shape-a").read_bytes(), "the shape is kept")
    one.processes["a"].kill()
    one.processes["a"].wait()
    one.feed.away()
    one.feed = Feed()
    one.shape(node("a", one.at("a"), "store"))
    one.start()
    one.logged("shape_replaced had=4 now=1")
    assert list(one.page()["home_shares"]) == ["a"]


@pytest.mark.parametrize("data", [b"", b"paddlequay shape 1 3", encode("shape", 1, b"abc") + b"d"])
def test_a_record_that_is_not_whole_is_told_from_a_whole_one(data: bytes) -> None:
    assert decode(encode("shape", 1, b"abc"), "shape", 1) == b"abc"
    with pytest.raises(RecordError):
        decode(data, "shape", 1)


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
    for id, key in (("q1", Key("k1", SECRET)), ("q2", Key("k2", b"another secret, much newer"))):
        trail = Keyring([key]).write(Trail(1, ("a",)), f"{id} video {7:016x} 0 ", time.time())
        asker.ask(id, hops=trail)
        assert asker.answer()[2]["detail"] == "LOOP"
    one.settings("a", listen="lisn")
    one.processes["a"].send_signal(signal.SIGHUP)
    assert "a.txtpb:4" in one.logged("reload_refused")
    asker.ask("open")
    until(lambda: one.page()["waiting"] == 1, "it waits")
    one.processes["a"].terminate()
    one.logged("event=ending")
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
        "import sys, paddlequay.__main__, paddlequay.program; "
        "print([m for m in ('click', 'google', 'numpy', 'matplotlib', 'structlog', 'hdrh', 'paddlequay.lab', "
        "'paddlequay.cli', 'paddlequay.schema', 'paddlequay.hierarchy.node') if m in sys.modules])"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, env=os.environ
    )
    assert done.stdout == "[]\n"
