"""The operators' part of the real program: the console, and one process that replaces another."""

import asyncio
import contextlib
import json
import signal
import socket
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from harness import WAIT, Client, Party, Platform, platform, told, until

from paddlequay.config.limits import Limits
from paddlequay.lifecycle.operator_state import OperatorState, Override
from paddlequay.net.hot_restart import HotRestart
from paddlequay.observability.counters import Counters
from paddlequay.protocol import hot_restart as twin
from paddlequay.protocol.console import ConsoleCall, ConsoleCallParser, ConsoleProtocolError
from paddlequay.protocol.msgpack import pack
from paddlequay.requests.quotas import ProcessQuotas, QuotaInUse


@pytest.fixture
def p() -> Iterator[Platform]:
    with platform() as made:
        yield made


CALL = b"POST http://a/-/caches/s%2D1/disable?x=1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"


@pytest.mark.parametrize("size", [1, 2, 7, len(CALL)])
def test_a_call_in_pieces_of_any_size_is_whole_with_its_last_byte(size: int) -> None:
    reader = ConsoleCallParser(1000, 1000)
    pieces = [CALL[at : at + size] for at in range(0, len(CALL), size)]
    found = [reader.feed(piece) for piece in pieces]
    assert found == [None] * (len(pieces) - 1) + [ConsoleCall("POST", ("-", "caches", "s-1", "disable"))]


@pytest.mark.parametrize(
    "head",
    [
        b"GET /-/ready\r\n\r\n",
        b"FETCH /-/ready HTTP/1.1\r\n\r\n",
        b"GET /-/ready HTTP/3\r\n\r\n",
        b"GET ready HTTP/1.1\r\n\r\n",
        b"GET /-/ready HTTP/1.1\r\nnonsense\r\n\r\n",
        b"GET /\xff HTTP/1.1\r\n\r\n",
        b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        b"POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n",
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"GET /" + b"a" * 1000,
    ],
)
def test_what_is_no_call_is_said_to_be_none(head: bytes) -> None:
    with pytest.raises(ConsoleProtocolError):
        ConsoleCallParser(1000, 1000).feed(head)


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
def test_messages_between_two_processes_come_whole_in_pieces_of_any_size(size: int) -> None:
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
def test_a_line_that_is_no_message_is_said_to_be_none(line: bytes) -> None:
    with pytest.raises(twin.LinkProtocolError):
        twin.unpack(line)


def raw(p: Platform, data: bytes) -> bytes:
    """All that the console answers to some bytes, until it closes."""
    with socket.create_connection(p.console, timeout=WAIT) as connection:
        connection.sendall(data)
        return connection.makefile("rb").read()


def test_the_console_says_why_and_closes(p: Platform) -> None:
    p.ready()
    assert p.call("/-/ready", "GET") == (200, "ready\n")
    assert p.call("/-/nothing", "GET")[0] == 404 and p.call("/-/ready")[0] == 405
    assert raw(p, b"nonsense\r\n\r\n").startswith(b"HTTP/1.1 400 ")
    head, _, body = raw(p, b"POST /-/ready HTTP/1.1\r\n\r\n").partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    assert {"Connection: close", f"Content-Length: {len(body)}", "Allow: GET, HEAD"} <= set(lines) and body


def test_half_calls_in_any_number_hold_up_no_whole_one(p: Platform) -> None:
    p.ready()
    with contextlib.ExitStack() as held:
        for _ in range(60):  # far more than the console's own share of descriptors
            half = held.enter_context(socket.create_connection(p.console, timeout=WAIT))
            half.sendall(b"GET /-/ready HTT")
        assert p.call("/-/ready", "GET")[0] == 200
        until(lambda: p.counted("console_half_calls") >= 44, "the oldest make room")
        assert len(list(Path(f"/proc/{p.process.pid}/fd").iterdir())) < 60


def test_a_newer_process_takes_over_and_the_older_one_loses_nothing(p: Platform) -> None:
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


def test_no_request_is_lost_at_the_door_while_processes_change(p: Platform) -> None:
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


