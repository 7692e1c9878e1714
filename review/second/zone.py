"""Starts the project's programs as processes of their own, by the deploy file, and ends them."""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from second.record import Record

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
LONGEST_S = 110.0
TROUBLE = os.environ.get("TROUBLE") != "0"

LANE_VIDEO = {
    "name": "lane-video",
    "aim": 0.6,
    "aimStretch": 2.0,
    "deadline": 6.0,
    "idempotency": "read_like",
}
PLATE_PHOTO = {
    "name": "plate-photo",
    "aim": 0.25,
    "aimStretch": 2.0,
    "deadline": 2.5,
    "idempotency": "read_like",
}
TOLL_CHARGE = {"name": "toll-charge", "aim": 0.7, "deadline": 3.0, "idempotency": "non_idempotent"}


class NotRunError(Exception):
    """The case could not run."""


def settings(routers: int = 1, me: int = 0, grace_s: float = 0.0) -> dict[str, Any]:
    """Returns settings like those of a small deployment."""
    return {
        "classes": [
            each | {"dedupScope": "all", "window": 5.0, "worth": 1.0, "lateWorth": 0.1, "streaming": False}
            for each in (LANE_VIDEO, PLATE_PHOTO, TOLL_CHARGE)
        ],
        "clients": {"marksRetry": True},
        "discovery": "automatic",
        "extra": {
            "bypassAllowed": True,
            "classFresh": [0.0, 8.0, 0.0],
            "classParts": [True, False, False],
            "clearedWithin": 6.0,
            "countByZone": [0, routers],
            "detail": "all",
            "goesThrough": [False, False, True],
            "mergesFills": True,
            "oldCopyWorth": [0.7, 0.7, 0.7],
            "parentBreaksAt": 2.0,
            "parentCold": 20.0,
            "parentKind": 1,
            "parentStartsAt": 0.062,
            "peersFill": "location",
            "purgeSlack": 0.3,
            "rootKind": 2,
            "staleFor": [0.0, grace_s, 0.0],
            "zoneHub": [0, 0],
        },
        "groupSize": routers,
        "kinds": ["box", "parent", "origin"],
        "limits": {
            "attemptsCap": 6,
            "cancel": True,
            "dialTimeout": 0.4,
            "keepalive": 30.0,
            "maxOpen": 20000,
            "maxRetryAfter": 2.0,
            "parallelTries": True,
            "peers": routers > 1,
            "probes": True,
            "retryAfter": True,
            "streamsPerConn": 32,
        },
        "localities": ["hub", "plaza"],
        "locality": "plaza",
        "me": me,
        "projects": [],
        "reporting": {"fields": ["active", "cpu", "x0", "x1"], "how": "inline"},
        "rules": {
            "answerSlack": 0.008,
            "askWithin": 10.0,
            "cold": 15.0,
            "coldFrom": 0.17,
            "fall": 2.0,
            "fallMultiple": 2.5,
            "stopSendingWithin": 0.5,
        },
        "stages": ["plaza-cache"],
        "tick": 0.002,
        "tier": 0,
        "weights": "off",
        "worthBy": "request",
    }


