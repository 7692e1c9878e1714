"""Fencing tokens: a node rejects fills that a channel's former owner still sends."""

import pytest
from rig_tier import Rig, rig_with_ready_tier, tier_rig

from paddlequay.hierarchy.errors import RequestFieldError
from paddlequay.hierarchy.fencing_tokens import FencingTokens
from paddlequay.hierarchy.fill_requests import (
    ChannelToken,
    FillRequest,
    NodeLimits,
    Reply,
    ReplyReason,
    ReplyStatus,
    StartFill,
)
from paddlequay.hierarchy.migration import MigrationLimits
from paddlequay.hierarchy.node import CacheNode
from paddlequay.net.upstreams.cache_messages import parse_result
from paddlequay.policy import Router
from paddlequay.protocol import caches as wire
from paddlequay.protocol.fill_messages import decode_channel_token
from paddlequay.routing.interface import CopyReported, Idempotency, ReplyDetail, RequestClass, RoutingSettings

rig = pytest.fixture(tier_rig, name="rig")
ready = pytest.fixture(rig_with_ready_tier, name="ready")


def test_a_lower_token_is_rejected_and_the_same_one_accepted() -> None:
    tokens = FencingTokens()
    assert tokens.accepts(1, 5, 0.0) and tokens.accepts(1, 5, 1.0) and tokens.accepts(1, 7, 2.0)
    assert not tokens.accepts(1, 6, 3.0)
    assert tokens.accepts(1, 7, 3.0)
    assert tokens.accepts(2, 1, 3.0)  # each channel has its own tokens


def test_token_memory_is_limited_in_channels_and_time() -> None:
    tokens = FencingTokens(max_channels=3, memory_s=10.0)
    for channel in range(5):
        tokens.accepts(channel, 9, 0.0)
    assert len(tokens) == 3 and tokens.accepts(0, 1, 1.0) and not tokens.accepts(4, 1, 1.0)
    # A rejected fill does not extend the time for which its channel is remembered.
    assert not tokens.accepts(4, 1, 9.9) and tokens.accepts(4, 1, 10.1)


def test_a_node_replies_to_a_lower_token_with_a_miss_and_begins_no_fill() -> None:
    node = CacheNode("a", NodeLimits(), MigrationLimits())

    def request(token: int | None, part: int) -> list[object]:
        channel_token = None if token is None else ChannelToken(77, token)
        fill_request = FillRequest("t", "00", part, "video", 0.0, 9.0, channel_token=channel_token)
        return list(node.handle_request(fill_request, 1.0))

    assert isinstance(request(8, 1)[0], StartFill)
    (reply,) = request(7, 2)
    assert isinstance(reply, Reply)
    assert (reply.status, reply.reason) == (ReplyStatus.MISS, ReplyReason.STALE_TOKEN)
    assert isinstance(request(None, 2)[0], StartFill)  # a request without a channel has no token to check
    assert node.counters.counts["old_terms"] == 1
    reader = wire.CacheAnswerParser(1000, 1000)
    (answer,) = reader.feed(b"x NONE detail=OLD_TERM 0\r\n\r\n")
    assert parse_result(answer).detail is ReplyDetail.STALE_TERM


@pytest.mark.parametrize(
    "fields", [{"chan": "1"}, {"term": "1"}, {"chan": "x", "term": "1"}, {"chan": "0" * 17, "term": "1"}]
)
def test_fields_without_a_valid_channel_and_token_are_rejected(fields: dict[str, str]) -> None:
    with pytest.raises(RequestFieldError):
        decode_channel_token(fields)
    assert decode_channel_token({}) is None
    assert decode_channel_token({"chan": "ff", "term": "10"}) == ChannelToken(255, 16)


def test_tier_serves_the_channel_owner_with_the_highest_token_and_rejects_a_former_owner(ready: Rig) -> None:
    client = ready.connect()
    client.send_request("q1", chan="7f", term="20")
    ready.answer_as_origin()
    assert client.read_answer()[1] == "HIT"
    client.send_request("q2", chan="7f", term="1f")
    answer = client.read_answer()
    assert (answer[1], answer[2]["detail"]) == ("NONE", "OLD_TERM")
    client.send_request("q3", chan="7f")
    assert client.read_answer()[2]["detail"] == "BAD_FIELD"
    client.send_request("q4", chan="80", term="1f")
    assert client.read_answer()[1] == "HIT" and ready.origin.lines.empty()


def test_a_router_records_a_reported_holder_without_counting_a_read() -> None:
    video = RequestClass("video", latency_objective=0.5, deadline=2.0, idempotency=Idempotency.IDEMPOTENT)
    router = Router(RoutingSettings(zone="here", classes=(video,)), 1)
    router.handle(CopyReported(5, 3, "box"), 1.0)
    hot_object, reads_before, _ = router.state.hot_objects.record_read((5, 3), 1.5)
    assert (dict(hot_object.holders), reads_before) == ({"box": 1.0}, 0.0)  # no read was counted
