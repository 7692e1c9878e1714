"""A tier whose topology feed disconnects, restarts or is silent, and the saved topology."""

import socket

import pytest
from harness import until
from rig_tier import FeedServer, Rig, node, rig_with_ready_tier, tier_rig

from paddlequay.errors import RecordError
from paddlequay.store.record import decode, encode

rig = pytest.fixture(tier_rig, name="rig")
ready = pytest.fixture(rig_with_ready_tier, name="ready")


def test_tier_keeps_serving_while_its_feed_disconnects_restarts_and_sends_invalid_deltas(ready: Rig) -> None:
    cycle = [node("a", ready.address("a"), "b"), node("b", ready.address("b"), "a")]
    ready.publish_topology(*cycle)
    assert "a cycle" in ready.wait_for_log_line("shape_refused")
    assert ready.hierarchy_page()["version"] == 1
    followers = len(ready.feed.followers)
    ready.feed.send(b'{"no": 3, "shape": {"ver')
    for connection in list(ready.feed.followers):
        connection.shutdown(socket.SHUT_RDWR)
    until(lambda: len(ready.feed.followers) > followers, "the tier reconnects")
    ready.feed.send(b"garbage\n")
    until(lambda: len(ready.feed.followers) > followers + 1, "the tier reconnects once more")
    ready.feed.events = [{"no": 1, "shape": {"version": 9, "put": ready.feed.events[0]["shape"]["put"]}}]
    ready.feed.send(b'{"no": 1}\n')
    ready.wait_for_version(9)
    ready.feed.publish(shape={"version": 12, "base": 11, "drop": ["b"]})
    ready.wait_for_log_line("shape_held")
    client = ready.connect()
    client.send_request("q")
    ready.answer_as_origin()
    assert client.read_answer()[1] == "HIT"


def test_tier_reconnects_to_an_open_feed_that_sends_no_heartbeat(ready: Rig) -> None:
    followers = len(ready.feed.followers)
    until(lambda: len(ready.feed.followers) > followers, "no heartbeat comes, so the tier reconnects")
    ready.publish_topology(node("a", ready.address("a"), "store"))
    ready.wait_for_version(2)


@pytest.mark.parametrize("damage", ["", "truncated", "altered", "kind", "version"])
def test_tier_that_restarts_without_a_feed_uses_the_saved_topology(ready: Rig, damage: str) -> None:
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
            "truncated": data[:-5],
            "altered": data.replace(b"aimag", b"gaima"),
            "kind": encode("other", 1, body),
            "version": encode("shape", 2, body),
        }[damage]
    )
    ready.feed.stop()
    ready.start()
    if damage:
        ready.wait_for_log_line("shape_unreadable")
        assert ready.hierarchy_page()["version"] == 0 and ready.call_console("/-/ready", "GET")[0] == 503
    else:
        ready.wait_for_log_line("shape_from_file")
        assert ready.hierarchy_page()["version"] == 2 and ready.hierarchy_page()["moves"]
        client = ready.connect()
        client.send_request("q")
        ready.answer_as_origin()
        assert client.read_answer()[1] == "HIT"


def test_reset_feed_with_lower_versions_replaces_the_saved_topology(ready: Rig) -> None:
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
    ready.wait_for_log_line("shape_replaced had=4 now=1")
    assert list(ready.hierarchy_page()["home_shares"]) == ["a"]


@pytest.mark.parametrize("data", [b"", b"paddlequay shape 1 3", encode("shape", 1, b"abc") + b"d"])
def test_an_incomplete_record_is_rejected(data: bytes) -> None:
    assert decode(encode("shape", 1, b"abc"), "shape", 1) == b"abc"
    with pytest.raises(RecordError):
        decode(data, "shape", 1)
