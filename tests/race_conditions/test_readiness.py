"""A process that has just been started: how soon it says yes, and what its start is spent on."""

import contextlib
import os
import queue
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest
from harness import ROOT, Client, platform

from paddlequay.config.limits import Limits
from paddlequay.lab.ports import free_port
from paddlequay.protocol import msgpack

READY_S = 10.0  # nine in ten restarted processes, by the operators' acceptance
ALONE_S = 2.0  # of its own core, where nothing is in its way
TOGETHER, FORTY = 8, 40
CLIENTS = 19  # of the rig's sixty descriptors
# What a start may use of a core. Other work runs beside these tests, so that what is held is the time used.
START_CPU_S = 1.0
NOT_FOR_ROUTING = (
    "paddlequay.cli", "paddlequay.lab", "paddlequay.schema", "paddlequay.cluster", "paddlequay.hierarchy",
    "paddlequay.store", "paddlequay.discovery", "paddlequay.simulator", "paddlequay.adapter",
    "google", "click", "lark", "dns", "grpc", "numpy", "matplotlib", "unittest", "email",
)  # fmt: skip


def alive(client: Client) -> Any:
    """What a front is told on this connection; None where it was closed."""
    client.number += 1
    client.socket.sendall(msgpack.pack([0, client.number, "alive", [{}]]))
    answer = client.answer()
    return None if answer is None else answer[3][0]


def cpu_of(process: "subprocess.Popen[str]") -> float:
    """Seconds of a core that a process has used so far."""
    with open(f"/proc/{process.pid}/stat") as file:
        ticks = file.read().rpartition(")")[2].split()[11:13]
    return sum(map(int, ticks)) / os.sysconf("SC_CLK_TCK")


@contextlib.contextmanager
def nobody() -> Iterator[str]:
    """An address at which nobody listens."""
    yield f"127.0.0.1:{free_port()}"


@contextlib.contextmanager
def silent() -> Iterator[str]:
    """An address that accepts and says nothing."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        yield f"127.0.0.1:{listener.getsockname()[1]}"


@contextlib.contextmanager
def full() -> Iterator[str]:
    """An address whose listen queue is full: connections to it never come up."""
    with contextlib.ExitStack() as held:
        listener = held.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for _ in range(4):
            waiting = held.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(listener.getsockname())
        yield f"127.0.0.1:{listener.getsockname()[1]}"


def long_known(members: int, purges: int) -> dict[str, Any]:
    """A list of so many caches, and so many purges that were all issued just now."""
    box = {"zone": "here", "machineType": "box", "cell": 0, "lifecycle": "in_service", "weight": 1}
    named = [
        box | {"instanceId": f"box-{n}", "hostPort": f"127.0.{n >> 8}.{n & 255}:9", "startedAtMs": 0}
        for n in range(members)
    ]
    items: list[dict[str, Any]] = [{"no": 1, "roster": {"reset": True, "instances": named}}]
    issued = int(time.time() * 1000)
    items += [{"no": n + 2, "recall": {"item": f"{n:016x}", "issued": issued}} for n in range(purges)]
    return {"no": len(items), "items": items}


@pytest.mark.parametrize("discovery", [nobody, silent, full])
def test_the_program_is_ready_from_its_configuration_while_discovery_is_down(
    discovery: Callable[[], contextlib.AbstractContextManager[str]],
) -> None:
    with discovery() as bulletin, platform(bulletin=bulletin) as made:
        client = made.client()
        assert alive(client) is True
        used = cpu_of(made.process)
        assert used < START_CPU_S < ALONE_S
        client.ask()
        assert made.box.line()[1][0] == "ASK"  # and it serves by that list


def test_a_configuration_with_thousands_of_members_applies_before_readiness() -> None:
    known = long_known(members=3000, purges=3000)
    with nobody() as bulletin, platform(bulletin=bulletin, known=known) as made:
        assert alive(made.client()) is True
        assert cpu_of(made.process) < ALONE_S


def test_an_empty_endpoint_list_does_not_delay_readiness() -> None:
    with nobody() as bulletin, platform(bulletin=bulletin, known={"no": 0, "items": []}) as made:
        client = made.client()
        assert alive(client) is True
        client.ask()
        answer = client.answer()
        assert answer[2][0] == "TryLater"  # said at once, and harmless


def test_processes_started_together_on_one_core_become_ready_in_their_share_of_it() -> None:
    """Who waits for the core waits for the others' starts: what each uses of it is what counts."""
    allowed = os.sched_getaffinity(0)
    with contextlib.ExitStack() as stack:
        bulletin = stack.enter_context(nobody())
        os.sched_setaffinity(0, {min(allowed)})  # taken over by what is started from here
        try:
            every = [stack.enter_context(platform(bulletin=bulletin)) for _ in range(TOGETHER)]
        finally:
            os.sched_setaffinity(0, allowed)
        waiting = list(every)

        def all_said_yes() -> bool:
            for made in list(waiting):
                with contextlib.suppress(ConnectionRefusedError):
                    if alive(Client(made.address)) is True:
                        waiting.remove(made)
            return not waiting

        end = time.monotonic() + 4 * READY_S  # the core is not theirs alone
        while not all_said_yes():
            assert time.monotonic() < end, waiting
            time.sleep(0.02)
        for made in every:
            assert made.process.poll() is None
            assert cpu_of(made.process) < START_CPU_S
        for made in every:  # on the one core, which others may use, their ends would be waited for in turn
            os.sched_setaffinity(made.process.pid, allowed)
            made.process.kill()


