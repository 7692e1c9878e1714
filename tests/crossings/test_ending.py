"""The end of the program: all that was taken is answered, and no close resets an answer just written."""

import contextlib
import queue
import threading
import time

from harness import WAIT, Client, Party, Platform, platform, until
from rig_end import Restless, call, rows, short


def serve(box: Party) -> None:
    """Answer all that comes, until nothing comes any more."""
    with contextlib.suppress(queue.Empty, OSError):
        while True:
            box.answer("HIT", "-", b"x")


def test_requests_sent_up_to_the_last_moment_are_answered_and_the_connection_is_not_reset() -> None:
    """The process went while clients still sent: what it had read last was lost, and its exit over unread
    bytes reset the connections."""
    with platform(settings=short(0.6)) as p:
        waits = p.client()
        waits.ask(ttl="800")
        p.box.line()  # and never answers this one
        threading.Thread(target=serve, args=(p.box,), daemon=True).start()
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
