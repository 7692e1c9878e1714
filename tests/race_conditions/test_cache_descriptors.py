"""No descriptor left for a connection to a cache: with a lowered RLIMIT_NOFILE of the real program."""

import contextlib
import os
import resource
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from harness import Client, Platform, platform, until
from rig_caches import Rig, play


@pytest.fixture
def p() -> Iterator[Platform]:
    with platform() as made:
        yield made


@contextlib.contextmanager
def no_descriptors(p: Platform) -> Iterator[None]:
    """From here on each descriptor that the router asks for is refused with EMFILE; those it has stay."""
    pid = p.process.pid
    _, hard = kept = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    taken = {int(each) for each in os.listdir(f"/proc/{pid}/fd")}
    free = next(each for each in range(len(taken) + 1) if each not in taken)
    assert max(taken) < free, "a descriptor that is freed later must be under the limit"
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (free, hard))
    try:
        yield
    finally:
        resource.prlimit(pid, resource.RLIMIT_NOFILE, kept)


def settled(p: Platform, client: Client) -> None:
    """The router follows the bulletin, holds the client, and its descriptors stand in one row from 0 on."""
    pid = p.process.pid
    p.publish()
    client.ask("alive")
    assert client.answer()[3][0] is True
    until(
        lambda: (taken := [int(each) for each in os.listdir(f"/proc/{pid}/fd")])
        and max(taken) == len(taken) - 1,
        "no gap among the descriptors",
    )


@pytest.mark.parametrize("method", ["video", "charge"])
def test_without_a_descriptor_a_request_is_rejected_at_once_and_the_next_is_served(
    p: Platform, method: str
) -> None:
    client = p.client()
    settled(p, client)
    with no_descriptors(p):
        began = time.monotonic()
        for _ in range(20):
            client.ask(method)
        # Proved never sent: a charge, too, may be called harmless to try again. And no word on the member.
        assert [client.answer()[2][0] for _ in range(20)] == ["TryLater"] * 20
        assert time.monotonic() - began < 1.0
        assert p.counted("no_socket") >= 20 and p.counted("ended.connect_failed") == 0
    assert sum("no_socket" in line and "event=counters" not in line for line in p.log) == 1
    assert p.counted("decision_errors") == 0
    client.ask(method)
    (p.box if method == "video" else p.origin).answer("HIT", "-", b"x")
    assert client.answer()[3][0] == b"x"


def test_an_idle_connection_gives_its_descriptor_to_another_member(p: Platform) -> None:
    client = p.client()
    client.ask()
    p.box.answer("HIT", "-", b"x")
    assert client.answer()[3][0] == b"x"
    settled(p, client)
    with no_descriptors(p):
        client.ask("charge")
        p.origin.answer("HIT", "-", b"y")
        assert client.answer()[3][0] == b"y"


def test_without_descriptors_open_connections_carry_further_requests(p: Platform) -> None:
    client = p.client()
    charge = client.ask("charge")
    connection, words = p.origin.line()
    settled(p, client)
    with no_descriptors(p):
        for _ in range(6):  # more than are put on one connection while others can be had
            client.ask()
        for _ in range(6):
            p.origin.answer("HIT", "-", b"v")
            assert client.answer()[3][0] == b"v"
        connection.sendall(f"{words[1]} HIT - 1\r\nx\r\n".encode())
        assert client.answer()[1:] == [charge, None, [b"x", {}]]


def test_the_program_starts_and_serves_where_not_even_its_first_connections_get_a_descriptor(
    tmp_path: Path,
) -> None:
    """`Pool.warm` makes connections before the first request; a newer process has none to spare."""

    async def scene(rig: Rig) -> None:
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        lowest = os.dup(0)
        os.close(lowest)
        resource.setrlimit(resource.RLIMIT_NOFILE, (lowest, hard))
        try:
            await rig.pool.warm_up(["box", "aimag"])
            rig.ask("1")
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        assert not rig.pool.connections() and len(rig.replies) == 1
        await rig.pool.warm_up(["box"])
        assert rig.only().is_up

    play(tmp_path, scene)
