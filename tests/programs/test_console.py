"""The operators' console: parsing of calls, errors, and connections that never complete a call."""

import contextlib
import socket
from collections.abc import Iterator
from pathlib import Path

import pytest
from harness import WAIT, Platform, platform, until

from paddlequay.protocol.console import ConsoleCall, ConsoleCallParser, ConsoleProtocolError


@pytest.fixture
def p() -> Iterator[Platform]:
    with platform() as running:
        yield running


CALL = b"POST http://a/-/caches/s%2D1/disable?x=1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"


@pytest.mark.parametrize("size", [1, 2, 7, len(CALL)])
def test_a_console_call_in_pieces_of_any_size_completes_with_its_last_byte(size: int) -> None:
    reader = ConsoleCallParser(1000, 1000)
    pieces = [CALL[at : at + size] for at in range(0, len(CALL), size)]
    found = [reader.feed(piece) for piece in pieces]
    assert found == [None] * (len(pieces) - 1) + [ConsoleCall("POST", ("-", "caches", "s-1", "disable"))]


@pytest.mark.parametrize(
    "head",
    [
        b"GET /-/ready\r\n\r\n",
        b"FETCH /-/ready HTTP/1.1\r\n\r\n",
        b"GET /-/ready HTTP/3\r\n\r\n",
        b"GET ready HTTP/1.1\r\n\r\n",
        b"GET /-/ready HTTP/1.1\r\nnonsense\r\n\r\n",
        b"GET /\xff HTTP/1.1\r\n\r\n",
        b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        b"POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n",
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"GET /" + b"a" * 1000,
    ],
)
def test_malformed_console_calls_are_rejected(head: bytes) -> None:
    with pytest.raises(ConsoleProtocolError):
        ConsoleCallParser(1000, 1000).feed(head)


def send_raw(p: Platform, data: bytes) -> bytes:
    """Sends bytes to the console; returns all that it answers until it closes the connection."""
    with socket.create_connection(p.console, timeout=WAIT) as connection:
        connection.sendall(data)
        return connection.makefile("rb").read()


def test_the_console_answers_an_error_with_its_reason_and_closes(p: Platform) -> None:
    p.ready()
    assert p.call("/-/ready", "GET") == (200, "ready\n")
    assert p.call("/-/nothing", "GET")[0] == 404 and p.call("/-/ready")[0] == 405
    assert send_raw(p, b"nonsense\r\n\r\n").startswith(b"HTTP/1.1 400 ")
    head, _, body = send_raw(p, b"POST /-/ready HTTP/1.1\r\n\r\n").partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    assert {"Connection: close", f"Content-Length: {len(body)}", "Allow: GET, HEAD"} <= set(lines) and body


def test_incomplete_console_calls_do_not_delay_a_complete_one(p: Platform) -> None:
    p.ready()
    with contextlib.ExitStack() as open_connections:
        for _ in range(60):  # far more than the console's quota of descriptors
            connection = open_connections.enter_context(socket.create_connection(p.console, timeout=WAIT))
            connection.sendall(b"GET /-/ready HTT")
        assert p.call("/-/ready", "GET")[0] == 200
        until(lambda: p.counted("console_half_calls") >= 44, "the oldest incomplete calls are closed")
        assert len(list(Path(f"/proc/{p.process.pid}/fd").iterdir())) < 60
