"""Processes of one router on real sockets, with caches that answer and an endpoint list that replays events.

Each process may follow an endpoint list of its own: lists share their events, and each may tell them later or
be down. What reaches a cache is recorded with its time, so that requests to members that are gone are seen.
"""

import contextlib
import json
import os
import socket
import tempfile
import threading
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from harness import WAIT, Client, Party, Platform, until

LIST_ONLY = "discovery {\n  source { type: BULLETIN }\n}\n"
BINDS_AFTER_READY_S = 2.0
BINDS_AFTER_TOLD_S = 0.5
SOCKETS_S = 0.05  # on top of each bound, for the way through sockets and threads
HEARTBEAT_S = 0.5
ANSWER_DELAY_S = 0.2  # of a list, so that a predecessor tells its successor first
POLL_S = 0.005
LOAD_INTERVAL_S = 0.01


@dataclass(frozen=True, slots=True)
class Ask:
    """A request that a cache has received."""

    at: float
    cache: str
    source: str


class Cache(Party):
    """A cache, parent or origin that answers each request at once, and records it."""

    def __init__(self, name: str, asks: list[Ask]) -> None:
        self.name = name
        self.asks = asks
        super().__init__()

    def read(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError), connection.makefile("rb") as file:
            for raw in file:
                words = raw.decode().split()
                if not words or words[0] != "ASK":
                    continue
                file.read(int(words[3]) + 2)
                fields = dict(pair.split("=") for pair in words[2].split(",") if "=" in pair)
                self.asks.append(Ask(time.time(), self.name, fields.get("via", "")))
                connection.sendall(f"{words[1]} HIT detail=HIT 1\r\nx\r\n".encode())


class EventList:
    """An endpoint list that replays the events after the number that a process asks for.

    Attributes:
        events: The events, shared with other lists.
        limit: The number up to which events are told; None for all.
        is_up: Whether connections are served.
    """

    def __init__(self, events: list[dict[str, Any]]) -> None:
        self.events = events
        self.limit: int | None = None
        self.is_up = True
        self.connections: list[socket.socket] = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    @property
    def told(self) -> int:
        """The number of the last event that is told."""
        return len(self.events) if self.limit is None else min(self.limit, len(self.events))

    def accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection = self.listener.accept()[0]
                if not self.is_up:
                    connection.close()
                    continue
                self.connections.append(connection)
                threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError, ValueError, IndexError), connection.makefile("rb") as file:
            sent = int(file.readline().split()[1])
            time.sleep(ANSWER_DELAY_S)
            beat_at = 0.0
            while self.is_up:
                for event in self.events[sent : self.told]:
                    connection.sendall(json.dumps(event).encode() + b"\n")
                    sent += 1
                if time.monotonic() - beat_at >= HEARTBEAT_S:
                    beat_at = time.monotonic()
                    connection.sendall(b"%d\n" % max(sent, self.told))
                time.sleep(POLL_S)

    def go_down(self) -> None:
        """Ends all connections and refuses further ones."""
        self.is_up = False
        for connection in self.connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        self.go_down()
        self.listener.close()
        for connection in self.connections:
            connection.close()


