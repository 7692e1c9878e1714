"""The end of the program: all that was taken is answered, and no close resets an answer just written."""

import contextlib
import queue
import threading
import time

import pytest
from harness import WAIT, Client, Party, Platform, platform, until
from rig_end import Restless, asked, call, rows, served, short


def serve(box: Party, sent_on: set[int]) -> None:
    """Answer all that comes, until nothing comes any more."""
    with contextlib.suppress(queue.Empty, OSError):
        while True:
            words = box.answer("HIT", "-", b"x")
            sent_on.add(int(words[1], 16))


def test_requests_sent_up_to_the_last_moment_are_answered_and_the_connection_is_not_reset() -> None:
    """The process went while clients still sent: what it had read last was lost, and its exit over unread
    bytes reset the connections."""
    with platform(settings=short(0.6)) as p:
        waits = p.client()
        asked(p, waits, ttl="800")  # and never answered
        sent_on: set[int] = set()
        threading.Thread(target=serve, args=(p.box, sent_on), daemon=True).start()
        clients = [Restless(p.client(), 10_000 * place) for place in (1, 2, 3)]
        until(lambda: all(each.sent for each in clients), "they send")
        p.process.terminate()
        for each in clients:
            each.join()
        assert p.process.wait(WAIT) == 0
        assert waits.answer()[2][0] == "TryLater"
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


def test_what_comes_while_the_last_answers_go_out_is_refused_and_not_sent_on() -> None:
    """With deadlines of a second or less it was sent on after all else was given up, and lost at the end."""
    with platform(settings=short(0.6)) as p:
        slow, half, other = fill(p), p.client(), p.client()
        half.socket.sendall(call(900)[:20])
        p.process.terminate()
        p.logged("event=ending")
        time.sleep(0.4)  # the platform's time: requests still come
        other.socket.sendall(call(901))  # waits longer than the deadline
        assert other.answer()[2][0] == "TryLater"  # all that is open is given up
        half.socket.sendall(call(900)[20:])
        refused = half.answer()  # or ended before the whole of it was there
        assert refused is None or (refused[2][0] == "TryLater" and half.answer() is None)
        assert p.process.wait(WAIT) == 0
        assert 900 not in rows(p) and slow.answered()


@pytest.mark.parametrize("deadline", [0.4, 1.0])
def test_all_that_is_open_at_members_that_hang_is_answered_before_the_kill(deadline: float) -> None:
    """SIGKILL comes 0.7 s after the longest deadline; requests come for up to 0.6 s of that."""
    with platform(settings=short(deadline)) as p:
        clients = [p.client() for _ in range(6)]
        kinds = ["video", "charge"] * 3
        for client, kind in zip(clients[:2], kinds, strict=False):
            client.ask(kind, ttl=str(int(1500 * deadline)))
        until(lambda: p.counted("requests") == 2, "they are open")
        began = time.monotonic()
        p.process.terminate()
        for place, after in ((2, 0.2), (4, 0.55)):  # the platform's times
            time.sleep(max(0.0, began + after - time.monotonic()))
            for client, kind in zip(clients[place : place + 2], kinds, strict=False):
                name = f"{place:016x}" if kind == "video" else f"{place:08x}{place:08x}"
                client.ask(kind, call=name, row=name, ttl=str(int(1500 * deadline)))
        answers = [client.answer() for client in clients]
        assert time.monotonic() - began < deadline + 0.7
        assert all(answer is not None and answer[2] is not None for answer in answers)
        assert all(client.answer() is None for client in clients) and p.process.wait(WAIT) == 0
        after = float(p.logged("event=ended").partition("after=")[2].split()[0])
        assert after < deadline + 0.7


def test_clients_that_rest_until_they_are_closed_have_an_end_and_nothing_they_send_then_is_sent_on() -> None:
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