def test_where_the_older_process_dies_the_newer_one_serves_at_once(p: Platform) -> None:
    p.ready()
    older = p.process
    p.start()
    p.logged("event=successor_connected")
    older.send_signal(signal.SIGKILL)
    p.logged("event=predecessor_ended")
    p.ready()
    assert p.call("/-/ready", "GET")[0] == 200


def test_where_the_newer_process_dies_the_older_one_serves_on_and_is_replaced_later(p: Platform) -> None:
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


def test_both_processes_together_stay_within_one_limit_of_descriptors(p: Platform) -> None:
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


def ready(client: Client) -> bool:
    client.number += 1
    client.socket.sendall(pack([0, client.number, "alive", [{}]]))
    answer = client.answer()
    return answer is not None and answer[3] is not None and answer[3][0] is True


def test_a_drain_serves_late_comers_and_closes_all_in_time_and_resume_undoes_it(p: Platform) -> None:
    idle, busy, stuck = p.client(), p.client(), p.client()
    assert ready(idle) and ready(busy) and ready(stuck)
    began = time.monotonic()
    assert p.call("/-/drain")[0] == 200 and p.call("/-/drain")[0] == 200
    assert p.call("/-/ready", "GET")[0] == 503
    late = p.client()
    assert not ready(late)
    late.ask(call="00000000000000aa", row="00000000000000aa")
    p.box.answer("HIT", "-", b"x")
    assert late.answer()[3][0] == b"x"
    busy.ask("charge", call="00000000000000bb", ttl="1200")
    origin, words = p.origin.line()
    stuck.ask("charge", call="00000000000000cc", ttl="2095")
    p.origin.line()
    assert idle.answer() is None and late.answer() is None  # closed while they were quiet
    origin.sendall(f"{words[1]} HIT - 1\r\ny\r\n".encode())
    assert busy.answer()[3][0] == b"y" and busy.answer() is None
    time.sleep(max(0.0, began + 1.6 - time.monotonic()))  # a point in the drain's own time
    stuck.ask("charge", call="00000000000000c1", ttl="2000")
    p.origin.line()
    assert stuck.answer()[2][0] == "Aborted"  # its time is over; it may have run
    time.sleep(max(0.0, began + 2.7 - time.monotonic()))
    stuck.ask("charge", call="00000000000000c2")
    assert stuck.answer()[1:3] == [4, ["TryLater", {"pushback": "200"}]]
    # What is still out is given up in time. It may have run, so it is no refusal.
    assert stuck.answer()[1:3] == [3, ["Aborted", {}]] and stuck.answer() is None
    assert time.monotonic() - began < 3.8 and p.process.poll() is None
    assert not ready(p.client())
    assert p.call("/-/resume")[0] == 200 and p.call("/-/resume")[0] == 200
    client = p.client()
    assert ready(client) and p.call("/-/ready", "GET")[0] == 200
    client.ask(call="00000000000000dd")
    p.box.answer("HIT", "-", b"z")
    assert client.answer()[3][0] == b"z"


def test_resume_in_the_middle_of_a_drain_keeps_what_is_left(p: Platform) -> None:
    client = p.client()
    assert ready(client)
    client.ask("charge")
    origin, words = p.origin.line()
    assert p.call("/-/drain")[0] == 200
    idle = p.client()
    assert not ready(idle) and idle.answer() is None  # by now connections close
    assert p.call("/-/resume")[0] == 200
    origin.sendall(f"{words[1]} HIT - 1\r\ny\r\n".encode())
    assert client.answer()[3][0] == b"y" and ready(client)


def test_a_drain_holds_for_both_processes(p: Platform) -> None:
    client = p.client()
    assert ready(client)
    p.start()
    p.logged("event=successor_connected")
    assert p.call("/-/drain")[0] == 200  # told to the newer one, which does not listen for clients yet
    assert not ready(client)
    p.logged("event=successor_ready")
    assert not ready(p.client()) and p.call("/-/ready", "GET")[0] == 503


