"""The real program and its list: silent, late and broken watches in a row, and no descriptor left."""

import contextlib
import json
import os
import queue
import resource
import select
import socket
import threading
import time
from collections.abc import Iterator
from typing import Any

import pytest
from harness import WAIT, Client, Platform, platform, until

TOLD_AT_LATEST = 7.0  # the page: what the bulletin has to tell counts as told so long after


@pytest.fixture
def p() -> Iterator[Platform]:
    with platform() as made:
        yield made


def lines(*events: Any) -> bytes:
    return b"".join(json.dumps(event).encode() + b"\n" for event in events)


def drained(p: Platform) -> dict[str, Any]:
    """`box-1` drains, and its like comes in its place."""
    entries = [p.entry("box-1", p.box, lifecycle="terminating"), p.entry("box-2", p.parent)]
    return {"no": 2, "roster": {"reset": False, "instances": entries}}


def goes_to_the_other(p: Platform, client: Client) -> None:
    client.ask(row="00000000000000aa")
    p.parent.answer("HIT", "-", b"y")
    assert client.answer()[3][0] == b"y" and p.box.lines.empty()


def test_a_drain_applies_in_time_with_each_step_at_its_slowest() -> None:
    """Half a line byte by byte; then late and silent; dropped after `after N`; heartbeats ahead of events."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        host, port = listener.getsockname()
        p = stack.enter_context(platform(bulletin=f"{host}:{port}"))
        listener.settimeout(WAIT)

        def asked() -> socket.socket:
            """The next connection that asks; those that filled the queue say nothing."""
            while True:
                connection = stack.enter_context(listener.accept()[0])
                if select.select([connection], [], [], 0.3)[0]:
                    assert connection.recv(100) == b"after 1\n"
                    return connection

        first = asked()
        p.client()
        while True:  # the next watch comes up late: its first try finds the queue full
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex((host, port))
            if not select.select([], [filler], [], 0.1)[1]:
                break
        first.sendall(lines({"no": 1}) + b'{"no":2,"x":"')
        out_at = time.monotonic()  # the drain is in the bulletin from here on
        over = threading.Event()

        def drip() -> None:
            with contextlib.suppress(OSError):
                while not over.wait(0.1):
                    first.sendall(b"x")

        stack.callback(over.set)
        threading.Thread(target=drip, daemon=True).start()
        p.logged("event=endpoint_watch_lost")
        second = asked()
        third = asked()
        third.close()
        fourth = asked()
        fourth.sendall(lines({"no": 2}))
        fifth = asked()
        fifth.sendall(lines(drained(p), {"no": 2}))
        until(lambda: p.counted("endpoint_lists") == 2, "the drain is taken in")
        assert time.monotonic() - out_at < TOLD_AT_LATEST - 1.0
        goes_to_the_other(p, p.client())
        assert not second.recv(100)
        # A byte that drips in as the router closes lies there unread, and makes a reset of the close.
        with contextlib.suppress(ConnectionResetError):
            assert not first.recv(100)


def open_descriptors(p: Platform) -> int:
    return len(os.listdir(f"/proc/{p.process.pid}/fd"))


def processor_time(p: Platform) -> float:
    """User and system time of the router so far, in seconds."""
    with open(f"/proc/{p.process.pid}/stat") as file:
        words = file.read().rpartition(")")[2].split()
    return (int(words[11]) + int(words[12])) / os.sysconf("SC_CLK_TCK")


def test_discovery_lost_while_clients_fill_the_descriptors_is_watched_again(
    p: Platform,
) -> None:
    """A descriptor that came free as the connection ended went to a client that waited for one, and the
    follower's task died of the error: no list and no purge ever came again."""
    client = p.client()
    client.ask("charge")
    charge, words = p.origin.line()
    bulletin = p.publish({"no": 1})
    until(lambda: p.counted("endpoint_lists") == 1, "it is followed")
    pid = p.process.pid
    # None is left: those of the idle clients wait in the listener's queue for any that comes free.
    limit = open_descriptors(p)
    _, most = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (limit, most))
    idle = [socket.create_connection(p.address, timeout=WAIT) for _ in range(6)]
    host, port = p.bulletin.listener.getsockname()
    p.bulletin.listener.shutdown(socket.SHUT_RDWR)  # ends its thread's accept
    p.bulletin.listener.close()
    bulletin.shutdown(socket.SHUT_RDWR)
    p.logged("event=endpoint_watch_lost")
    charge.sendall(f"{words[1]} HIT - 4\r\ndone\r\n".encode())
    assert client.answer()[3][0] == b"done"
    time.sleep(0.5)  # several tries
    began = time.monotonic()
    back = socket.create_server((host, port))
    back.settimeout(WAIT)
    with contextlib.closing(back), contextlib.closing(back.accept()[0]) as connection:
        assert time.monotonic() - began < 2.0
        assert connection.recv(100) == b"after 1\n"
        # One descriptor more, for the connection to the cache that comes with the list.
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (limit + 8, most))
        connection.sendall(lines(drained(p), {"no": 2}))
        until(lambda: p.counted("endpoint_lists") == 2, "the drain is taken in")
        goes_to_the_other(p, client)
        assert not client.answered() and p.process.poll() is None
    for each in idle:
        each.close()


