"""Hot restart: the messages of the two processes, and a successor that takes over from its predecessor."""

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
from paddlequay.protocol import hot_restart as twin
from paddlequay.requests.quotas import ProcessQuotas, QuotaInUse


@pytest.fixture
def p() -> Iterator[Platform]:
    with platform() as made:
        yield made


STATE = twin.StateMessage({"out:a": Override(5, True)}, ("a", "b"), {"limit a": 12.5})
ORDER = twin.OverrideMessage(3, "drain", Override(9, False))
MESSAGES: list[twin.LinkMessage] = [
    STATE,
    ORDER,
    twin.OverrideConfirmed(3),
    twin.SuccessorReady(),
    QuotaInUse(4, 5),
]


@pytest.mark.parametrize("size", [1, 5, 1000])
def test_hot_restart_messages_are_parsed_from_pieces_of_any_size(size: int) -> None:
    data, reader = b"".join(map(twin.pack, MESSAGES)), twin.LinkParser(1000)
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
    with pytest.raises(twin.LinkProtocolError):
        twin.unpack(line)


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
    assert p.call("/-/ready", "GET")[0] == 503  # the bulletin's word is not there yet
    assert p.call("/-/ready", "GET", console)[0] == 200
    p.publish({"no": 1})
    p.ready()
    p.logged("event=successor_ready")
    for number in range(100, 140):  # all go to the newer one: the older one is about to close its listener
        client = p.client()
        client.ask("nosuch", call=f"{number:016x}")
        assert client.answer()[2][0] == "Aborted"
        client.socket.close()
    assert p.counted("client_connections") == 40
    older.terminate()
    assert idle.answer() is None  # closed at a quiet moment, while the older process still runs
    assert older.poll() is None
    busy.ask(call="00000000000000bb", row="00000000000000bb")  # never quiet: work goes on
    p.box.answer("HIT", "-", b"y")
    assert busy.answer()[3][0] == b"y"
    origin.sendall(f"{words[1]} HIT - 1\r\nz\r\n".encode())
    assert busy.answer()[3][0] == b"z" and busy.answer() is None
    assert older.wait(timeout=WAIT) == 0


def test_no_request_is_lost_at_the_listener_during_a_hot_restart(p: Platform) -> None:
    p.ready()
    lost: list[str] = []
    end = threading.Event()

    def ask() -> None:
        number = threading.get_ident() % 1000 * 1000
        while not end.is_set():
            number += 1
            try:
                client = Client(p.address)
                client.ask("nosuch", call=f"{number:016x}")
                if client.answer()[2] is None:
                    lost.append("served")
                client.socket.close()
            except (OSError, TypeError) as error:
                lost.append(repr(error))

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
    assert not lost and p.counted("unknown_class") > 0


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
    p.process.kill()  # this one had taken over already
    p.process.wait(WAIT)  # its listener could take, and reset, the next connection
    until(lambda: sum("event=successor_ended" in line for line in p.log) == 2, "its end is seen")
    p.process = older
    client = p.client()
    for number in (1, 2):  # on a connection that is kept
        # Where the machine was slow, the router takes its late beats for a full core and asks to come back.
        for _ in range(50):
            client.ask(call=f"{number:016x}", row=f"{number:016x}")
            until(lambda: client.answered() or not p.box.lines.empty(), "an answer, or a cache is asked")
            if not p.box.lines.empty():
                break
            assert client.answer()[2][0] == "TryLater"
            time.sleep(0.05)
        p.box.answer("HIT", "-", b"x")
        assert client.answer()[3][0] == b"x"
        time.sleep(0.15)  # some beats, at which it might be closed
    p.start()
    p.ready()
    older.terminate()
    assert older.wait(timeout=WAIT) == 0
    assert not any("level=error" in line for line in p.log)


def test_predecessor_and_successor_stay_within_one_descriptor_limit(p: Platform) -> None:
    """60 descriptors are granted, of which the program keeps a part for itself."""
    clients = [p.client() for _ in range(19)]  # all that one process takes
    for number, client in enumerate(clients):
        client.ask("nosuch", call=f"{number + 1:016x}")
        assert client.answer()[2][0] == "Aborted"
    older = p.process
    p.start()
    p.ready()
    for _ in range(30):
        clients.append(p.client())
    held = [len(list(Path(f"/proc/{each.pid}/fd").iterdir())) for each in (older, p.process)]
    assert sum(held) <= 60


def test_an_override_at_startup_waits_until_the_predecessor_is_known(tmp_path: Path) -> None:
    """Its console answered a drain with 200 before it had looked, and the older process served on."""

    async def play() -> None:
        limits = Limits(confirm_timeout=0.2)
        made = HotRestart(
            tmp_path / "a.sock", OperatorState(tmp_path / "a.json"), ProcessQuotas(limits), limits, Counters()
        )
        assert not await made.confirm("drain", Override(1, True))  # nobody has looked: no promise
        asked = asyncio.ensure_future(made.confirm("drain", Override(2, True)))
        await asyncio.sleep(0)
        assert not asked.done()
        assert not await made.find_predecessor() and await asked
        made.close()

    asyncio.run(play())
