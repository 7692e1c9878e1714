"""A request that must run once and whose id comes again, at this process or at the other one."""

import contextlib
import queue
import socket
import time

import pytest
from harness import Client, Platform, platform, told

from paddlequay.protocol import msgpack
from paddlequay.requests import executed_ids
from paddlequay.requests.executed_ids import ExecutedIds

ID = f"{77:016x}"
QUIET_S = 0.5  # in which nothing more may come to the origin


def ask_once(client: Client) -> None:
    client.ask("charge", call=ID, row=ID, ttl="2900")


def runs(p: Platform, seconds: float) -> int:
    """Serves what comes to the origin for some seconds; returns how often the request came."""
    count, end = 0, time.monotonic() + seconds
    while time.monotonic() < end:
        with contextlib.suppress(queue.Empty, OSError):
            connection, words = p.origin.lines.get(timeout=0.05)
            if words[0] == "ASK":
                count += told(words)["queue"] == "charge"
                connection.sendall(f"{words[1]} HIT - 1\r\nx\r\n".encode())
    return count


@pytest.mark.parametrize("where", ["the same process", "a successor", "the predecessor"])
def test_a_request_whose_client_has_left_runs_once_if_its_id_comes_again(where: str) -> None:
    # Guards against: a second run of a request that was written before its client left.
    with platform() as p:
        p.publish({"no": 1})
        p.ready()
        first, second = p.client(), p.client()
        if where == "the same process":
            ask_once(first)
            assert p.origin.line()[1][1] == ID
            first.socket.close()
        else:
            second.ask(call=f"{1:016x}", row=f"{1:016x}")  # never answered, so that it stays open
            assert p.box.line()[1][1] == f"{1:016x}"
            if where == "a successor":
                ask_once(first)
                assert p.origin.line()[1][1] == ID
                first.socket.close()
            p.start()
            p.publish({"no": 1})
            p.ready()
            p.logged("event=successor_ready")
            if where == "a successor":
                second = p.client()
            else:
                third = p.client()
                ask_once(third)
                assert p.origin.line()[1][1] == ID
                third.socket.close()
                time.sleep(0.1)
        ask_once(second)
        assert runs(p, QUIET_S) == 0
        assert second.answer()[2][0] == "Aborted"  # not a rejection, as it may have run


def test_a_request_that_is_rejected_may_come_again() -> None:
    # Guards against: a request refused for good, though a rejection promises that trying again is harmless.
    with platform() as p:
        p.publish({"no": 1})
        p.ready()
        client = p.client()
        ask_once(client)
        while not client.answered():
            for party in (p.origin, p.parent, p.box):
                with contextlib.suppress(queue.Empty):
                    connection, words = party.lines.get(timeout=0.02)
                    if words[0] == "ASK":
                        connection.sendall(f"{words[1]} SHED - 0\r\n\r\n".encode())
        assert client.answer()[2][0] == "TryLater"
        ask_once(client)
        assert runs(p, QUIET_S) == 1 and client.answer()[3][0] == b"x"


@pytest.mark.parametrize("way", ["close", "reset"])
@pytest.mark.parametrize("size", [0, 47_000])
def test_nothing_is_sent_on_of_much_that_is_unread_when_its_client_leaves(size: int, way: str) -> None:
    # Guards against: requests sent on later than 0.1 s after the close, as 200 KB and more were unread.
    with platform(limits={"sockets": 1024, "memory_mb": 192}) as p:
        p.publish({"no": 1})
        client = p.client()
        client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 22)
        ids = [f"{number:016x}" for number in range(1, 11 if size else 3001)]
        fields = {"ttl": "2900", "slice": "0", "set": "1"}
        client.socket.sendall(
            b"".join(
                msgpack.pack([0, at, "charge", [fields | {"call": id, "row": id}, bytes(size)]])
                for at, id in enumerate(ids, 1)
            )
        )
        if way == "reset":
            client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        client.socket.close()
        time.sleep(0.1)
        with contextlib.suppress(queue.Empty):
            while True:
                p.origin.lines.get_nowait()
        assert runs(p, 2.0) == 0


def test_executed_ids_are_bounded_in_number_and_age(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against: a table that grows with every id that clients name.
    monkeypatch.setattr(executed_ids, "MAX_IDS", 3)
    now = 0.0
    ids = ExecutedIds(lambda: now)
    for number in range(5):
        ids.add(str(number))
    assert ids.recent() == ("2", "3", "4") and "4" in ids and "1" not in ids
    now = executed_ids.HOLD_S + 1.0
    assert "4" not in ids and ids.recent() == ()
