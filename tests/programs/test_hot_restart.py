"""Hot restart: messages between the two processes, and a successor that takes over from its predecessor."""

import asyncio
import signal
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from harness import WAIT, Client, Platform, platform, until

from paddlequay.config.limits import Limits
from paddlequay.lifecycle.operator_state import OperatorState, Override
from paddlequay.net.hot_restart import HotRestart
from paddlequay.observability.counters import Counters
from paddlequay.protocol import hot_restart as link_protocol
from paddlequay.requests.executed_ids import ExecutedIds
from paddlequay.requests.quotas import ProcessQuotas, QuotaInUse


@pytest.fixture
def p() -> Iterator[Platform]:
    with platform() as running:
        yield running


STATE = link_protocol.StateMessage({"out:a": Override(5, True)}, ("a", "b"), {"limit a": 12.5})
ORDER = link_protocol.OverrideMessage(3, "drain", Override(9, False))
MESSAGES: list[link_protocol.LinkMessage] = [
    STATE,
    ORDER,
    link_protocol.OverrideConfirmed(3),
    link_protocol.SuccessorReady(),
    QuotaInUse(4, 5),
]


@pytest.mark.parametrize("size", [1, 5, 1000])
def test_hot_restart_messages_are_parsed_from_pieces_of_any_size(size: int) -> None:
    data, reader = b"".join(map(link_protocol.pack, MESSAGES)), link_protocol.LinkParser(1000)
    pieces = [data[at : at + size] for at in range(0, len(data), size)]
    assert [message for piece in pieces for message in reader.feed(piece)] == MESSAGES


@pytest.mark.parametrize(
    "line",
    [
        b"{",
        b"3",
        b'{"state":{"x":[1,true]},"listed":[],"knowledge":{}}',
        b'{"state":{},"listed":[],"knowledge":{"limit a":null}}',
        b'{"state":{},"listed":[],"knowledge":{"limit a":-1}}',
        b'{"state":{},"listed":[],"knowledge":{"limit a":NaN}}',
        b'{"order":{"drain":[1]},"number":1}',
    ],
)
def test_malformed_hot_restart_messages_are_rejected(line: bytes) -> None:
    with pytest.raises(link_protocol.LinkProtocolError):
        link_protocol.unpack(line)


def test_a_successor_takes_over_and_the_predecessor_loses_no_request(p: Platform) -> None:
    busy, idle = p.client(), p.client()
    p.publish({"no": 1})
    busy.ask("charge")
    origin, words = p.origin.line()
    idle.ask(call="00000000000000aa", row="00000000000000aa")
    p.box.answer("HIT", "-", b"x")
    assert idle.answer()[3][0] == b"x"
    older, console = p.process, p.console
    p.start()
    assert p.call("/-/ready", "GET")[0] == 503  # it has not received the endpoint list yet
    assert p.call("/-/ready", "GET", console)[0] == 200
    p.publish({"no": 1})
    p.ready()
    p.logged("event=successor_ready")
    for number in range(100, 140):  # all reach the newer process: the older one will close its listener
        client = p.client()
        client.ask("nosuch", call=f"{number:016x}")
        assert client.answer()[2][0] == "Aborted"
        client.socket.close()
    assert p.counted("client_connections") == 40
    older.terminate()
    assert idle.answer() is None  # closed when it was idle, while the older process still runs
    assert older.poll() is None
    busy.ask(call="00000000000000bb", row="00000000000000bb")  # never idle, so it stays open
    p.box.answer("HIT", "-", b"y")
    assert busy.answer()[3][0] == b"y"
    origin.sendall(f"{words[1]} HIT - 1\r\nz\r\n".encode())
    assert busy.answer()[3][0] == b"z" and busy.answer() is None
    assert older.wait(timeout=WAIT) == 0


