"""Operator overrides on the real program: drains, resumes and manual ejections."""

import json
import socket
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from harness import WAIT, Client, Party, Platform, platform, told, until

from paddlequay.protocol.msgpack import pack


@pytest.fixture
def p() -> Iterator[Platform]:
    with platform() as running:
        yield running


def reports_ready(client: Client) -> bool:
    client.number += 1
    client.socket.sendall(pack([0, client.number, "alive", [{}]]))
    answer = client.answer()
    return answer is not None and answer[3] is not None and answer[3][0] is True


def test_a_drain_serves_late_connections_closes_all_in_time_and_can_be_resumed(p: Platform) -> None:
    idle, busy, stuck = p.client(), p.client(), p.client()
    assert reports_ready(idle) and reports_ready(busy) and reports_ready(stuck)
    began = time.monotonic()
    assert p.call("/-/drain")[0] == 200 and p.call("/-/drain")[0] == 200
    assert p.call("/-/ready", "GET")[0] == 503
    late = p.client()
    assert not reports_ready(late)
    late.ask(call="00000000000000aa", row="00000000000000aa")
    p.box.answer("HIT", "-", b"x")
    assert late.answer()[3][0] == b"x"
    busy.ask("charge", call="00000000000000bb", ttl="1200")
    origin, words = p.origin.line()
    stuck.ask("charge", call="00000000000000cc", ttl="2095")
    p.origin.line()
    assert idle.answer() is None and late.answer() is None  # closed while they were idle
    origin.sendall(f"{words[1]} HIT - 1\r\ny\r\n".encode())
    assert busy.answer()[3][0] == b"y" and busy.answer() is None
    time.sleep(max(0.0, began + 1.6 - time.monotonic()))  # a time within the drain
    stuck.ask("charge", call="00000000000000c1", ttl="2000")
    p.origin.line()
    assert stuck.answer()[2][0] == "Aborted"  # its deadline has passed; it may have run
    time.sleep(max(0.0, began + 2.7 - time.monotonic()))
    stuck.ask("charge", call="00000000000000c2")
    assert stuck.answer()[1:3] == [4, ["TryLater", {"pushback": "200"}]]
    # The request in flight is abandoned in time. It may have run, so it must not be rejected with TryLater.
    assert stuck.answer()[1:3] == [3, ["Aborted", {}]] and stuck.answer() is None
    assert time.monotonic() - began < 3.8 and p.process.poll() is None
    assert not reports_ready(p.client())
    assert p.call("/-/resume")[0] == 200 and p.call("/-/resume")[0] == 200
    client = p.client()
    assert reports_ready(client) and p.call("/-/ready", "GET")[0] == 200
    client.ask(call="00000000000000dd")
    p.box.answer("HIT", "-", b"z")
    assert client.answer()[3][0] == b"z"


def test_resume_during_a_drain_keeps_the_remaining_connections(p: Platform) -> None:
    client = p.client()
    assert reports_ready(client)
    client.ask("charge")
    origin, words = p.origin.line()
    assert p.call("/-/drain")[0] == 200
    idle = p.client()
    assert not reports_ready(idle) and idle.answer() is None  # connections are now being closed
    assert p.call("/-/resume")[0] == 200
    origin.sendall(f"{words[1]} HIT - 1\r\ny\r\n".encode())
    assert client.answer()[3][0] == b"y" and reports_ready(client)


def test_a_drain_applies_to_predecessor_and_successor(p: Platform) -> None:
    client = p.client()
    assert reports_ready(client)
    p.start()
    p.logged("event=successor_connected")
    assert p.call("/-/drain")[0] == 200  # sent to the newer process, which does not listen for clients yet
    assert not reports_ready(client)
    p.logged("event=successor_ready")
    assert not reports_ready(p.client()) and p.call("/-/ready", "GET")[0] == 503


def publish_second_box(p: Platform) -> socket.socket:
    """Publishes a second cache at the parent's address; returns the bulletin's connection."""
    bulletin = p.publish(
        {"no": 2, "roster": {"reset": False, "instances": [p.entry("box-2", p.parent)]}},
        {"no": 3, "recall": {"lot": 1, "issued": 1}},
    )
    until(lambda: p.counted("purges") == 1, "the second cache is listed")
    return bulletin


