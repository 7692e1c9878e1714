"""Runs the router program with the endpoint list and DNS as member sources; the test serves both."""

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


class DnsZone:
    """A DNS server for tests, on an event loop of its own."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()
        self.server = DnsServer()
        asyncio.run_coroutine_threadsafe(self.server.start(), self.loop).result(5)

    def publish(self, ttl: int = 1, **at: Party | str) -> None:
        """Publish exactly these targets, given by name and listening address."""
        addresses = {name: (p.address if isinstance(p, Party) else p) for name, p in at.items()}
        for name, address in addresses.items():
            self.server.put(f"{name}.plaza.example.", "A", ttl, address.split(":")[0])
        data = [f"1 1 {address.split(':')[1]} {name}.plaza.example." for name, address in addresses.items()]
        self.server.put(SERVICE, "SRV", ttl, *data)

    def close(self) -> None:
        self.loop.call_soon_threadsafe(self.server.close)


class DiscoveryPlatform(Platform):
    """A router that follows the endpoint list and the DNS zone."""

    def __init__(self, zone: DnsZone, folder: Path, text: str) -> None:
        self.file = folder / "discovery.txtpb"
        host, port = zone.server.address
        self.watch_connections: list[Any] = []
        self.text = text.replace("SERVER", f"{host}:{port}")
        self.file.write_text(self.text)
        os.environ["PADDLEQUAY_DISCOVERY"] = str(self.file)
        try:
            super().__init__()
        finally:
            del os.environ["PADDLEQUAY_DISCOVERY"]

    def send_events(self, *events: Any) -> None:
        """Write events to all watch connections; the router replaces silent ones and reads only the last."""
        for _ in range(self.bulletin.accepted.qsize()):
            self.watch_connections.append(self.bulletin.accepted.get())
        for connection in self.watch_connections:
            for event in events:
                with contextlib.suppress(OSError):
                    connection.sendall(json.dumps(event).encode() + b"\n")

    def send_event_until(self, event: Any, name: str, state: str | None) -> None:
        """Send an event until a member has a state (None: until it is removed).

        An event that is written while the router reconnects is lost; a repeated event is ignored.
        """

        def known() -> bool:
            self.send_events(event)
            return self.states().get(name) == state

        until(known, f"{name} is {state}")

    def page(self) -> dict[str, Any]:
        page: dict[str, Any] = json.loads(self.call("/-/members", "GET")[1])
        return page

    def states(self) -> dict[str, str]:
        return {member["id"]: member["state"] for member in self.page()["members"]}


DISCOVERY_SETTINGS = """discovery {
  source { type: BULLETIN silent_s: 3600 }
  source { type: DNS silent_s: 2 keep_s: 3600 }
  server: "SERVER"
  service { name: "_box._tcp.plaza.example" kind: "box" zone: "here" }
}
"""


@pytest.fixture
def zone() -> Iterator[DnsZone]:
    made = DnsZone()
    yield made
    made.close()


@pytest.fixture
def start_platform(zone: DnsZone, tmp_path: Path) -> Iterator[Callable[..., DiscoveryPlatform]]:
    made: list[DiscoveryPlatform] = []

    def start(text: str = DISCOVERY_SETTINGS) -> DiscoveryPlatform:
        made.append(DiscoveryPlatform(zone, tmp_path, text))
        made[-1].ready()
        return made[-1]

    yield start
    for each in made:
        each.close()


def parties_asked(p: Platform, client: Client, parties: dict[str, Party], count: int = 24) -> set[str]:
    """The parties that receive at least one of `count` requests."""
    asked_parties = set()
    for number in range(count):
        call = time.time_ns() + number
        client.ask(call=f"{call:016x}", row=f"{call:016x}")

        def party_with_request() -> str:
            return next((name for name, party in parties.items() if not party.lines.empty()), "")

        name = until(party_with_request, "a party is asked")
        assert "via=box" not in parties[name].answer("HIT", "detail=HIT", b"x")[2]
        assert client.answer()[3][0] == b"x"
        asked_parties.add(name)
    return asked_parties


def test_dns_adds_a_member_and_a_member_drained_by_the_list_gets_no_requests(
    zone: DnsZone, start_platform: Callable[..., DiscoveryPlatform]
) -> None:
    extra = Party()
    p = start_platform()
    # DNS also publishes the box of the list under another name; by its address, it is the same member.
    zone.publish(host1=p.box, host2=extra)
    until(lambda: len(p.states()) == 4, "DNS's box is a member")
    assert p.states()["box-1"] == "ready" and "host2_plaza_example" in " ".join(p.states())
    client = p.client()
    parties = {"box": p.box, "extra": extra}
    assert parties_asked(p, client, parties) == {"box", "extra"}
    drained = p.entry("box-1", p.box, lifecycle="terminating")
    p.send_event_until({"no": 2, "roster": {"reset": False, "instances": [drained]}}, "box-1", "draining")
    assert parties_asked(p, client, parties) == {"extra"}
    assert p.states()["box-1"] == "draining"
    explanation = subprocess.run(
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
    assert "by drain: list drains box-1" in explanation.stdout and "dns (live): host1" in explanation.stdout
    extra.listener.close()


def test_a_removed_record_removes_its_member_but_an_empty_zone_or_an_outage_does_not(
    zone: DnsZone, start_platform: Callable[..., DiscoveryPlatform]
) -> None:
    extra, other = Party(), Party()
    p = start_platform()
    zone.publish(host2=extra, host3=other, host4="127.0.0.1:9", host5="127.0.0.1:10")
    until(lambda: len(p.states()) == 7, "DNS's boxes are members")
    zone.publish(host2=extra, host3=other, host4="127.0.0.1:9")
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


def test_a_request_in_flight_to_a_member_that_moves_is_retried_elsewhere_at_once(
    zone: DnsZone, start_platform: Callable[..., DiscoveryPlatform]
) -> None:
    old, new = Party(), Party()
    p = start_platform()
    until(lambda: not p.bulletin.accepted.empty(), "the bulletin is followed")
    ended = p.entry("box-1", p.box, lifecycle="terminated")
    p.send_event_until({"no": 2, "roster": {"reset": False, "instances": [ended]}}, "box-1", None)
    zone.publish(host2=old)
    port = old.address.split(":")[1]
    alone = {f"host2_plaza_example_{port}", "parent-1", "origin-1"}
    until(lambda: set(p.states()) == alone, "DNS's box is the only one")
    client = p.client()
    client.ask(call="00000000000000aa")
    old.line()
    zone.publish(host2=f"127.0.0.2:{port}")
    moved = [f"127.0.0.2:{port}"]
    until(lambda: [m["at"] for m in p.page()["members"] if "host2" in m["id"]] == moved, "it has moved")
    # The old address no longer answers: the request is retried elsewhere at once, not after its timeout.
    assert p.parent.line() or p.origin.line()
    new.listener.close()
    old.listener.close()


def test_sighup_replaces_sources_under_load_and_a_restart_restores_the_members(
    zone: DnsZone, start_platform: Callable[..., DiscoveryPlatform], tmp_path: Path
) -> None:
    extra = Party()
    text = DISCOVERY_SETTINGS.replace("}\n}", '}\n  source { type: KEPT keep_s: 3600 }\n  folder: "."\n}')
    p = start_platform(text)
    zone.publish(host2=extra)
    until(lambda: len(p.states()) == 4, "DNS's box is a member")
    client = p.client()
    assert parties_asked(p, client, {"box": p.box, "extra": extra}) == {"box", "extra"}
    call_ids = {f"{number:016x}" for number in range(0xA00, 0xA0A)}
    for call in call_ids:
        client.ask(call=call, row=call)
    until(lambda: p.box.lines.qsize() + extra.lines.qsize() == 10, "ten requests are out")
    p.file.write_text("discovery { source { type: BULLETIN } }")
    p.process.send_signal(signal.SIGHUP)
    until(lambda: len(p.states()) == 3, "DNS's box is none any more")
    served = 0
    while served < 10:  # requests in flight to the box that only DNS named are retried at the other box
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
    assert extra.lines.qsize() == asked  # the box that only DNS named gets no new request
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
    ("replaced", "replacement", "expected"),
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
def test_settings_of_sources_are_checked(
    tmp_path: Path, replaced: str, replacement: str, expected: str
) -> None:
    path = tmp_path / "d.txtpb"
    path.write_text(DISCOVERY_SETTINGS.replace(replaced, replacement).replace("SERVER", "127.0.0.1:53"))
    done = subprocess.run(
        [sys.executable, "-m", "paddlequay", "check", str(path)], cwd=ROOT, capture_output=True, text=True
    )
    text = done.stdout + done.stderr
    assert (
        expected in text and text.count("\n") == 1 and done.returncode == (0 if "can be" in expected else 2)
    )


def test_resolve_prints_the_members_that_the_router_would_use(zone: DnsZone) -> None:
    zone.publish(60, host1="127.0.0.1:9")
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
