"""Runs tiers as processes, with a feed, an origin, other nodes and clients on loopback."""

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


def node(name: str, address: str, *parents: str, **fields: Any) -> dict[str, Any]:
    """A node as JSON of the feed; without parents it is an origin."""
    group = (
        {"group": "stores", "store": True} if not parents else {"group": "aimag", "parents": list(parents)}
    )
    return {"id": name, "at": address} | group | fields


class FeedServer(Party):
    """A topology feed, which writes numbered lines to all nodes connected to it."""

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
        self.listener.shutdown(socket.SHUT_RDWR)  # close() alone would not interrupt a pending accept()
        self.listener.close()
        for connection in self.followers:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def publish(self, **event: Any) -> None:
        self.events.append({"no": len(self.events) + 1} | event)
        self.send(json.dumps(self.events[-1]).encode() + b"\n")


class TierClient:
    """A connection to a tier from an edge cache, a router or another node."""

    def __init__(self, port: int, receive_buffer: int = 0) -> None:
        self.socket = socket.socket()
        self.socket.settimeout(WAIT)
        if receive_buffer:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.socket.connect(("127.0.0.1", port))
        self.file = self.socket.makefile("rb")

    def send_request(self, id: str, name: str = f"{7:016x}", **fields: str) -> None:
        """Send a request; fields replace the defaults, and an empty one is left out."""
        all_fields = {"queue": "video", "path": name, "blk": "0", "budget": "3000", "via": "store"} | fields
        text = ",".join(f"{key}={value}" for key, value in all_fields.items() if value)
        self.socket.sendall(f"ASK {id} {text} 0\r\n\r\n".encode())

    def read_answer(self) -> tuple[str, str, dict[str, str], bytes]:
        """Read the next answer: its request id, status, fields and body."""
        words = self.file.readline().decode().split()
        body = self.file.read(int(words[3]) + 2)[:-2]
        return words[0], words[1], dict(pair.split("=") for pair in words[2].split(",")), body


class Rig:
    """Tiers with an origin and a feed; other nodes are a `Party` or further tiers."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.feed, self.origin = FeedServer(), Party()
        (folder / "hop.key").write_bytes(SECRET)
        self.ports: dict[str, tuple[int, int]] = {}
        self.processes: dict[str, subprocess.Popen[str]] = {}
        self.log: list[str] = []

    def write_settings(self, name: str, **replaced: str) -> Path:
        """Write the settings file of a tier, with texts replaced as given."""
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
        path = self.write_settings(name)
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
        until(lambda: self.call_console("/-/ready", "GET", name)[0] in (200, 503), "the console answers")

    def call_console(self, path: str, method: str = "POST", name: str = "a") -> tuple[int, str]:
        """Call a tier's console; returns status and text, or 0 and no text if it cannot be reached."""
        request = urllib.request.Request(f"http://127.0.0.1:{self.ports[name][1]}{path}", method=method)
        try:
            with urllib.request.urlopen(request, timeout=WAIT) as answer:
                return answer.status, answer.read().decode()
        except urllib.error.HTTPError as error:
            return error.code, error.read().decode()
        except OSError:
            return 0, ""

    def hierarchy_page(self, name: str = "a") -> dict[str, Any]:
        text = self.call_console("/-/hierarchy", "GET", name)[1]
        page: dict[str, Any] = json.loads(text) if text else {"version": 0}
        return page

    def address(self, name: str) -> str:
        return f"127.0.0.1:{self.ports.setdefault(name, (free_port(), free_port()))[0]}"

    def publish_topology(self, *nodes: dict[str, Any]) -> None:
        """Publish a full topology on the feed."""
        version = 1 + sum("shape" in event for event in self.feed.events)
        put = [node("store", self.origin.address), *nodes]
        self.feed.publish(shape={"version": version, "put": put})

    def wait_for_version(self, version: int, *names: str) -> None:
        def all_at_version() -> bool:
            return all(self.hierarchy_page(name)["version"] == version for name in names or ("a",))

        until(all_at_version, f"all nodes have topology version {version}")

    def answer_as_origin(
        self, tag: str = "t", generated_at: float | None = None, status: str = "HIT", **fields: str
    ) -> list[str]:
        """Answer the next request to the origin, and return the words of that request."""
        stamp = {"tag": tag, "minted": str(round((generated_at or time.time()) * 1000))} | fields
        text = ",".join(f"{key}={value}" for key, value in stamp.items())
        return self.origin.answer(status, text, tag.encode())

    def connect(self, name: str = "a", receive_buffer: int = 0) -> TierClient:
        return TierClient(self.ports[name][0], receive_buffer)

    def wait_for_log_line(self, text: str) -> str:
        """Wait for a log line that contains a text, and return it."""
        found: str = until(lambda: next((line for line in list(self.log) if text in line), None), text)
        return found

    def close(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait(timeout=WAIT)
        for party in (self.feed, self.origin):
            party.listener.close()


def tier_rig(tmp_path: Path) -> Iterator[Rig]:
    rig = Rig(tmp_path)
    try:
        yield rig
    finally:
        rig.close()


def rig_with_ready_tier(rig: Rig) -> Rig:
    """A rig with a single tier under the origin, which is ready."""
    rig.publish_topology(node("a", rig.address("a"), "store"))
    rig.start()
    until(lambda: rig.call_console("/-/ready", "GET")[0] == 200, "the tier is ready")
    return rig