class RestartedRouter(Platform):
    """A router whose process is replaced by further ones.

    Attributes:
        caches: The caches, parents and the origin by id.
        asks: The requests that they have received.
        events: The events of the endpoint list.
        first_list: The list that the processes follow unless another one is named.
    """

    def __init__(self, *names: str, discovery: str | None = LIST_ONLY, **also: Any) -> None:
        self.asks: list[Ask] = []
        self.caches = {name: Cache(name, self.asks) for name in names}
        self.events: list[dict[str, Any]] = []
        self.lists: list[EventList] = []
        self.first_list = self.new_list()
        self.publish_list(*map(self.listed, names), reset=True)
        self.discovery = None
        if discovery is not None:
            with tempfile.NamedTemporaryFile("w", suffix=".txtpb", delete=False) as file:
                file.write(discovery)
            self.discovery = Path(file.name)
        self.known = self.known_events()
        self.stop_load = threading.Event()
        self.load_results: list[tuple[float, float, str]] = []  # sent at, seconds until the result, result
        super().__init__(known=self.known, bulletin=self.first_list.address, **also)
        self.ready()

    def new_list(self) -> EventList:
        """Returns a further list with the same events."""
        self.lists.append(EventList(self.events))
        return self.lists[-1]

    def listed(self, name: str, lifecycle: str = "in_service", **also: Any) -> dict[str, Any]:
        """Returns the entry of a member by the kind in its name."""
        kind = name.split("-")[0]
        zone = "here" if kind == "box" else "hub"
        return self.entry(name, self.caches[name], kind, zone, lifecycle=lifecycle, **also)

    def publish_list(self, *entries: dict[str, Any], reset: bool = False) -> float:
        """Publishes an event of the list; returns when."""
        body = {"roster": {"reset": reset, "instances": list(entries)}}
        self.events.append({"no": len(self.events) + 1, **body})
        return time.time()

    def remove(self, *names: str) -> float:
        """Publishes that members are gone; returns when."""
        return self.publish_list(*({"instanceId": name, "lifecycle": "terminated"} for name in names))

    def drain(self, *names: str) -> float:
        """Publishes that members drain; returns when."""
        return self.publish_list(*(self.listed(name, "terminating") for name in names))

    def known_events(self) -> dict[str, Any]:
        """Returns the events so far as a configuration holds them."""
        return {"no": len(self.events), "items": list(self.events)}

    def configure(self, **changed: Any) -> None:
        """Changes the configuration of the processes that start from now on."""
        config = json.loads(Path(self.config).read_text()) | changed
        Path(self.config).write_text(json.dumps(config))

    def start(self) -> Any:
        with contextlib.ExitStack() as stack:
            if self.discovery is not None:
                os.environ["PADDLEQUAY_DISCOVERY"] = str(self.discovery)
                stack.callback(os.environ.pop, "PADDLEQUAY_DISCOVERY")
            return super().start()

    def start_successor(self) -> float:
        """Starts one more process, and waits until it is ready; returns when."""
        self.start()
        self.ready()
        return time.time()

    def page(self, console: tuple[str, int] | None = None) -> dict[str, Any]:
        """Returns the console's page of members of the newest process, or of another one."""
        page: dict[str, Any] = json.loads(self.call("/-/members", "GET", console)[1])
        return page

    def states(self, console: tuple[str, int] | None = None) -> dict[str, str]:
        """Returns the state of each member of the newest process, or of another one."""
        return {member["id"]: member["state"] for member in self.page(console)["members"]}

    def rules(self, console: tuple[str, int] | None = None) -> dict[str, str]:
        """Returns the rule of each member of the newest process, or of another one."""
        return {member["id"]: member["rule"] for member in self.page(console)["members"]}

    def wait_for(self, **expected: str | None) -> None:
        """Waits until members, named with underscores, have a state in the newest process."""
        by_id = {name.replace("_", "-"): state for name, state in expected.items()}

        def has_states() -> bool:
            found = self.states()
            return all(found.get(name) == state for name, state in by_id.items())

        until(has_states, str(by_id))

    def start_load(self) -> None:
        """Sends requests for different objects until the end, on new connections as old ones close."""
        threading.Thread(target=self.load, daemon=True).start()

    def load(self) -> None:
        number = 0
        client: Client | None = None
        while not self.stop_load.is_set():
            number += 1
            sent_at = time.time()
            try:
                client = client or Client(self.address)
                client.ask(call=f"{time.time_ns():016x}", row=f"{number:016x}")
                answer = client.answer()
                result = "closed" if answer is None else str(answer[2] or "served")
            except (OSError, ValueError) as error:  # a test that misses the load prints its results
                result = repr(error)
            if result != "served":
                client = None
            self.load_results.append((sent_at, time.time() - sent_at, result))
            time.sleep(LOAD_INTERVAL_S)

    def asked_after(self, name: str, bound: float) -> list[Ask]:
        """Returns what named a member, as the target or as a source, later than a bound."""
        after = bound + SOCKETS_S
        return [ask for ask in list(self.asks) if name in (ask.cache, ask.source) and ask.at > after]

    def close(self) -> None:
        self.stop_load.set()
        super().close()
        for each in self.lists:
            each.close()
        for cache in self.caches.values():
            cache.listener.close()
            while not cache.accepted.empty():
                close_connection(cache.accepted.get())
        if self.discovery is not None:
            self.discovery.unlink()


def close_connection(connection: socket.socket) -> None:
    """Ends a connection, so that the thread that reads from it ends as well."""
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
    connection.close()


@contextlib.contextmanager
def restarted_router(*names: str, **also: Any) -> Any:
    """Starts a router, and ends all of its processes."""
    made = RestartedRouter(*names, **also)
    try:
        yield made
    finally:
        made.close()


def end(process: Any) -> None:
    """Ends a process gracefully."""
    process.terminate()
    assert process.wait(timeout=WAIT) == 0