def test_reconnecting_clients_at_startup_are_served_without_delaying_readiness() -> None:
    """All stand in the listen queue with a request each when the process accepts for the first time."""
    with nobody() as bulletin, platform(bulletin=bulletin) as made:
        made.client().socket.close()  # it listens
        made.process.kill()
        made.process.wait()
        made.start()
        first = made.client()
        made.process.send_signal(signal.SIGSTOP)
        clients = [first] + [Client(made.address) for _ in range(CLIENTS - 2)]
        for number, client in enumerate(clients):
            client.ask(call=f"{number:016x}", row=f"{number:016x}")
        front = Client(made.address)
        front.socket.sendall(msgpack.pack([0, 1, "alive", [{}]]))
        made.process.send_signal(signal.SIGCONT)
        assert front.answer()[3][0] is True
        # What one cache can surely bear goes out to it; the rest is turned away, which is an answer too.
        owed = set(clients)
        while owed:
            with contextlib.suppress(queue.Empty):
                connection, words = made.box.lines.get(timeout=0.01)
                if words[0] != "ASK":
                    continue
                held = f"{words[1]} HIT tag=1,minted={int(time.time() * 1000)},detail=HIT 1\r\nx\r\n"
                connection.sendall(held.encode())
            for client in [client for client in owed if client.answered()]:
                _, _, error, result = client.answer()
                assert result[0] == b"x" if error is None else error[0] == "TryLater"
                owed.remove(client)
        assert not made.counted("rejected_connections")


def test_silent_connections_in_the_backlog_at_startup_do_not_delay_readiness() -> None:
    with nobody() as bulletin, platform(bulletin=bulletin) as made:
        first = made.client()
        made.process.send_signal(signal.SIGSTOP)
        mute = [first] + [Client(made.address) for _ in range(3 * CLIENTS)]
        front = Client(made.address)
        front.socket.sendall(msgpack.pack([0, 1, "alive", [{}]]))
        made.process.send_signal(signal.SIGCONT)
        assert front.answer()[3][0] is True
        for client in mute:
            client.socket.close()


def test_files_of_a_killed_process_do_not_delay_the_next_one() -> None:
    with nobody() as bulletin, platform(bulletin=bulletin) as made:
        made.client()
        made.process.kill()
        made.process.wait()
        assert os.listdir(made.folder.name)  # the socket file by which a newer process would find it
        made.start()
        assert alive(made.client()) is True
        assert "beside_predecessor=False" in made.logged("event=serving beside_predecessor=False")


def test_a_hanging_predecessor_delays_its_successor_for_a_bounded_time() -> None:
    with nobody() as bulletin, platform(bulletin=bulletin) as made:
        assert alive(made.client()) is True
        older = made.process
        older.send_signal(signal.SIGSTOP)
        newer = made.start()
        bound = time.monotonic() + 4 * READY_S  # of start and wait, on a core that is not its own
        while not (told := [line for line in made.log if "event=serving beside_predecessor=True" in line]):
            assert time.monotonic() < bound
            time.sleep(0.02)
        after = told[0].rpartition("after=")[2]
        assert float(after) < Limits().link_connect_timeout + Limits().warm_up_timeout + 1.0 < READY_S
        older.kill()
        assert newer.poll() is None


def test_routing_loads_nothing_that_only_other_modes_use() -> None:
    told = "import sys, paddlequay.programs.router; print(*sys.modules)"
    out = subprocess.run([sys.executable, "-c", told], cwd=ROOT, capture_output=True, text=True, check=True)
    loaded = out.stdout.split()
    assert "paddlequay.net.clients.client_front" in loaded  # all that routing needs is among it
    unused = [name for name in loaded for other in NOT_FOR_ROUTING if f"{name}.".startswith(f"{other}.")]
    assert not unused
