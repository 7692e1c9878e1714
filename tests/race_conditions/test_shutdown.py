"""The end of the program: all that was taken is answered, and no close resets an answer just written."""

import asyncio
import contextlib
import os
import queue
import selectors
import socket
import threading
import time
from pathlib import Path
from unittest.mock import Mock

import pytest
from harness import WAIT, Client, Party, Platform, platform, until
from rig_shutdown import Restless, call, rows, served, short

from paddlequay.config.limits import limits_from
from paddlequay.config.settings import parse_settings
from paddlequay.programs.shutdown import shut_down


def serve(box: Party, sent_on: set[int]) -> None:
    """Answer all that comes, until nothing comes any more."""
    with contextlib.suppress(queue.Empty, OSError):
        while True:
            words = box.answer("HIT", "-", b"x")
            sent_on.add(int(words[1], 16))


GATE = """
import time
from paddlequay.requests.exchange import Exchange
real = Exchange.abandon_all
def abandon_all(self):
    real(self)
    time.sleep(0.1)  # the loop stands still, and some requests come
Exchange.abandon_all = abandon_all
"""


def test_requests_sent_up_to_the_last_moment_are_answered_and_the_connection_is_not_reset(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The process went while clients still sent: what had come last was lost, and its exit over unread bytes
    reset the connections."""
    (tmp_path / "sitecustomize.py").write_text(GATE)
    monkeypatch.setenv("PYTHONPATH", os.pathsep.join((str(tmp_path), os.getcwd())))
    with platform(settings=short(0.6)) as p:
        sent_on: set[int] = set()
        threading.Thread(target=serve, args=(p.box, sent_on), daemon=True).start()
        clients = [Restless(p.client(), 10_000 * place) for place in (1, 2, 3)]
        until(lambda: all(each.sent for each in clients), "they send")
        p.process.terminate()
        for each in clients:
            each.join()
        assert p.process.wait(WAIT) == 0
        for each in clients:
            assert not each.reset and len(each.answers) == len(set(each.answers))
            assert set(each.sent[:-1]) <= set(each.answers) and len(each.sent) > 20
            assert each.sent[-1] in each.answers or each.sent[-1] not in sent_on


def fill(p: Platform) -> Client:
    """A client that takes nothing of some MB that are on their way to it."""
    client, number = p.client(), 0

    def more() -> bool:
        nonlocal number
        number += 1
        client.socket.sendall(call(number))
        with contextlib.suppress(queue.Empty):
            connection, words = p.box.lines.get(timeout=0.05)
            connection.sendall(f"{words[1]} HIT - 240000\r\n".encode() + bytes(240_000) + b"\r\n")
        return p.counted("answer_bytes") > 6_000_000

    until(more, "answers wait")
    return client


def test_requests_during_the_last_answers_are_rejected_and_not_forwarded() -> None:
    """With deadlines of a second or less it was sent on after all else was given up, and lost at the end."""
    with platform(settings=short(0.6)) as p:
        slow, half, other = fill(p), p.client(), p.client()
        half.socket.sendall(call(900)[:20])
        p.process.terminate()
        p.logged("event=shutdown_started")
        time.sleep(0.4)  # the platform's time: requests still come
        other.socket.sendall(call(901))  # waits longer than the deadline
        assert other.answer()[2][0] == "TryLater"  # all that is open is given up
        half.socket.sendall(call(900)[20:])
        refused = half.answer()  # or ended before the whole of it was there
        assert refused is None or (refused[2][0] == "TryLater" and half.answer() is None)
        assert p.process.wait(WAIT) == 0
        assert 900 not in rows(p) and slow.answered()


@pytest.mark.parametrize("deadline", [0.4, 1.0])
def test_open_requests_at_hanging_members_are_answered(deadline: float) -> None:
    """Also what comes last, 0.6 s after SIGTERM."""
    with platform(settings=short(deadline)) as p:
        clients = [p.client() for _ in range(6)]
        kinds = ["video", "charge"] * 3
        for client, kind in zip(clients[:2], kinds, strict=False):
            client.ask(kind, ttl=str(int(1500 * deadline)))
        until(lambda: p.counted("requests") == 2, "they are open")
        p.process.terminate()
        p.logged("event=shutdown_started")
        began = time.monotonic()
        for place, after in ((2, 0.2), (4, 0.55)):  # the platform's times
            time.sleep(max(0.0, began + after - time.monotonic()))
            for client, kind in zip(clients[place : place + 2], kinds, strict=False):
                name = f"{place:016x}" if kind == "video" else f"{place:08x}{place:08x}"
                client.ask(kind, call=name, row=name, ttl=str(int(1500 * deadline)))
        answers = [client.answer() for client in clients]
        assert all(answer is not None and answer[2] is not None for answer in answers)
        assert all(client.answer() is None for client in clients) and p.process.wait(WAIT) == 0


def test_idle_clients_closed_by_the_shutdown_see_an_end_and_nothing_is_forwarded() -> None:
    with platform() as p:
        clients = [p.client() for _ in range(10)]
        for client in clients[:5]:  # the others have said nothing yet
            served(p, client)
        p.process.terminate()
        for number, client in enumerate(clients, 1):
            assert client.answer() is None
            with contextlib.suppress(OSError):
                client.socket.sendall(call(number))
        assert p.process.wait(WAIT) == 0 and not rows(p)


def test_a_client_that_still_receives_answers_is_not_cut_off_by_sigterm() -> None:
    # Guards against: answers that the process drops as it ends, 0.15 s after its last time-out.
    with platform(settings=short(0.6)) as p:
        client = p.client()
        client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        body = bytes(240_000)
        for number in range(1, 41):
            client.ask("charge", ttl="800", call=f"{number:016x}", row=f"{number:016x}")
            p.origin.answer("HIT", "-", body)
        until(lambda: p.counted("answer_bytes") > 40 * len(body), "all are answered")
        p.process.terminate()
        terminated_at = time.monotonic()
        for _ in range(40):
            answer = client.answer()
            assert answer is not None and answer[2] is None and answer[3][0] == body
            time.sleep(0.1)
        assert client.answer() is None
        assert time.monotonic() - terminated_at > 2.0  # all requests were over after 1.1 s
        assert p.process.wait(WAIT) == 0


class Jumping(selectors.DefaultSelector):
    """Waits for nothing: the loop's clock jumps to its next timer."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        self.now += max(0.0, timeout or 0.0)
        return super().select(0)


class Loop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.clock = Jumping()
        super().__init__(self.clock)

    def time(self) -> float:
        return self.clock.now


@pytest.mark.parametrize("deadline", [0.05, 0.1, 0.3, 0.6, 1.0, 2.0, 3.0, 8.0])
def test_the_shutdown_completes_before_sigkill_for_any_deadlines(deadline: float) -> None:
    """With a client that is never quiet, and a request that no member answers. SIGKILL comes 0.7 s after the
    longest deadline, which counts as 3 s where it is longer; requests come for up to 0.6 s, 0.05 s late.
    All clients have received their answers."""
    loop, at = Loop(), dict[str, float]()
    restless = Mock(reader=Mock(rest=b"x"), at_rest=lambda: False, writer=Mock(is_receiving=lambda _: False))
    restless.end_if_up_to_date = lambda: at.setdefault("shut", loop.time())
    front = Mock(sessions={restless}, unsent=0)
    front.exchange = Mock(pending={"q1": None}, abandon_all=lambda: at.setdefault("given up", loop.time()))
    front.close_quiet_connections = lambda: front.near_end and at.setdefault("refusing", loop.time())
    limits = limits_from({"settings": {}}, parse_settings(short(deadline)))
    try:
        loop.run_until_complete(shut_down(front, Mock(replaced=False), limits))
        over, kill = loop.time(), min(3.0, deadline) + 0.7
    finally:
        loop.close()
    assert at["refusing"] <= at["given up"] < kill - 0.15 and at["shut"] < over < kill
    assert at["shut"] > 0.65 and at["given up"] > min(3.0, deadline) + 0.45
