"""A new process at the address of one that has gone: what was kept for the old one is not the new one's."""

import contextlib
import json
import socket
import time
from collections.abc import Iterator
from typing import Any

import pytest
from harness import WAIT, Client, Platform, platform, told, until

ROW = f"{7:016x}"
LATER_MS = 1000 * 60


@pytest.fixture(name="p")
def platform_fixture() -> Iterator[Platform]:
    with platform() as p:
        yield p


def ask(client: Client, number: int, method: str = "video") -> None:
    client.ask(method, b"", call=f"{number:016x}", row=f"{number:016x}")


def replace(p: Platform, old: str, new: str, number: int, **also: Any) -> list[dict[str, Any]]:
    """Returns the events by which a member has gone and another one has its address."""
    entry = next(each for each in p.roster if each["instanceId"] == old)
    gone = {"instanceId": old, "lifecycle": "terminated"}
    added = entry | {"instanceId": new} | also
    return [
        {"no": number, "roster": {"reset": False, "instances": [gone, added]}},
        {"no": number + 1, "recall": {"lot": 1, "issued": 1}},
    ]


def apply(p: Platform, *events: dict[str, Any]) -> socket.socket:
    """Publishes events of which the last one is a purge, and waits until they are applied."""
    connection = p.publish(*events)
    until(lambda: p.counted("purges") == 1, "the list is applied")
    return connection


def test_a_new_cache_gets_connections_of_its_own_and_no_answer_of_the_old_one(p: Platform) -> None:
    # Guards against: a request written to the process that has gone, or answered by its late answer.
    client = p.client()
    ask(client, 1)
    old, _ = p.box.line()
    apply(p, *replace(p, "box-1", "box-2", 2))
    ask(client, 2)
    asked: dict[str, socket.socket] = {}  # the first one is given up at the old process and sent again
    while f"{2:016x}" not in asked:
        connection, words = p.box.line()
        if words[0] == "ASK":
            assert connection is not old
            asked[words[1]] = connection
    for id in asked:
        with contextlib.suppress(OSError):  # the router may have closed it
            old.sendall(f"{id} HIT - 5\r\nwrong\r\n".encode())
    time.sleep(0.1)
    for id, connection in asked.items():
        connection.sendall(f"{id} HIT - 5\r\nright\r\n".encode())
    assert {client.answer()[3][0] for _ in asked} == {b"right"}


def test_a_new_parent_is_named_as_source_under_its_own_id(p: Platform) -> None:
    # Guards against: a fill by way of a parent that has gone, whose address another one has.
    client = p.client()
    apply(p, *replace(p, "parent-1", "parent-2", 2))
    for number in range(2, 12):
        ask(client, number)
        assert told(p.box.answer("HIT", "-", b"x"))["via"] != "parent-1"
        assert client.answer()[3][0] == b"x"


def test_an_ejection_holds_for_the_id_and_not_for_the_address(p: Platform) -> None:
    # Guards against: a new cache left out because operators have ejected the one before it at its address.
    p.ready()
    assert p.call("/-/caches/box-1/disable")[0] == 200
    apply(p, *replace(p, "box-1", "box-2", 2))
    client = p.client()
    ask(client, 1)
    assert p.box.answer("HIT", "-", b"x")[1] == f"{1:016x}"
    assert client.answer()[3][0] == b"x"


@pytest.mark.parametrize("state", ["told before", "told meanwhile"])
def test_a_successor_does_not_take_the_new_process_for_the_one_in_its_configuration(
    p: Platform, state: str
) -> None:
    # Guards against: members of the configuration that have gone, whose address another one has by now.
    second = Platform.entry("parent-2", p.parent, "parent", "hub", startedAtMs=0)
    gone = {"instanceId": "parent-1", "lifecycle": "terminated"}
    event = {"no": 2, "roster": {"reset": False, "instances": [gone, second]}}
    line = json.dumps(event).encode() + b"\n"
    connection = p.publish({"no": 1})
    if state == "told before":
        connection.sendall(line)
        time.sleep(0.2)
    p.ready()
    older = p.process
    p.start()
    p.logged("event=successor_connected")
    if state == "told meanwhile":
        connection.sendall(line)
    p.ready()
    older.terminate()
    assert older.wait(timeout=WAIT) == 0
    client = p.client()
    for number in range(1, 9):
        ask(client, number)
        assert told(p.box.answer("HIT", "-", b"x"))["via"] != "parent-1"
        assert client.answer()[3][0] == b"x"


def test_a_write_that_may_have_run_at_the_old_process_is_not_sent_to_the_new_one(p: Platform) -> None:
    # Guards against: a request that runs twice, as its target is replaced while it is in flight.
    client = p.client()
    ask(client, 1, "charge")
    old, words = p.origin.line()
    later = int(time.time() * 1000) - LATER_MS
    apply(p, *replace(p, "origin-1", "origin-2", 2, startedAtMs=later))
    old.shutdown(socket.SHUT_RDWR)
    answer = client.answer()
    assert answer[2] is not None and answer[2][0] != "TryLater"
    assert all(line[0] != "ASK" for _, line in list(p.origin.lines.queue))
    assert words[0] == "ASK"