def test_no_request_is_lost_at_the_listener_during_a_hot_restart(p: Platform) -> None:
    p.ready()
    failures: list[str] = []
    end = threading.Event()

    def ask() -> None:
        number = threading.get_ident() % 1000 * 1000
        while not end.is_set():
            number += 1
            try:
                client = Client(p.address)
                client.ask("nosuch", call=f"{number:016x}")
                if client.answer()[2] is None:
                    failures.append("served")
                client.socket.close()
            except (OSError, TypeError) as error:
                failures.append(repr(error))

    threads = [threading.Thread(target=ask) for _ in range(3)]
    for thread in threads:
        thread.start()
    for _ in range(2):
        older = p.process
        p.start()
        p.ready()
        older.terminate()
        assert older.wait(timeout=WAIT) == 0
    end.set()
    for thread in threads:
        thread.join()
    assert not failures and p.counted("unknown_class") > 0


def test_a_successor_serves_at_once_if_its_predecessor_dies(p: Platform) -> None:
    p.ready()
    older = p.process
    p.start()
    p.logged("event=successor_connected")
    older.send_signal(signal.SIGKILL)
    p.logged("event=predecessor_ended")
    p.ready()
    assert p.call("/-/ready", "GET")[0] == 200


def test_a_predecessor_serves_on_if_its_successor_dies_and_is_replaced_later(p: Platform) -> None:
    p.ready()
    older, console = p.process, p.console
    newer = p.start()
    p.logged("event=successor_connected")
    newer.kill()
    p.logged("event=successor_ended")
    assert p.call("/-/ready", "GET", console)[0] == 200
    p.start()
    p.ready()
    p.logged("event=successor_ready")
    p.process.kill()  # this successor has already taken over
    p.process.wait(WAIT)  # until then its listener could accept and reset the next connection
    until(lambda: sum("event=successor_ended" in line for line in p.log) == 2, "its end is noticed")
    p.process = older
    client = p.client()
    for number in (1, 2):  # on a connection that stays open
        # On a slow machine, late heartbeats make the router consider itself overloaded and answer TryLater.
        for _ in range(50):
            client.ask(call=f"{number:016x}", row=f"{number:016x}")
            until(lambda: client.answered() or not p.box.lines.empty(), "an answer or a request at the cache")
            if not p.box.lines.empty():
                break
            assert client.answer()[2][0] == "TryLater"
            time.sleep(0.05)
        p.box.answer("HIT", "-", b"x")
        assert client.answer()[3][0] == b"x"
        time.sleep(0.15)  # a few heartbeats, at any of which it might be closed
    p.start()
    p.ready()
    older.terminate()
    assert older.wait(timeout=WAIT) == 0
    assert not any("level=error" in line for line in p.log)


def test_predecessor_and_successor_stay_within_one_descriptor_limit(p: Platform) -> None:
    """The limit is 60 descriptors, part of which the program reserves."""
    clients = [p.client() for _ in range(19)]  # the most that one process accepts
    for number, client in enumerate(clients):
        client.ask("nosuch", call=f"{number + 1:016x}")
        assert client.answer()[2][0] == "Aborted"
    older = p.process
    p.start()
    p.ready()
    for _ in range(30):
        clients.append(p.client())
    descriptor_counts = [len(list(Path(f"/proc/{each.pid}/fd").iterdir())) for each in (older, p.process)]
    assert sum(descriptor_counts) <= 60


def test_an_override_at_startup_waits_until_the_predecessor_is_known(tmp_path: Path) -> None:
    """A drain that is confirmed before the search for a predecessor would leave the older process serving."""

    async def run_test() -> None:
        limits = Limits(confirm_timeout=0.2)
        state, executed_ids = OperatorState(tmp_path / "a.json"), ExecutedIds(time.monotonic)
        hot_restart = HotRestart(
            tmp_path / "a.sock", state, ProcessQuotas(limits), executed_ids, limits, Counters()
        )
        # The search for a predecessor has not started, so nothing is confirmed.
        assert not await hot_restart.confirm("drain", Override(1, True))
        confirmation = asyncio.ensure_future(hot_restart.confirm("drain", Override(2, True)))
        await asyncio.sleep(0)
        assert not confirmation.done()
        assert not await hot_restart.find_predecessor() and await confirmation
        hot_restart.close()

    asyncio.run(run_test())
