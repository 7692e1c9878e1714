"""The project's programs as processes, and the exit of a case."""

import asyncio
import contextlib
import json
import os
import signal
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from standins.events import EventStream
from standins.record import (
    BROKEN,
    CANNOT_RUN,
    HELD,
    HOST,
    POLL_S,
    READY_TIMEOUT_S,
    ROOT,
    CannotRunError,
    Record,
    free_port,
)


def deploy_command(name: str) -> str:
    """Returns a command of the deploy file."""
    for line in (ROOT / "deploy" / "balancer.toml").read_text().splitlines():
        key, _, value = line.partition("=")
        if key.strip() == name:
            return value.strip().strip('"')
    raise CannotRunError(f"deploy/balancer.toml has no {name}")


class Program:
    """A process of the project, with its log. It is ended by its own id."""

    def __init__(self, record: Record, name: str, folder: Path) -> None:
        self.record = record
        self.name = name
        self.folder = folder
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, command: str, **environment: str) -> None:
        """Starts the program from the repository's root, as the platform does."""
        log = (self.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, stdout=log, stderr=log, env=os.environ | environment
        )
        log.close()
        self.record.line(self.name, f"started, process {self.process.pid}")

    def send(self, number: signal.Signals) -> None:
        """Sends a signal."""
        if self.process is not None and self.process.returncode is None:
            self.record.line(self.name, f"gets {number.name}")
            self.process.send_signal(number)

    async def wait(self, timeout_s: float) -> int | None:
        """Waits for the end; returns the exit code, None if it does not end in time."""
        assert self.process is not None
        with contextlib.suppress(TimeoutError):
            code = await asyncio.wait_for(self.process.wait(), timeout_s)
            self.record.line(self.name, f"ended, exit code {code}")
            return code
        return None

    async def kill(self) -> None:
        """Ends the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def call_console(port: int, path: str, method: str = "GET") -> int:
    """Returns the status of a call to a console; 0 if nobody answers."""

    def call() -> int:
        request = urllib.request.Request(f"http://{HOST}:{port}{path}", method=method)
        try:
            with urllib.request.urlopen(request, timeout=1.0) as answer:
                return int(answer.status)
        except urllib.error.HTTPError as error:
            return int(error.code)
        except OSError:
            return 0

    return await asyncio.to_thread(call)


async def wait_until_ready(console: int, timeout_s: float = READY_TIMEOUT_S) -> None:
    """Waits for the yes of a console; raises `CannotRunError` if it does not come."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        if await call_console(console, "/-/ready") == 200:
            return
        await asyncio.sleep(POLL_S)
    raise CannotRunError(f"nothing is ready at console port {console}")


@dataclass(slots=True)
class RouterPlace:
    """Where one router runs: its folder, its port for clients and its configuration file."""

    record: Record
    folder: Path
    port: int
    config: Path

    async def start(self, name: str) -> tuple[Program, int]:
        """Starts one process of the router by the deploy file's `run`; returns it and its console's port."""
        console = free_port()
        program = Program(self.record, name, self.folder)
        await program.start(
            deploy_command("run"),
            ROUTER_CONFIG=str(self.config),
            ROUTER_CONSOLE=f"{HOST}:{console}",
            TMPDIR=str(self.folder),
        )
        return program, console


def router_place(
    record: Record, folder: Path, endpoint_list: EventStream, settings_: Mapping[str, Any]
) -> RouterPlace:
    """Writes a router's configuration as DEPLOY shows it."""
    port = free_port()
    config = folder / "config.json"
    data = {
        "name": "n1",
        "listen": f"{HOST}:{port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "bulletin": f"{HOST}:{endpoint_list.port}",
        "known": endpoint_list.known,
        "settings": settings_,
    }
    config.write_text(json.dumps(data))
    return RouterPlace(record, folder, port, config)


def tier_settings(name: str, port: int, console: int, feed: int) -> str:
    """Returns the settings file of a tier's node, with the classes of `deploy/tier.txtpb`."""
    group = name.rpartition("-")[0]
    return (
        f'tier {{\n  name: "{name}"\n  group: "{group}"\n  listen: "{HOST}:{port}"\n'
        f'  console: "{HOST}:{console}"\n  feed: "{HOST}:{feed}"\n'
        '  class { name: "lane-video" aim_s: 0.6 deadline_s: 6 }\n'
        '  class { name: "plate-photo" aim_s: 0.25 deadline_s: 2.5 fresh_s: 8 grace_s: 30 }\n'
        "  moves { window_s: 60 }\n  cold { start: 0.062 warm_after_s: 20 multiple: 2 window_s: 2 }\n}\n"
    )


@dataclass(slots=True)
class Tier:
    """A node of the hierarchy: its process, its port and its console's port."""

    program: Program
    port: int
    console: int


async def start_tier(record: Record, folder: Path, name: str, port: int, feed: EventStream) -> Tier:
    """Starts a node with the command of the README, and waits until it is ready."""
    console = free_port()
    file = folder / f"{name}.txtpb"
    file.write_text(tier_settings(name, port, console, feed.port))
    program = Program(record, name, folder)
    await program.start(f"{deploy_command('run')} tier {file}")
    tier = Tier(program, port, console)
    await wait_until_ready(console)
    return tier


def run_case(case: Callable[[Path, Record, bool], Awaitable[bool]], file: str) -> None:
    """Runs a case in a temporary folder; exits with 0 if the rule held, 1 if it was broken, else 2."""
    record = Record(Path(file).resolve().parent / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line("case", f"trouble={'yes' if trouble else 'no'}")
    try:
        with tempfile.TemporaryDirectory(prefix="review-") as folder:
            held = asyncio.run(asyncio.wait_for(case(Path(folder), record, trouble), 110))
    except (CannotRunError, OSError, TimeoutError) as error:
        record.line("case", f"could not run: {type(error).__name__} {error}")
        print(f"could not run: {type(error).__name__} {error}")
        sys.exit(CANNOT_RUN)
    record.line("case", "the rule held" if held else "THE RULE WAS BROKEN")
    print("the rule held" if held else "the rule was broken")
    sys.exit(HELD if held else BROKEN)
