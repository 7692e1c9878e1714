"""A tier's node as a process, with a feed, neighbours and clients on loopback."""

import contextlib
import json
import socket
import subprocess
import sys
import threading
import time
import urllib.error
import urllib.request
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from harness import ROOT, WAIT, Party, until

from paddlequay.lab.ports import free_port

SECRET = b"a secret of all the nodes"


def node(name: str, at: str, *parents: str, **also: Any) -> dict[str, Any]:
    group = (
        {"group": "stores", "store": True} if not parents else {"group": "aimag", "parents": list(parents)}
    )
    return {"id": name, "at": at} | group | also


class FeedServer(Party):
    """A topology feed: writes numbered lines to every node that follows it."""

    def __init__(self) -> None:
        super().__init__()
        self.events: list[dict[str, Any]] = []
        self.followers: list[socket.socket] = []
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self) -> None:
        while True:
            connection, words = self.lines.get()
            with contextlib.suppress(OSError, IndexError):
                self.followers.append(connection)
                for event in self.events[int(words[1]) :]:
                    connection.sendall(json.dumps(event).encode() + b"\n")
                self.send(json.dumps({"no": len(self.events)}).encode() + b"\n", connection)

    def send(self, data: bytes, *to: socket.socket) -> None:
        for connection in to or list(self.followers):
            with contextlib.suppress(OSError):
                connection.sendall(data)

    def stop(self) -> None:
        """Close the listener and all connections."""
        self.listener.shutdown(socket.SHUT_RDWR)  # a close alone would not end the accept under way
        self.listener.close()
        for connection in self.followers:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def publish(self, **event: Any) -> None:
        self.events.append({"no": len(self.events) + 1} | event)
        self.send(json.dumps(self.events[-1]).encode() + b"\n")


class TierClient:
    """An edge cache, a router or another node: one connection to a tier."""

    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection(("127.0.0.1", port), timeout=WAIT)
        self.file = self.socket.makefile("rb")

    def ask(self, id: str, name: str = f"{7:016x}", **fields: str) -> None:
        all_ = {"queue": "video", "path": name, "blk": "0", "budget": "3000", "via": "store"} | fields
        text = ",".join(f"{key}={value}" for key, value in all_.items() if value)
        self.socket.sendall(f"ASK {id} {text} 0\r\n\r\n".encode())

    def answer(self) -> tuple[str, str, dict[str, str], bytes]:
        words = self.file.readline().decode().split()
        body = self.file.read(int(words[3]) + 2)[:-2]
        return words[0], words[1], dict(pair.split("=") for pair in words[2].split(",")), body


class Rig:
    """One tier with an origin and a feed; further nodes are `Party`s or tiers of their own."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.feed, self.store = FeedServer(), Party()
        (folder / "hop.key").write_bytes(SECRET)
        self.ports: dict[str, tuple[int, int]] = {}
        self.processes: dict[str, subprocess.Popen[str]] = {}
        self.log: list[str] = []

    def settings(self, name: str, **replaced: str) -> Path:
        port, console = self.ports.setdefault(name, (free_port(), free_port()))
        text = f"""tier {{
  name: "{name}"
  group: "aimag"
  listen: "127.0.0.1:{port}"
  console: "127.0.0.1:{console}"
  feed: "{self.feed.address}"
  folder: "."
  class {{ name: "video" aim_s: 0.6 deadline_s: 3 }}
  hop_key {{ id: "k1" file: "hop.key" }}
}}
"""
        for old, new in replaced.items():
            text = text.replace(old, new)
        path = self.folder / f"{name}.txtpb"
        path.write_text(text)
        return path

    def start(self, name: str = "a") -> None:
        path = self.settings(name)
        process = subprocess.Popen(
            [sys.executable, "-m", "paddlequay", "tier", str(path)],
            cwd=ROOT,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.processes[name] = process
        assert process.stderr is not None
        threading.Thread(
            target=self.log.extend, args=(iter(process.stderr.readline, ""),), daemon=True
        ).start()
        until(lambda: self.call("/-/ready", "GET", name)[0] in (200, 503), "the console answers")

    def call(self, path: str, method: str = "POST", name: str = "a") -> tuple[int, str]:
        request = urllib.request.Request(f"http://127.0.0.1:{self.ports[name][1]}{path}", method=method)
        try:
            with urllib.request.urlopen(request, timeout=WAIT) as answer:
                return answer.status, answer.read().decode()
        except urllib.error.HTTPError as error:
            return error.code, error.read().decode()
        except OSError:
            return 0, ""

    def page(self, name: str = "a") -> dict[str, Any]:
        text = self.call("/-/hierarchy", "GET", name)[1]
        found: dict[str, Any] = json.loads(text) if text else {"version": 0}
        return found

    def address(self, name: str) -> str:
        return f"127.0.0.1:{self.ports.setdefault(name, (free_port(), free_port()))[0]}"

    def publish_topology(self, *nodes: dict[str, Any]) -> None:
        """Publish a full topology on the feed."""
        version = 1 + sum("shape" in event for event in self.feed.events)
        put = [node("store", self.store.address), *nodes]
        self.feed.publish(shape={"version": version, "put": put})

    def wait_for_version(self, version: int, *names: str) -> None:
        def all_have_it() -> bool:
            return all(self.page(name)["version"] == version for name in names or ("a",))

        until(all_have_it, f"version {version} everywhere")

    def answer_as_origin(
        self, tag: str = "t", minted: float | None = None, word: str = "HIT", **also: str
    ) -> list[str]:
        """Give the origin's next answer."""
        stamp = {"tag": tag, "minted": str(round((minted or time.time()) * 1000))} | also
        text = ",".join(f"{key}={value}" for key, value in stamp.items())
        return self.store.answer(word, text, tag.encode())

    def connect(self, name: str = "a") -> TierClient:
        return TierClient(self.ports[name][0])

    def logged(self, text: str) -> str:
        found: str = until(lambda: next((line for line in list(self.log) if text in line), None), text)
        return found

    def close(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait(timeout=WAIT)
        for party in (self.feed, self.store):
            party.listener.close()


def tier_rig(tmp_path: Path) -> Iterator[Rig]:
    made = Rig(tmp_path)
    try:
        yield made
    finally:
        made.close()


def rig_with_ready_tier(rig: Rig) -> Rig:
    """A rig with one tier alone under the origin, ready."""
    rig.publish_topology(node("a", rig.address("a"), "store"))
    rig.start()
    until(lambda: rig.call("/-/ready", "GET")[0] == 200, "the tier is ready")
    return rig
