"""A tier's topology feed that breaks off, restarts or falls silent, and the saved topology."""

import socket

import pytest
from harness import until
from rig_tier import FeedServer, Rig, node, rig_with_ready_tier, tier_rig

from paddlequay.errors import RecordError
from paddlequay.store.record import decode, encode

rig = pytest.fixture(tier_rig, name="rig")
ready = pytest.fixture(rig_with_ready_tier, name="ready")


def test_a_feed_may_break_off_restart_and_send_invalid_deltas(ready: Rig) -> None:
    loop = [node("a", ready.address("a"), "b"), node("b", ready.address("b"), "a")]
    ready.publish_topology(*loop)
    assert "a cycle" in ready.logged("shape_refused")
    assert ready.page()["version"] == 1
    followers = len(ready.feed.followers)
    ready.feed.send(b'{"no": 3, "shape": {"ver')
    for connection in list(ready.feed.followers):
        connection.shutdown(socket.SHUT_RDWR)
    until(lambda: len(ready.feed.followers) > followers, "the feed is requested again")
    ready.feed.send(b"garbage\n")
    until(lambda: len(ready.feed.followers) > followers + 1, "and once more")
    ready.feed.events = [{"no": 1, "shape": {"version": 9, "put": ready.feed.events[0]["shape"]["put"]}}]
    ready.feed.send(b'{"no": 1}\n')
    ready.wait_for_version(9)
    ready.feed.publish(shape={"version": 12, "base": 11, "drop": ["b"]})
    ready.logged("shape_held")
    client = ready.connect()
    client.ask("q")
    ready.answer_as_origin()
    assert client.answer()[1] == "HIT"


def test_a_feed_that_falls_silent_while_open_is_requested_again(ready: Rig) -> None:
    followers = len(ready.feed.followers)
    until(lambda: len(ready.feed.followers) > followers, "no heartbeat comes: requested again")
    ready.publish_topology(node("a", ready.address("a"), "store"))
    ready.wait_for_version(2)


@pytest.mark.parametrize("spoil", ["", "torn", "altered", "kind", "form"])
def test_a_restart_without_a_feed_begins_with_the_saved_topology(ready: Rig, spoil: str) -> None:
    ready.publish_topology(node("a", ready.address("a"), "store"), node("b", ready.address("b"), "store"))
    ready.wait_for_version(2)
    saved = ready.folder / "shape-a"
    until(lambda: saved.exists() and b'"version":2' in saved.read_bytes(), "the topology is saved")
    ready.processes["a"].kill()
    ready.processes["a"].wait()
    data = saved.read_bytes()
    body = decode(data, "shape", 1)
    saved.write_bytes(
        {
            "": data,
            "torn": data[:-5],
            "altered": data.replace(b"aimag", b"gaima"),
            "kind": encode("other", 1, body),
            "form": encode("shape", 2, body),
        }[spoil]
    )
    ready.feed.stop()
    ready.start()
    if spoil:
        ready.logged("shape_unreadable")
        assert ready.page()["version"] == 0 and ready.call("/-/ready", "GET")[0] == 503
    else:
        ready.logged("shape_from_file")
        assert ready.page()["version"] == 2 and ready.page()["moves"]
        client = ready.connect()
        client.ask("q")
        ready.answer_as_origin()
        assert client.answer()[1] == "HIT"


def test_a_feed_that_was_set_up_anew_replaces_the_saved_topology(ready: Rig) -> None:
    for _ in range(3):
        ready.publish_topology(
            node("a", ready.address("a"), "store"), node("gone", ready.address("gone"), "store")
        )
    ready.wait_for_version(4)
    saved = ready.folder / "shape-a"
    until(lambda: saved.exists() and b'"version":4' in saved.read_bytes(), "the topology is saved")
    ready.processes["a"].kill()
    ready.processes["a"].wait()
    ready.feed.stop()
    ready.feed = FeedServer()
    ready.publish_topology(node("a", ready.address("a"), "store"))
    ready.start()
    ready.logged("shape_replaced had=4 now=1")
    assert list(ready.page()["home_shares"]) == ["a"]


@pytest.mark.parametrize("data", [b"", b"paddlequay shape 1 3", encode("shape", 1, b"abc") + b"d"])
def test_an_incomplete_record_is_rejected(data: bytes) -> None:
    assert decode(encode("shape", 1, b"abc"), "shape", 1) == b"abc"
    with pytest.raises(RecordError):
        decode(data, "shape", 1)
