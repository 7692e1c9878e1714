"""A keyed request: the key by which caches drop its repeats goes with every attempt."""

import copy
import socket

from harness import SETTINGS, platform, told

KEY = "3b7741a4889c44dc1282a4512cfe3f49"


def test_a_request_and_its_retry_carry_the_idempotency_key() -> None:
    settings = copy.deepcopy(SETTINGS)
    settings["classes"][1] |= {"idempotency": "idempotency_key", "dedupScope": "all", "window": 1.0}
    with platform(settings=settings) as p:
        client = p.client()
        client.ask("charge", b"one", dedupe=KEY)
        connection, words = p.origin.line()
        assert told(words)["uniq"] == KEY
        connection.shutdown(socket.SHUT_RDWR)  # it may have run: the repeat must be known for one
        assert client.answer()[2][0] == "TryLater"
        client.ask("charge", b"one", dedupe=KEY, rep="1")
        assert told(p.origin.answer("HIT", "-", b"done"))["uniq"] == KEY
        assert client.answer() == [1, 2, None, [b"done", {}]]


def test_an_unrepresentable_idempotency_key_is_an_error_and_the_connection_stays_open() -> None:
    with platform() as p:
        client = p.client()
        for key in ("a,via=origin-1", "a b", "a\r\nQUIT 1", ""):
            number = client.ask("charge", dedupe=key)
            answer = client.answer()
            assert answer[:2] == [1, number] and answer[2][0] == "Aborted"
        assert p.counted("bad_fields") == 4
        client.ask("charge", dedupe="a-b/c+d")
        assert told(p.origin.answer("HIT", "-", b"done"))["uniq"] == "a-b/c+d"
        assert client.answer()[2] is None
