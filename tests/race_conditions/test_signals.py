"""Signals at any moment: before the program can act on them, while it takes over, and while it goes."""

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from harness import ROOT, WAIT, Party, Platform, platform
from rig_shutdown import asked, reply, served

from paddlequay.lab.ports import free_port


@pytest.fixture
def p() -> Iterator[Platform]:
    with platform() as made:
        yield made


def beside(p: Platform, folder: Path, **environment: str) -> "subprocess.Popen[str]":
    """A router of its own under the same settings."""
    told = {"ROUTER_CONFIG": p.config, "ROUTER_LISTEN": f"127.0.0.1:{free_port()}", "TMPDIR": str(folder)}
    process = subprocess.Popen(
        [sys.executable, "-m", "paddlequay"],
        cwd=ROOT,
        env=os.environ | told | environment,
        stderr=subprocess.PIPE,
        text=True,
    )
    p.processes.append(process)
    return process


@pytest.mark.parametrize("name", ["SIGTERM", "SIGHUP", "SIGUSR1"])
def test_a_signal_during_configuration_takes_effect_afterwards(
    p: Platform, name: str, tmp_path: Path
) -> None:
    """SIGTERM and SIGUSR1 killed it; a SIGHUP was lost, and with it the move to another discovery."""
    pipe = tmp_path / "config.json"
    os.mkfifo(pipe)
    process = beside(p, tmp_path, ROUTER_CONFIG=str(pipe))
    config = json.loads(Path(p.config).read_text())
    moved = Party()
    with open(pipe, "w") as file:  # opens once the program reads
        process.send_signal(getattr(signal, name))
        (tmp_path / "next").write_text(json.dumps(config | {"bulletin": moved.address}))
        (tmp_path / "next").replace(pipe)
        json.dump(config, file)
    if name == "SIGHUP":
        assert moved.line()[1][0] == "after"
    if name != "SIGTERM":
        process.terminate()
    _, said = process.communicate(timeout=WAIT)
    assert process.returncode == 0 and "Traceback" not in said
    assert "event=serving" in said or name == "SIGTERM"


THREAD = "import threading, time\nthreading.Thread(target=time.sleep, args=(60,), daemon=True).start()\n"


@pytest.mark.parametrize("beside_main", ["", THREAD], ids=["alone", "beside a library's thread"])
@pytest.mark.parametrize("name", ["SIGTERM", "SIGHUP", "SIGUSR1"])
def test_a_signal_during_imports_does_not_kill_the_process(
    p: Platform, name: str, beside_main: str, tmp_path: Path
) -> None:
    """SIGHUP ended the router before its first line."""
    gate, pipe = tmp_path / "gate", tmp_path / "pipe"
    gate.mkdir()
    os.mkfifo(pipe)
    (gate / "tornado.py").write_text(  # found first, it waits for the test, then makes room for the real one
        f"import sys\nopen({str(pipe)!r}).read()\nsys.path.remove({str(gate)!r})\n"
        "del sys.modules['tornado']\nimport tornado\n"
    )
    (gate / "sitecustomize.py").write_text(beside_main)
    process = beside(p, tmp_path, PYTHONPATH=str(gate))
    with open(pipe, "w"):
        process.send_signal(getattr(signal, name))
        time.sleep(0.05)  # its default action would be done by now
        assert process.poll() is None
    if name != "SIGTERM":
        process.terminate()
    _, said = process.communicate(timeout=WAIT)
    assert process.returncode == 0 and "Traceback" not in said
    assert name != "SIGUSR1" or "why=signal" in said


def test_repeated_signals_do_not_disturb_the_shutdown(p: Platform) -> None:
    """Once the event loop is closed their default actions came back: a second SIGTERM or a SIGHUP there was
    an exit by a signal."""
    client = p.client()
    connection, words = asked(p, client)
    stop = threading.Event()

    def send() -> None:
        while not stop.is_set():
            for name in (signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1):
                p.process.send_signal(name)
            time.sleep(0.01)  # faster, reading the configuration each time is all that a busy core gets done

    thread = threading.Thread(target=send, daemon=True)
    thread.start()
    p.logged("event=shutdown_started")
    reply(connection, words, b"last")
    assert client.answer()[3][0] == b"last"
    code = p.process.wait(timeout=2 * WAIT)
    stop.set()
    thread.join()
    assert code == 0 and not any("Traceback" in line for line in p.log)


def test_sigterm_during_a_takeover_leaves_the_predecessor_unchanged(p: Platform) -> None:
    """It went on for up to 2.5 s, took the door for a moment, and had the older one close its connections."""
    p.ready()
    older, client = p.process, p.client()
    newer = p.start()  # waits for the bulletin's word, which does not come
    p.logged("event=successor_connected")
    newer.terminate()
    p.logged("event=successor_ended")
    assert newer.wait(WAIT) == 0
    assert not any("event=successor_ready" in line or "Traceback" in line for line in p.log)
    served(p, client)
    assert older.poll() is None


def test_sigterm_while_searching_for_a_predecessor_exits_at_once(p: Platform, tmp_path: Path) -> None:
    silent = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    silent.bind(str(tmp_path / "paddlequay-n0.sock"))
    silent.listen()
    process = beside(p, tmp_path)
    link = silent.accept()[0]  # and nothing is said on it
    assert link.recv(1)
    process.terminate()
    _, said = process.communicate(timeout=WAIT)
    assert process.returncode == 0 and "event=serving" not in said and "Traceback" not in said
    silent.close()


def test_sigterm_during_a_drain_answers_open_requests(p: Platform) -> None:
    client = p.client()
    connection, words = asked(p, client)
    assert p.call("/-/drain")[0] == 200
    p.process.terminate()
    p.logged("event=shutdown_started")
    reply(connection, words, b"last")
    assert client.answer()[3][0] == b"last"
    assert client.answer() is None and p.process.wait(WAIT) == 0
    assert not any("Traceback" in line for line in p.log)