def test_a_drain_with_little_more_than_an_id_applies_with_the_rest_of_its_event(p: Platform) -> None:
    client = p.client()
    client.ask()
    p.box.answer("HIT", "-", b"x")
    assert client.answer()[3][0] == b"x"
    bad: list[Any] = [None, {"instanceId": 7}, p.entry("box-3", p.box, hostPort="nowhere")]
    little = {"instanceId": "box-1", "lifecycle": "terminating"}
    other = p.entry("box-2", p.parent)
    p.publish({"no": 2, "roster": {"reset": False, "instances": [*bad, little, other]}}, {"no": 2})
    until(lambda: p.counted("endpoint_lists") == 2, "the list is taken in")
    assert p.counted("unusable_endpoints") == 4 and p.bulletin.accepted.empty()
    goes_to_the_other(p, client)


def test_a_drain_and_a_return_in_one_read_leave_a_write_one_answer(p: Platform) -> None:
    client = p.client()
    client.ask("charge")
    p.origin.answer("NONE")
    connection, words = p.box.line()
    both = [p.entry("box-1", p.box, lifecycle="terminating"), p.entry("box-1", p.box)]
    p.publish(
        {"no": 2, "roster": {"reset": False, "instances": both[:1]}},
        {"no": 3, "roster": {"reset": False, "instances": both[1:]}},
        {"no": 4, "roster": {"reset": False, "instances": both}},
        {"no": 4},
    )
    until(lambda: p.counted("endpoint_lists") == 4, "all is taken in")
    connection.sendall(f"{words[1]} HIT - 4\r\ndone\r\n".encode())
    assert client.answer()[3][0] == b"done"
    client.ask(row="00000000000000aa")
    p.box.answer("HIT", "-", b"x")
    assert client.answer()[3][0] == b"x" and not client.answered()


def test_a_restart_in_one_read_ends_the_attempts_of_old_connections_once(p: Platform) -> None:
    client = p.client()
    client.ask("charge")
    p.origin.answer("NONE")
    connection, words = p.box.line()
    assert "queue=charge" in words[2]
    client.ask(row="00000000000000aa")
    p.box.line()
    later = p.entry("box-1", p.box, startedAtMs=int(time.time() * 1000) - 60_000)
    ended = {"instanceId": "box-1", "lifecycle": "terminated"}
    p.publish(
        {"no": 2, "roster": {"reset": False, "instances": [ended]}},
        {"no": 3, "roster": {"reset": False, "instances": [later]}},
        {"no": 3},
    )
    until(lambda: p.counted("endpoint_lists") == 3, "all is taken in")
    client.ask(row="00000000000000bb")
    with contextlib.suppress(queue.Empty):
        while True:  # the charge is never sent again, what may be repeated perhaps
            told, words = p.box.lines.get(timeout=0.3)
            if words[0] == "ASK":
                assert "queue=charge" not in words[2]
                told.sendall(f"{words[1]} HIT - 1\r\nx\r\n".encode())
    with contextlib.suppress(OSError):
        connection.close()
    answers = {client.answer()[1] for _ in range(3)}
    assert answers == {1, 2, 3} and not client.answered()


def test_an_event_with_thousands_of_members_does_not_block_the_loop_for_long(p: Platform) -> None:
    """Measured by the router's own processor time, which other work on the machine does not change."""
    client = p.client()
    nowhere = {"lifecycle": "in_service", "zone": "far", "machineType": "box", "cell": 0}
    ids = range(5000)
    many = [nowhere | {"instanceId": f"m-{n}", "hostPort": f"10.9.{n >> 8}.{n & 255}:80"} for n in ids]
    connection = p.publish({"no": 1})
    until(lambda: p.counted("endpoint_lists") == 1, "followed")
    before = processor_time(p)
    connection.sendall(lines({"no": 2, "roster": {"reset": False, "instances": many}}, {"no": 2}))
    until(lambda: p.counted("endpoint_lists") == 2, "the list is taken in")
    assert processor_time(p) - before < 1.0
    client.ask()
    p.box.answer("HIT", "-", b"x")
    assert client.answer()[3][0] == b"x"


def test_a_late_endpoint_source_leaves_no_extra_watch(p: Platform) -> None:
    """Each watch is silent, until one of them tells: all others are closed, and so are their descriptors."""
    p.client()
    silent = [p.publish() for _ in range(3)]
    silent[1].sendall(lines({"no": 1}))
    p.logged("event=endpoint_watch_restored")
    until(lambda: established(p) == 1, "one watch is left")


def established(p: Platform) -> int:
    """The router's connections to the bulletin, by its own descriptors."""
    port = p.bulletin.listener.getsockname()[1]
    with open("/proc/net/tcp") as file:
        rows = [line.split() for line in file.readlines()[1:]]
    return sum(row[2].endswith(f":{port:04X}") and row[3] == "01" for row in rows)
