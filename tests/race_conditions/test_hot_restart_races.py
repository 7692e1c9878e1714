"""One process replaces another, and one of them goes, or a third comes, in the middle."""

import asyncio
import socket
import time
from pathlib import Path

from harness import WAIT, platform
from rig_shutdown import asked, reply, served

from paddlequay.config.limits import Limits
from paddlequay.lifecycle.operator_state import OperatorState
from paddlequay.net.hot_restart import HotRestart
from paddlequay.observability.counters import Counters
from paddlequay.requests.executed_ids import ExecutedIds
from paddlequay.requests.quotas import ProcessQuotas


def made(folder: Path) -> HotRestart:
    limits = Limits()
    state, executed_ids = OperatorState(folder / "a.json"), ExecutedIds(time.monotonic)
    return HotRestart(folder / "a.sock", state, ProcessQuotas(limits), executed_ids, limits, Counters())


def test_a_third_process_waits_for_the_takeover_in_progress(tmp_path: Path) -> None:
    """Turned away by the older process, it took itself for the only one, and served beside two others."""

    async def play() -> None:
        older, second, third = (made(tmp_path) for _ in range(3))
        assert not await older.find_predecessor()
        first = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        first.connect(str(older.path))  # the second one, on its way: not to be found itself yet
        while older.successor is None:
            await asyncio.sleep(0.001)
        asked = asyncio.ensure_future(third.find_predecessor())
        await asyncio.sleep(0.1)  # it has been turned away by now, and asks again
        assert not asked.done()
        second.listen()
        assert await asked and second.successor is not None and third.predecessor is not None
        first.close()
        for each in (older, second, third):
            each.close()

    asyncio.run(asyncio.wait_for(play(), WAIT))


def test_a_successor_is_alone_at_once_if_its_predecessor_exits_before_its_first_message(
    tmp_path: Path,
) -> None:
    async def play() -> None:
        newer = made(tmp_path)
        older = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        older.bind(str(newer.path))
        older.listen()
        older.setblocking(False)
        asked = asyncio.ensure_future(newer.find_predecessor())
        link = (await asyncio.get_running_loop().sock_accept(older))[0]
        older.close()
        link.close()
        began = time.monotonic()
        assert not await asked and newer.predecessor is None
        assert time.monotonic() - began < 0.5 * newer.limits.link_connect_timeout
        newer.close()

    asyncio.run(asyncio.wait_for(play(), WAIT))


def test_an_unusable_hot_restart_message_closes_the_link_in_order(tmp_path: Path) -> None:
    """The link counted as open for good, and with it a newer process that takes clients."""

    async def play() -> None:
        older, newer = made(tmp_path), made(tmp_path)
        assert not await older.find_predecessor() and await newer.find_predecessor()
        newer.announce_ready()
        while not older.replaced:
            await asyncio.sleep(0.001)

        def fail() -> None:
            raise ValueError("cannot be acted on")

        older.on_replaced = fail
        newer.announce_ready()
        while older.successor is not None or newer.predecessor is not None:
            await asyncio.sleep(0.001)
        assert not older.replaced and older.counters.counts["hot_restart_errors"] == 1
        older.close()
        newer.close()

    asyncio.run(asyncio.wait_for(play(), WAIT))


def test_sigterm_to_the_predecessor_before_its_successor_is_ready_loses_no_request() -> None:
    """What the older one holds is answered; the newer one waits no longer than the older one lives."""
    with platform() as p:
        p.ready()
        older, client = p.process, p.client()
        connection, words = asked(p, client)
        p.start()  # waits for the bulletin's word, which does not come
        p.logged("event=successor_connected")
        older.terminate()
        p.logged("event=shutdown_started")
        reply(connection, words, b"x")
        assert client.answer()[3][0] == b"x" and client.answer() is None
        assert older.wait(WAIT) == 0
        p.ready()
        served(p, p.client())
        assert not any("Traceback" in line for line in p.log)