def count_at_first_box(p: Platform, client: Client, start: int) -> int:
    """Requests 24 objects; returns how many are asked for at the first cache; the other serves the rest."""
    count = 0
    for number in range(start, start + 24):
        client.ask(call=f"{number:016x}", row=f"{number:016x}")
        asked = until(lambda: not p.box.lines.empty() or not p.parent.lines.empty(), "a cache is asked")
        party = p.parent if p.box.lines.empty() else p.box
        assert asked and "via=box-1" not in party.answer("HIT", "detail=HIT", b"x")[2]
        assert client.answer()[3][0] == b"x"
        count += party is p.box
    return count


def test_a_manually_ejected_cache_gets_nothing_until_it_is_restored(p: Platform) -> None:
    client = p.client()
    bulletin = publish_second_box(p)
    assert 0 < count_at_first_box(p, client, 100) < 24
    assert p.call("/-/caches/nosuch/disable")[0] == 404 and p.call("/-/caches/nosuch/enable")[0] == 404
    assert p.call("/-/caches/box-1/enable") == (200, "back; left out now: none\n")
    assert p.call("/-/caches/box-1/disable") == (200, "out; left out now: box-1\n")
    assert p.call("/-/caches/box-1/disable")[0] == 200
    assert count_at_first_box(p, client, 200) == 0
    moved = Party()  # a new instance at a new address, in a complete list
    later = p.entry("box-1", moved, startedAtMs=int(time.time() * 1000) - 60_000)
    whole = [later, p.entry("box-2", p.parent), *p.roster[1:]]
    for event in (
        {"no": 4, "roster": {"reset": True, "instances": whole}},
        {"no": 5, "recall": {"lot": 1, "issued": 1}},
    ):
        bulletin.sendall(json.dumps(event).encode() + b"\n")
    until(lambda: p.counted("purges") == 2, "the complete list is applied")
    assert count_at_first_box(p, client, 300) == 0 and moved.accepted.empty()
    assert p.call("/-/caches/box-1/enable")[0] == 200
    p.box = moved
    assert count_at_first_box(p, client, 400) > 0


def test_manual_ejections_outlive_the_process_and_apply_to_its_successor(p: Platform) -> None:
    client = p.client()
    publish_second_box(p)
    assert p.call("/-/caches/box-1/disable")[0] == 200
    older, console = p.process, p.console
    p.start()
    p.logged("event=successor_connected")
    # An override sent to either process applies to both: the older one still serves this client.
    assert p.call("/-/caches/box-1/enable")[0] == 200
    assert count_at_first_box(p, client, 500) > 0
    calls = (("box-1", console), ("parent-1", p.console))
    paths = [(f"/-/caches/{cache}/disable", "POST", at) for cache, at in calls]
    both = [threading.Thread(target=p.call, args=args) for args in paths]
    for thread in both:
        thread.start()
    for thread in both:
        thread.join()
    assert count_at_first_box(p, client, 600) == 0
    p.ready()
    older.kill()
    p.process.kill()
    p.start()
    p.ready()
    # box-2 is not in the endpoint list of this process: it was published later.
    assert p.call("/-/caches/box-2/enable")[0] == 404
    assert p.call("/-/caches/parent-1/disable") == (200, "out; left out now: box-1, parent-1\n")
    late = p.client()
    late.ask(call="00000000000000aa")
    assert "via" not in told(p.origin.answer("HIT", "-", b"x")) and late.answer()[3][0] == b"x"


def test_unreadable_manual_ejections_are_logged_once_and_ignored(p: Platform) -> None:
    p.ready()
    assert p.call("/-/caches/box-1/disable")[0] == 200
    (saved,) = Path(p.folder.name).glob("*.json")
    saved.write_text("{")
    p.process.kill()
    p.process.wait(timeout=WAIT)
    p.start()
    p.ready()
    assert sum("event=overrides_unreadable" in line for line in p.log) == 1
    assert p.call("/-/caches/box-1/enable")[1] == "back; left out now: none\n"


def test_a_manual_ejection_that_cannot_be_saved_is_an_error(p: Platform) -> None:
    p.ready()
    p.folder.cleanup()
    status, why = p.call("/-/caches/box-1/disable")
    assert status == 503 and "not saved" in why
