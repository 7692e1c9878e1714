"""The real router with the box list and DNS as its sources, played by the test."""

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from harness import ROOT, Client, Party, Platform, until

from paddlequay.lab.dns import DnsServer

SERVICE = "_box._tcp.plaza.example."


class Zone:
    """The DNS stand-in on a loop of its own."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()
        self.server = DnsServer()
        asyncio.run_coroutine_threadsafe(self.server.start(), self.loop).result(5)

    def boxes(self, ttl: int = 1, **at: Party | str) -> None:
        """Publish exactly these targets: name and where it listens."""
        places = {name: (p.address if isinstance(p, Party) else p) for name, p in at.items()}
        for name, place in places.items():
            self.server.put(f"{name}.plaza.example.", "A", ttl, place.split(":")[0])
        data = [f"1 1 {place.split(':')[1]} {name}.plaza.example." for name, place in places.items()]
        self.server.put(SERVICE, "SRV", ttl, *data)

    def close(self) -> None:
        self.loop.call_soon_threadsafe(self.server.close)


class Both(Platform):
    """A router that follows the bulletin and the zone."""

    def __init__(self, zone: Zone, folder: Path, text: str) -> None:
        self.file = folder / "discovery.txtpb"
        host, port = zone.server.address
        self.followers: list[Any] = []
        self.text = text.replace("SERVER", f"{host}:{port}")
        self.file.write_text(self.text)
        os.environ["PADDLEQUAY_DISCOVERY"] = str(self.file)
        try:
            super().__init__()
        finally:
            del os.environ["PADDLEQUAY_DISCOVERY"]

    def tell(self, *events: Any) -> None:
        """Write to each connection to the bulletin: silent ones are made anew, and only the last one is
        read."""
        for _ in range(self.bulletin.accepted.qsize()):
            self.followers.append(self.bulletin.accepted.get())
        for connection in self.followers:
            for event in events:
                with contextlib.suppress(OSError):
                    connection.sendall(json.dumps(event).encode() + b"\n")

    def tell_until(self, event: Any, name: str, state: str | None) -> None:
        """Tell an event until a member is so (None: gone): written just as the router connects anew it is
        lost, and a repeat is no news."""

        def known() -> bool:
            self.tell(event)
            return self.states().get(name) == state

        until(known, f"{name} is {state}")

    def page(self) -> dict[str, Any]:
        found: dict[str, Any] = json.loads(self.call("/-/members", "GET")[1])
        return found

    def states(self) -> dict[str, str]:
        return {member["id"]: member["state"] for member in self.page()["members"]}


TEXT = """discovery {
  source { type: BULLETIN silent_s: 3600 }
  source { type: DNS silent_s: 2 keep_s: 3600 }
  server: "SERVER"
  service { name: "_box._tcp.plaza.example" kind: "box" zone: "here" }
}
"""


@pytest.fixture
def zone() -> Iterator[Zone]:
    made = Zone()
    yield made
    made.close()


@pytest.fixture
def start(zone: Zone, tmp_path: Path) -> Iterator[Callable[..., Both]]:
    made: list[Both] = []

    def begin(text: str = TEXT) -> Both:
        made.append(Both(zone, tmp_path, text))
        made[-1].ready()
        return made[-1]

    yield begin
    for each in made:
        each.close()


def asked_at(p: Platform, client: Client, parties: dict[str, Party], count: int = 24) -> set[str]:
    """At which parties so many objects are asked for."""
    found = set()
    for number in range(count):
        call = time.time_ns() + number
        client.ask(call=f"{call:016x}", row=f"{call:016x}")

        def somewhere() -> str:
            return next((name for name, party in parties.items() if not party.lines.empty()), "")

        name = until(somewhere, "somebody is asked")
        assert "via=box" not in parties[name].answer("HIT", "detail=HIT", b"x")[2]
        assert client.answer()[3][0] == b"x"
        found.add(name)
    return found


def test_dns_adds_members_and_a_drained_one_gets_nothing_though_dns_lists_it(
    zone: Zone, start: Callable[..., Both]
) -> None:
    extra = Party()
    p = start()
    # The list's box is published too, under DNS's own name: one box, by its address.
    zone.boxes(host1=p.box, host2=extra)
    until(lambda: len(p.states()) == 4, "DNS's box is a member")
    assert p.states()["box-1"] == "ready" and "host2_plaza_example" in " ".join(p.states())
    client = p.client()
    parties = {"box": p.box, "extra": extra}
    assert asked_at(p, client, parties) == {"box", "extra"}
    drained = p.entry("box-1", p.box, lifecycle="terminating")
    p.tell_until({"no": 2, "roster": {"reset": False, "instances": [drained]}}, "box-1", "draining")
    assert asked_at(p, client, parties) == {"extra"}
    assert p.states()["box-1"] == "draining"
    said = subprocess.run(
        [
            sys.executable,
            "-m",
            "paddlequay",
            "discovery",
            "explain",
            "box-1",
            "--console",
            "{}:{}".format(*p.console),
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert "by drain: list drains box-1" in said.stdout and "dns (live): host1" in said.stdout
    extra.listener.close()


def test_a_removed_record_leaves_and_an_empty_zone_or_an_outage_changes_nothing(
    zone: Zone, start: Callable[..., Both]
) -> None:
    extra, other = Party(), Party()
    p = start()
    zone.boxes(host2=extra, host3=other, host4="127.0.0.1:9", host5="127.0.0.1:10")
    until(lambda: len(p.states()) == 7, "DNS's boxes are members")
    zone.boxes(host2=extra, host3=other, host4="127.0.0.1:9")
    until(lambda: len(p.states()) == 6, "one leaves at its lifetime")
    zone.server.negative_ttl = 1
    zone.server.fault = "empty"
    until(lambda: p.page()["sources"]["dns"]["left_out"] == 3, "all are left out")
    assert len(p.states()) == 6
    zone.server.fault = "servfail"
    until(lambda: not p.page()["sources"]["dns"]["live"], "DNS is silent")
    zone.server.fault = ""
    until(lambda: p.page()["sources"]["dns"]["live"], "DNS is back")
    assert len(p.states()) == 6
    for party in (extra, other):
        party.listener.close()


def test_a_member_that_moves_with_requests_in_flight_is_used_at_its_new_address(
    zone: Zone, start: Callable[..., Both]
) -> None:
    old, new = Party(), Party()
    p = start()
    until(lambda: not p.bulletin.accepted.empty(), "the bulletin is followed")
    ended = p.entry("box-1", p.box, lifecycle="terminated")
    p.tell_until({"no": 2, "roster": {"reset": False, "instances": [ended]}}, "box-1", None)
    zone.boxes(host2=old)
    port = old.address.split(":")[1]
    alone = {f"host2_plaza_example_{port}", "parent-1", "origin-1"}
    until(lambda: set(p.states()) == alone, "DNS's box is the only one")
    client = p.client()
    client.ask(call="00000000000000aa")
    old.line()
    zone.boxes(host2=f"127.0.0.2:{port}")
    moved = [f"127.0.0.2:{port}"]
    until(lambda: [m["at"] for m in p.page()["members"] if "host2" in m["id"]] == moved, "it has moved")
    # The old address answers no more; the request goes elsewhere at once rather than at its time-out.
    assert p.parent.line() or p.origin.line()
    new.listener.close()
    old.listener.close()


def test_sources_are_swapped_by_sighup_under_load_and_the_last_members_are_kept(
    zone: Zone, start: Callable[..., Both], tmp_path: Path
) -> None:
    extra = Party()
    kept = TEXT.replace("}\n}", '}\n  source { type: KEPT keep_s: 3600 }\n  folder: "."\n}')
    p = start(kept)
    zone.boxes(host2=extra)
    until(lambda: len(p.states()) == 4, "DNS's box is a member")
    client = p.client()
    assert asked_at(p, client, {"box": p.box, "extra": extra}) == {"box", "extra"}
    open_ = {f"{number:016x}" for number in range(0xA00, 0xA0A)}
    for call in open_:
        client.ask(call=call, row=call)
    until(lambda: p.box.lines.qsize() + extra.lines.qsize() == 10, "ten requests are out")
    p.file.write_text("discovery { source { type: BULLETIN } }")
    p.process.send_signal(signal.SIGHUP)
    until(lambda: len(p.states()) == 3, "DNS's box is none any more")
    served = 0
    while served < 10:  # those that were out where DNS's box stood are asked for again at the other one
        until(lambda: client.answered() or not p.box.lines.empty(), "an answer, or a cache is asked")
        if client.answered():
            assert client.answer()[2] is None
            served += 1
        else:
            connection, words = p.box.line()
            if words[0] == "ASK":
                connection.sendall(f"{words[1]} HIT detail=HIT 1\r\nx\r\n".encode())
    asked = extra.lines.qsize()
    client.ask(call="00000000000000bb", row="00000000000000bb")
    until(lambda: client.answered() or not p.box.lines.empty(), "an answer, or the other cache is asked")
    assert extra.lines.qsize() == asked  # DNS's box gets nothing new
    p.file.write_text("discovery { source { type: DNS } }")
    p.process.send_signal(signal.SIGHUP)
    assert "discovery.service" in p.logged("reload_refused")
    p.file.write_text(p.text)
    p.process.send_signal(signal.SIGHUP)
    until(lambda: len(p.states()) == 4, "DNS's box is back")
    saved = tmp_path / "members-n0"
    until(lambda: saved.exists() and b"host2" in saved.read_bytes(), "members are kept")
    p.process.kill()
    zone.server.fault = "silent"
    os.environ["PADDLEQUAY_DISCOVERY"] = str(p.file)
    try:
        p.start()
    finally:
        del os.environ["PADDLEQUAY_DISCOVERY"]
    p.ready()
    assert len(p.states()) == 4
    assert "kept" in {member["rule"] for member in p.page()["members"]}
    extra.listener.close()


@pytest.mark.parametrize(
    ("old", "new", "said"),
    [
        ("SERVER", "nowhere", ":4: discovery.server: expected host:port"),
        ('kind: "box"', "", "discovery.service[0].kind: is missing"),
        ("_box._tcp.plaza.example", "a..b", ":5: discovery.service[0].name: invalid DNS name"),
        ("type: BULLETIN", "type: DNS", "this type of source is listed more than once"),
        ("silent_s: 2", "silent_s: -2", "discovery.source[1].silent_s: expected a number above 0, got -2"),
        ('zone: "here"', 'naming: "("', "discovery.service[0].naming:"),
        (
            'zone: "here"',
            'naming: "(?P<x>a)"',
            "expected at most 200 characters, and only groups named zone, cell, kind",
        ),
        ("type: DNS", "type: DNS only_drains: true", "can be used"),
        ("type: BULLETIN", "type: NOTHING", ":2:"),
    ],
)
def test_settings_of_sources_are_checked(tmp_path: Path, old: str, new: str, said: str) -> None:
    path = tmp_path / "d.txtpb"
    path.write_text(TEXT.replace(old, new).replace("SERVER", "127.0.0.1:53"))
    done = subprocess.run(
        [sys.executable, "-m", "paddlequay", "check", str(path)], cwd=ROOT, capture_output=True, text=True
    )
    text = done.stdout + done.stderr
    assert said in text and text.count("\n") == 1 and done.returncode == (0 if "can be" in said else 2)


def test_resolve_prints_the_members_that_the_router_would_use(zone: Zone) -> None:
    zone.boxes(60, host1="127.0.0.1:9")
    words = [sys.executable, "-m", "paddlequay", "discovery", "resolve", SERVICE]
    at = "{}:{}".format(*zone.server.address)
    done = subprocess.run([*words, "--server", at], cwd=ROOT, capture_output=True, text=True)
    assert done.returncode == 0 and "host1_plaza_example_9 127.0.0.1:9 weight 1" in done.stdout
    zone.server.fault = "nxdomain"
    done = subprocess.run([*words, "--server", at], cwd=ROOT, capture_output=True, text=True)
    assert done.returncode == 1 and "SRV" in done.stdout
    with contextlib.suppress(subprocess.TimeoutExpired):
        done = subprocess.run([*words, "--server", "x"], cwd=ROOT, capture_output=True, text=True)
        assert done.returncode == 2 and "expected host:port" in done.stderr
