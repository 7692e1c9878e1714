"""Tasks that run beside everything else: one that fails is told, and goes on."""

import asyncio
import itertools
import logging
import os
import socket
from pathlib import Path

import pytest
from harness import Client, platform, until
from rig_shutdown import asked, reply, served
from test_descriptors import full, lower

from paddlequay.lifecycle.background import MIN_BACKOFF_S, TaskSupervisor
from paddlequay.observability.counters import Counters


def test_a_task_that_ends_is_logged_once_and_restarted_with_backoff(caplog: pytest.LogCaptureFixture) -> None:
    """By an error, by itself, and by the cancelling of what it waited for: each time it goes on."""
    at: list[float] = []

    async def work() -> None:
        at.append(asyncio.get_running_loop().time())
        if len(at) == 1:
            raise ValueError("first")
        if len(at) == 2:
            waited: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            waited.cancel()
            await waited
        if len(at) == 4:
            await asyncio.Event().wait()

    async def play() -> TaskSupervisor:
        made = TaskSupervisor(Counters())
        made.supervise("work", work)
        while len(at) < 4:
            await asyncio.sleep(0.005)
        await made.stop()
        assert not made.tasks
        return made

    with caplog.at_level(logging.ERROR):
        made = asyncio.run(asyncio.wait_for(play(), 5))
    assert made.counters.counts["background_errors.work"] == 3
    assert [record.getMessage() for record in caplog.records] == ["background_failed"]
    pauses = [after - before for before, after in itertools.pairwise(at)]
    assert all(pause >= least * MIN_BACKOFF_S for pause, least in zip(pauses, (1.9, 3.9, 7.9), strict=True))


def test_an_unobserved_error_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    async def work() -> None:
        raise ValueError("alone")

    async def play() -> Counters:
        made = TaskSupervisor(Counters())
        await asyncio.wait((made.spawn("work", work()),))
        await asyncio.sleep(0)
        return made.counters

    with caplog.at_level(logging.ERROR):
        counters = asyncio.run(play())
    assert counters.counts["background_errors.work"] == 1 and "alone" in caplog.text


BEATS = """
from paddlequay.lifecycle.overload import OverloadGuard
real, beats = OverloadGuard.sample, []
def sample(self, now, cpu):
    beats.append(now)
    if len(beats) < 4:
        raise ValueError("a beat fails")
    return real(self, now, cpu)
OverloadGuard.sample = sample
"""


def test_a_failed_heartbeat_is_not_the_last(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The task ended unseen: no connection was watched and no load told from then on."""
    (tmp_path / "sitecustomize.py").write_text(BEATS)
    monkeypatch.setenv("PYTHONPATH", os.pathsep.join((str(tmp_path), os.getcwd())))
    with platform() as p:
        client = p.client()
        until(lambda: p.counted("background_errors.heartbeat") == 3, "it has failed, and gone on")
        assert sum("background_failed" in line for line in p.log) == 1
        served(p, client)
        assert p.end() == 0


def test_the_endpoint_watch_recovers_where_clients_fill_the_descriptors() -> None:
    """One refused socket while discovery was away ended the following for good."""
    with platform(limits={"sockets": 300, "memory_mb": 192}) as p:
        early = p.client()
        box, words = asked(p, early)
        bulletin = p.publish()
        lower(p, free=3)
        crowd = [Client(p.address) for _ in range(20)]
        full(p)
        reply(box, words, b"x")
        assert early.answer()[3][0] == b"x"
        bulletin.shutdown(socket.SHUT_RDWR)
        p.logged("event=endpoint_watch_lost")
        until(lambda: not p.bulletin.accepted.empty(), "followed again, while the crowd stays")
        for each in crowd:
            each.socket.close()
        served(p, early)
        assert p.end() == 0
