"""The real program: the connection for a retry with an idempotency key comes up when its window is over."""

import contextlib
import copy
import select
import socket
import time

import pytest
from harness import SETTINGS, WAIT, Party, Platform, platform, until

# Seconds of the 2 that a request has: what is looked at before it ends takes a moment. Less than 1.0, at
# which the kernel sends an unanswered SYN again: a queue emptied after that gets no connection until 3.0 s.
WINDOW = 0.9


class Full(Party):
    """Listens, and its queue of connections is full: the next one comes up once that is taken off."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.listen(0)
        self.address = "{}:{}".format(*self.listener.getsockname())
        self.fillers = [socket.socket() for _ in range(3)]
        for filler in self.fillers:
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(self.listener.getsockname())

    def next(self) -> socket.socket:
        """Take off what fills the queue, and give the connection that comes after that."""
        ours = {filler.getsockname() for filler in self.fillers}
        self.listener.settimeout(WAIT)
        while True:
            connection, address = self.listener.accept()
            if address not in ours:
                return connection
            connection.close()

    def close(self) -> None:
        for each in (self.listener, *self.fillers):
            each.close()


@pytest.mark.parametrize(("window", "written"), [(WINDOW, False), (30.0, True)])
def test_a_retry_is_written_only_inside_its_window(window: float, written: bool) -> None:
    settings = copy.deepcopy(SETTINGS)
    settings["classes"][1] |= {"idempotency": "idempotency_key", "dedupScope": "all", "window": window}
    settings["limits"]["dialTimeout"] = 1.9
    full = Full()
    with contextlib.closing(full), platform(settings=settings) as p:
        gone = Platform.entry("box-1", p.box) | {"lifecycle": "terminated"}
        roster = {"reset": False, "instances": [gone, Platform.entry("box-2", full)]}
        p.publish({"no": 2, "roster": roster})
        until(lambda: p.counted("endpoint_lists") >= 2, "the list is in force")
        client = p.client()
        client.ask("charge", b"one", dedupe="7f" * 16)
        connection, _ = p.origin.line()
        first = time.monotonic()
        connection.shutdown(socket.SHUT_RDWR)  # it may have run, and its repeat waits for a connection
        until(lambda: p.counted("ended.reset") == 1, "the first attempt is lost")
        assert p.counted("sent") == 1 and not client.answered()
        until(lambda: time.monotonic() > first + WINDOW, "the shorter window is over")
        late = full.next()
        if written:
            assert late.recv(3) == b"ASK"
        else:
            assert client.answer()[2][0] == "TryLater", "repeats are harmless where all caches know the key"
            assert not select.select([late], [], [], 0)[0], "not a byte of it came"
            assert p.counted("sent") == 1
        late.close()