def with_second_box(p: Platform) -> socket.socket:
    """Publish a second cache, at the address where the test else has the parent."""
    bulletin = p.publish(
        {"no": 2, "roster": {"reset": False, "instances": [p.entry("box-2", p.parent)]}},
        {"no": 3, "recall": {"lot": 1, "issued": 1}},
    )
    until(lambda: p.counted("purges") == 1, "the second cache is listed")
    return bulletin


def share(p: Platform, client: Client, start: int) -> int:
    """How many of 24 objects are asked for at the first cache; the other one serves the rest."""
    count = 0
    for number in range(start, start + 24):
        client.ask(call=f"{number:016x}", row=f"{number:016x}")
        asked = until(lambda: not p.box.lines.empty() or not p.parent.lines.empty(), "a cache is asked")
        party = p.parent if p.box.lines.empty() else p.box
        assert asked and "via=box-1" not in party.answer("HIT", "detail=HIT", b"x")[2]
        assert client.answer()[3][0] == b"x"
        count += party is p.box
    return count


def test_a_cache_out_by_hand_gets_nothing_whatever_the_list_says_until_it_is_put_back(p: Platform) -> None:
    client = p.client()
    bulletin = with_second_box(p)
    assert 0 < share(p, client, 100) < 24
    assert p.call("/-/caches/nosuch/disable")[0] == 404 and p.call("/-/caches/nosuch/enable")[0] == 404
    assert p.call("/-/caches/box-1/enable") == (200, "back; left out now: none\n")
    assert p.call("/-/caches/box-1/disable") == (200, "out; left out now: box-1\n")
    assert p.call("/-/caches/box-1/disable")[0] == 200
    assert share(p, client, 200) == 0
    moved = Party()  # a new instance, at a new address, in a whole list
    later = p.entry("box-1", moved, startedAtMs=int(time.time() * 1000) - 60_000)
    whole = [later, p.entry("box-2", p.parent), *p.roster[1:]]
    for event in (
        {"no": 4, "roster": {"reset": True, "instances": whole}},
        {"no": 5, "recall": {"lot": 1, "issued": 1}},
    ):
        bulletin.sendall(json.dumps(event).encode() + b"\n")
    until(lambda: p.counted("purges") == 2, "the whole list is in")
    assert share(p, client, 300) == 0 and moved.accepted.empty()
    assert p.call("/-/caches/box-1/enable")[0] == 200
    p.box = moved
    assert share(p, client, 400) > 0


def test_bans_outlive_the_process_and_hold_for_both_while_one_replaces_the_other(p: Platform) -> None:
    client = p.client()
    with_second_box(p)
    assert p.call("/-/caches/box-1/disable")[0] == 200
    older, console = p.process, p.console
    p.start()
    p.logged("event=successor_connected")
    # Told to either, both obey: the older one serves this client still.
    assert p.call("/-/caches/box-1/enable")[0] == 200
    assert share(p, client, 500) > 0
    calls = (("box-1", console), ("parent-1", p.console))
    paths = [(f"/-/caches/{cache}/disable", "POST", at) for cache, at in calls]
    both = [threading.Thread(target=p.call, args=args) for args in paths]
    for thread in both:
        thread.start()
    for thread in both:
        thread.join()
    assert share(p, client, 600) == 0
    p.ready()
    older.kill()
    p.process.kill()
    p.start()
    p.ready()
    assert p.call("/-/caches/box-2/enable")[0] == 404  # not in this one's list: it was published later
    assert p.call("/-/caches/parent-1/disable") == (200, "out; left out now: box-1, parent-1\n")
    late = p.client()
    late.ask(call="00000000000000aa")
    assert "via" not in told(p.origin.answer("HIT", "-", b"x")) and late.answer()[3][0] == b"x"


def test_bans_that_cannot_be_read_are_one_line_in_the_log_and_an_empty_start(p: Platform) -> None:
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


def test_a_ban_that_cannot_be_saved_is_no_yes(p: Platform) -> None:
    p.ready()
    p.folder.cleanup()
    status, why = p.call("/-/caches/box-1/disable")
    assert status == 503 and "not saved" in why


def test_an_order_in_the_first_moment_of_a_process_waits_until_the_older_one_is_known(tmp_path: Path) -> None:
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