def free_address(kind: int = socket.SOCK_STREAM) -> str:
    """Returns a loopback address whose port is free now."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def deploy_command(name: str) -> str:
    """Returns a command of the deploy file."""
    command: str = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())[name]
    return command


class Zone:
    """The processes of a case, and their folder."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: list[subprocess.Popen[bytes]] = []
        self.logs: dict[int, Path] = {}

    def start(self, command: str, environment: dict[str, str], name: str) -> "subprocess.Popen[bytes]":
        """Starts a command of the deploy file from the root; what it logs stands in the folder."""
        log = self.folder / f"log-{name}-{len(self.processes)}"
        kept = {
            key: value for key, value in os.environ.items() if not key.startswith(("ROUTER_", "PADDLEQUAY_"))
        }
        kept.pop("PYTHONPATH", None)
        with log.open("wb") as file:
            process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env=kept | environment,
                stdin=subprocess.DEVNULL,
                stdout=file,
                stderr=file,
            )
        self.processes.append(process)
        self.logs[process.pid] = log
        self.record.say("started", name=name, pid=process.pid, command=repr(command))
        return process

    def router(self, config: Path, name: str = "n0", **environment: str) -> "Router":
        """Starts one router with `run` of the deploy file."""
        temporary = self.folder / f"tmp-{name}"
        temporary.mkdir(exist_ok=True)
        console = free_address()
        told = {"ROUTER_CONFIG": str(config), "TMPDIR": str(temporary), "ROUTER_CONSOLE": console}
        process = self.start(deploy_command("run"), told | environment, name)
        return Router(self, process, json.loads(config.read_text())["listen"], console)

    def tier(self, file: Path, name: str) -> "subprocess.Popen[bytes]":
        """Starts a node of the hierarchy: `run` of the deploy file with its sub-command."""
        return self.start(f"{deploy_command('run')} tier {file}", {"TMPDIR": str(self.folder)}, name)

    def write_config(self, name: str, **values: Any) -> Path:
        """Writes a configuration as the platform gives it."""
        path = self.folder / f"config-{name}.json"
        base = {
            "name": name,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        }
        path.write_text(json.dumps(base | values))
        return path

    def copy_logs(self) -> None:
        """Adds the logs of the processes to the record."""
        for pid, log in self.logs.items():
            for line in log.read_text(errors="replace").splitlines():
                self.record.say("log", pid=pid, line=line)

    def close(self) -> None:
        """Ends all processes, by their ids."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.copy_logs()
        shutil.rmtree(self.folder, ignore_errors=True)


class Router:
    """One router process."""

    def __init__(self, zone: Zone, process: "subprocess.Popen[bytes]", listen: str, console: str) -> None:
        self.zone = zone
        self.process = process
        self.listen = listen
        self.console = console

    async def call(self, method: str, path: str) -> int:
        """Makes a call to the console; returns its status, 0 if there is none."""
        host, port = self.console.split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return 0
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: c\r\n\r\n".encode())
        try:
            words = (await asyncio.wait_for(reader.readline(), 2.0)).split()
        except (TimeoutError, OSError):
            words = []
        writer.close()
        status = int(words[1]) if len(words) > 1 else 0
        self.zone.record.say("console", method=method, path=path, status=status)
        return status

    async def ready(self, within_s: float = 10.0) -> None:
        """Waits until the router takes clients."""
        for _ in range(int(within_s / 0.05)):
            if self.process.poll() is not None:
                raise NotRunError(f"the router ended with {self.process.returncode}")
            if await self.call("GET", "/-/ready") == 200:
                return
            await asyncio.sleep(0.05)
        raise NotRunError("the router is not ready")

    def signal(self, number: int) -> None:
        """Sends a signal."""
        self.zone.record.say("signal", pid=self.process.pid, number=number)
        self.process.send_signal(number)


def run_case(folder: Path, case: Callable[[Zone], Awaitable[list[str]]]) -> None:
    """Runs a case, which returns how the rule was broken, and ends this process with the verdict."""
    record = Record(folder / "record.txt")
    zone = Zone(record)

    async def bounded() -> list[str]:
        # What connections of the stand-ins still have to say does not matter once the case has ended.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        async with asyncio.timeout(LONGEST_S):
            return await case(zone)

    try:
        broken = asyncio.run(bounded())
        verdict = BROKEN if broken else HELD
    except Exception as error:  # noqa: BLE001 - whatever it is, the case could not run
        broken = ["could not run:", *"".join(traceback.format_exception(error)).splitlines()]
        verdict = NOT_RUN
    finally:
        zone.close()
    for line in broken:
        record.say("verdict", line=line)
        print(line)
    record.say("exit", code=verdict, trouble=int(TROUBLE))
    print({HELD: "held", BROKEN: "BROKEN", NOT_RUN: "not run"}[verdict])
    sys.stdout.flush()
    os._exit(verdict)  # without the complaints of connections that are still open
