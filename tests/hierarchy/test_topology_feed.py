"""A tier's feed that breaks, goes back or falls silent, and the shape that is kept meanwhile."""

import socket

import pytest
from harness import until
from rig_tier import Feed, Rig, made_one, made_rig, node

from paddlequay.errors import RecordError
from paddlequay.store.record import decode, encode

rig = pytest.fixture(made_rig, name="rig")
one = pytest.fixture(made_one, name="one")


def test_a_feed_may_break_go_back_and_bring_what_cannot_be_used(one: Rig) -> None:
    loop = [node("a", one.at("a"), "b"), node("b", one.at("b"), "a")]
    one.shape(*loop)
    assert "a cycle" in one.logged("shape_refused")
    assert one.page()["version"] == 1
    followers = len(one.feed.followers)
    one.feed.raw(b'{"no": 3, "shape": {"ver')
    for connection in list(one.feed.followers):
        connection.shutdown(socket.SHUT_RDWR)
    until(lambda: len(one.feed.followers) > followers, "the feed is asked again")
    one.feed.raw(b"garbage\n")
    until(lambda: len(one.feed.followers) > followers + 1, "and again")
    one.feed.events = [{"no": 1, "shape": {"version": 9, "put": one.feed.events[0]["shape"]["put"]}}]
    one.feed.raw(b'{"no": 1}\n')
    one.reached(9)
    one.feed.tell(shape={"version": 12, "base": 11, "drop": ["b"]})
    one.logged("shape_held")
    asker = one.asker()
    asker.ask("q")
    one.give()
    assert asker.answer()[1] == "HIT"


def test_a_feed_that_falls_silent_while_open_is_asked_again(one: Rig) -> None:
    followers = len(one.feed.followers)
    until(lambda: len(one.feed.followers) > followers, "no heartbeat comes: asked again")
    one.shape(node("a", one.at("a"), "store"))
    one.reached(2)


@pytest.mark.parametrize("spoil", ["", "torn", "altered", "kind", "form"])
def test_a_restart_without_a_feed_begins_with_the_shape_that_was_kept(one: Rig, spoil: str) -> None:
    one.shape(node("a", one.at("a"), "store"), node("b", one.at("b"), "store"))
    one.reached(2)
    kept = one.folder / "shape-a"
    until(lambda: kept.exists() and b'"version":2' in kept.read_bytes(), "the shape is kept")
    one.processes["a"].kill()
    one.processes["a"].wait()
    data = kept.read_bytes()
    body = decode(data, "shape", 1)
    kept.write_bytes(
        {
            "": data,
            "torn": data[:-5],
            "altered": data.replace(b"aimag", b"gaima"),
            "kind": encode("other", 1, body),
            "form": encode("shape", 2, body),
        }[spoil]
    )
    one.feed.away()
    one.start()
    if spoil:
        one.logged("shape_unreadable")
        assert one.page()["version"] == 0 and one.call("/-/ready", "GET")[0] == 503
    else:
        one.logged("shape_from_file")
        assert one.page()["version"] == 2 and one.page()["moves"]
        asker = one.asker()
        asker.ask("q")
        one.give()
        assert asker.answer()[1] == "HIT"


def test_a_feed_set_up_anew_holds_against_the_shape_that_was_kept(one: Rig) -> None:
    for _ in range(3):
        one.shape(node("a", one.at("a"), "store"), node("gone", one.at("gone"), "store"))
    one.reached(4)
    until(lambda: b'"version":4' in (one.folder / "shape-a").read_bytes(), "the shape is kept")
    one.processes["a"].kill()
    one.processes["a"].wait()
    one.feed.away()
    one.feed = Feed()
    one.shape(node("a", one.at("a"), "store"))
    one.start()
    one.logged("shape_replaced had=4 now=1")
    assert list(one.page()["home_shares"]) == ["a"]


@pytest.mark.parametrize("data", [b"", b"paddlequay shape 1 3", encode("shape", 1, b"abc") + b"d"])
def test_a_record_that_is_not_whole_is_told_from_a_whole_one(data: bytes) -> None:
    assert decode(encode("shape", 1, b"abc"), "shape", 1) == b"abc"
    with pytest.raises(RecordError):
        decode(data, "shape", 1)
