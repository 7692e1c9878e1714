"""Shutdown, drains by the endpoint list, and silent connections, on the real program."""

import contextlib
import copy
import json
import select
import socket
import time
from collections.abc import Iterator

import pytest
from harness import SETTINGS, WAIT, Platform, platform, until

MAX_ANNOUNCEMENT_DELAY_S = 7.0  # an event counts as known to the router so long after its publication


@pytest.fixture
def p() -> Iterator[Platform]:
    with platform() as running:
        yield running


def test_requests_that_arrive_on_open_connections_after_sigterm_are_served(p: Platform) -> None:
    """New connections may arrive until 0.4 s after SIGTERM, requests on open ones until 0.6 s after it."""
    clients = [p.client(), p.client()]
    clients[0].ask()
    p.box.answer("HIT", "-", b"before")
    assert clients[0].answer()[3][0] == b"before"
    p.process.terminate()
    began, served = time.monotonic(), 0
    while time.monotonic() - began < 0.6:
        for client in clients:
            client.ask(row=f"{served:016x}")
            p.box.answer("HIT", "-", b"after")
            assert client.answer()[3][0] == b"after"
            served += 1
        time.sleep(0.02)
    clients[1].ask(row="00000000000000ff")
    connection, words = p.box.line()
    time.sleep(0.6)  # past the time in which requests arrive; accepted requests must still be answered
    connection.sendall(f"{words[1]} HIT - 4\r\nlast\r\n".encode())
    assert clients[1].answer()[3][0] == b"last" and served > 2
    assert all(client.answer() is None for client in clients)
    assert p.process.wait(timeout=WAIT) == 0


@pytest.mark.parametrize("silent", [0, 1])
def test_a_drain_written_to_a_silent_endpoint_source_applies_before_its_deadline(
    p: Platform, silent: int
) -> None:
    """A drain may be sent on a connection that has fallen silent, and again on the one that replaces it."""
    client = p.client()
    client.ask()
    p.box.answer("HIT", "-", b"x")
    assert client.answer()[3][0] == b"x"
    p.publish({"no": 1})
    published_at = time.monotonic()  # from now on the bulletin has the drain, but sends nothing
    for _ in range(silent):
        p.bulletin.accepted.get(timeout=WAIT)
        assert p.bulletin.line()[1] == ["after", "1"]
    drained = p.entry("box-1", p.box, lifecycle="terminating")
    event = {"no": 2, "roster": {"reset": False, "instances": [drained, p.entry("box-2", p.parent)]}}
    p.publish(event, {"no": 2})
    until(lambda: p.counted("endpoint_lists") == 2, "the drain is applied")
    assert time.monotonic() - published_at < MAX_ANNOUNCEMENT_DELAY_S
    client.ask(row="00000000000000aa")
    p.parent.answer("HIT", "-", b"y")
    assert client.answer()[3][0] == b"y" and p.box.lines.empty()


@contextlib.contextmanager
def full_listener() -> Iterator[socket.socket]:
    """Yields a listener whose queue is full: connections are established at a retransmission, 1 s later."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        while True:
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
            if not select.select([], [filler], [], 0.1)[1]:
                break
        yield listener


def test_a_drain_stops_requests_that_wait_for_their_connection() -> None:
    """Connections may take 1 s to establish, but sends to a draining member must end within 0.5 s."""
    settings = copy.deepcopy(SETTINGS)
    settings["limits"]["dialTimeout"] = 4.0
    # The attempt must not time out before the connection is established.
    settings["classes"][0] |= {"aim": 2.0, "deadline": 6}
    with full_listener() as listener, platform(settings=settings) as p:
        host, port = listener.getsockname()
        late = p.entry("box-2", p.box, hostPort=f"{host}:{port}")
        client = p.client()
        away = {"reset": False, "instances": [p.entry("box-1", p.box, lifecycle="terminating"), late]}
        bulletin = p.publish({"no": 2, "roster": away})
        until(lambda: p.counted("endpoint_lists") == 2, "box-2 alone is in service")
        client.ask(ttl="5000")
        until(lambda: p.counted("requests") == 1, "the request waits for its connection")
        back = {"reset": False, "instances": [p.entry("box-1", p.box), late | {"lifecycle": "terminating"}]}
        bulletin.sendall(json.dumps({"no": 3, "roster": back}).encode() + b"\n")
        until(lambda: p.counted("endpoint_lists") == 3, "box-2 drains")
        listener.setblocking(False)
        accepted = []
        end = time.monotonic() + WAIT
        while not p.box.lines.qsize() and time.monotonic() < end:
            with contextlib.suppress(BlockingIOError):
                # The router's connection is among those that filled the queue.
                accepted.append(listener.accept()[0])
            time.sleep(0.01)
        p.box.answer("HIT", "-", b"x")
        assert client.answer()[3][0] == b"x"
        assert p.counted("not_sent") == 1
        for connection in accepted:
            connection.setblocking(False)
            with contextlib.suppress(BlockingIOError, ConnectionError):
                assert connection.recv(1) == b""
            connection.close()


def test_a_timeout_from_a_client_deadline_does_not_count_as_a_silent_connection(p: Platform) -> None:
    """Deadlines of 0.1 to 0.5 s must not make the router close connections: each costs a handshake."""
    client = p.client()
    client.ask(ttl="150")
    first, asked = p.box.line()
    assert client.answer()[2][0] == "TryLater"
    _, (given_up, *_) = p.box.line()
    assert given_up != asked[0]
    client.ask(row="00000000000000aa")
    second, words = p.box.line()
    second.sendall(f"{words[1]} HIT - 1\r\nx\r\n".encode())
    assert client.answer()[3][0] == b"x" and second is first
