"""Descriptors that run out: the door waits for one, and who is served already does not notice."""

import os
import resource
import time
from collections.abc import Iterator

import pytest
from harness import WAIT, Client, Platform, platform, until
from rig_shutdown import asked, reply, served

from paddlequay.protocol import msgpack


@pytest.fixture
def p() -> Iterator[Platform]:
    with platform(limits={"sockets": 300, "memory_mb": 192}) as made:
        yield made


def lower(p: Platform, free: int) -> None:
    """Leave the router so many descriptors that it does not use yet."""
    used = len(os.listdir(f"/proc/{p.process.pid}/fd"))
    resource.prlimit(p.process.pid, resource.RLIMIT_NOFILE, (used + free, used + free))


def full(p: Platform) -> None:
    """Wait until it has met the limit at a door."""
    said = ("EMFILE", "Too many open files")
    until(lambda: any(word in line for line in list(p.log) for word in said), "no descriptor is left")


def cpu(p: Platform) -> float:
    """Seconds of CPU that the router has used."""
    with open(f"/proc/{p.process.pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def test_a_listener_without_descriptors_waits_and_affects_no_open_connection(p: Platform) -> None:
    """Each turn of the loop tried again and logged its trace, at a full core."""
    early = p.client()
    connection, words = asked(p, early)
    lower(p, free=4)
    crowd = [Client(p.address) for _ in range(20)]
    full(p)
    before, used, began = len(p.log), cpu(p), time.monotonic()
    time.sleep(0.5)  # measured over this time
    assert cpu(p) - used < 0.3 * (time.monotonic() - began) and len(p.log) - before < 10
    reply(connection, words, b"x")
    assert early.answer()[3][0] == b"x"
    late = crowd.pop()  # it waits in the queue, and asks there whether the router takes clients
    late.socket.sendall(msgpack.pack([0, 1, "alive", [{}]]))
    assert not late.answered()
    for each in crowd:
        each.socket.close()
    assert late.answer()[3][0] is True
    served(p, late)
    assert p.end() == 0
    assert early.answer() is None  # one answer, and the end
    assert not any("Traceback" in line for line in p.log)


def test_a_shutdown_accepts_the_backlog_though_no_descriptor_is_left(p: Platform) -> None:
    """The first refused accept left the rest of the queue to be reset."""
    early = p.client()
    served(p, early)
    lower(p, free=4)
    crowd = [Client(p.address) for _ in range(20)]
    full(p)
    late = crowd.pop()
    p.process.terminate()
    late.ask()  # in the queue, behind those that say nothing
    p.box.answer("HIT", "-", b"x")
    assert late.answer()[3][0] == b"x"
    assert p.process.wait(2 * WAIT) == 0


def test_the_console_waits_for_a_descriptor_as_well(p: Platform) -> None:
    p.ready()
    early = p.client()
    lower(p, free=2)
    crowd = [Client(p.address) for _ in range(5)]
    full(p)
    before = len(p.log)
    late = Client(p.console)
    late.socket.sendall(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
    time.sleep(0.2)  # measured over this time
    assert len(p.log) - before < 10
    for each in crowd:
        each.socket.close()
    assert late.socket.recv(100).startswith(b"HTTP/1.1 200")
    assert early.socket.fileno() >= 0 and p.end() == 0
