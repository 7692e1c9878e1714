"""A node refuses what a channel's former owner still sends."""

import pytest
from rig_tier import Rig, made_one, made_rig

from paddlequay.hierarchy.fencing_tokens import FencingTokens
from paddlequay.hierarchy.fill_requests import FillRequest, NodeLimits, Reply, ReplyStatus, StartFill
from paddlequay.hierarchy.migration import MigrationLimits
from paddlequay.hierarchy.node import Node
from paddlequay.net.hierarchy.tier_front import FieldError, read_channel
from paddlequay.net.upstreams.cache_messages import parse_result
from paddlequay.policy import Router
from paddlequay.protocol import caches as wire
from paddlequay.routing.interface import CopyReported, Idempotency, ReplyDetail, RequestClass, RoutingSettings

rig = pytest.fixture(made_rig, name="rig")
one = pytest.fixture(made_one, name="one")


def test_a_lower_term_is_refused_and_the_same_one_taken() -> None:
    terms = FencingTokens()
    assert terms.takes(1, 5, 0.0) and terms.takes(1, 5, 1.0) and terms.takes(1, 7, 2.0)
    assert not terms.takes(1, 6, 3.0) and terms.takes(1, 7, 3.0)
    assert terms.takes(2, 1, 3.0)  # each channel has its own


def test_what_is_remembered_has_a_bound_and_an_end() -> None:
    terms = FencingTokens(most=3, kept=10.0)
    for channel in range(5):
        terms.takes(channel, 9, 0.0)
    assert len(terms) == 3 and terms.takes(0, 1, 1.0) and not terms.takes(4, 1, 1.0)
    # Refused words keep nothing alive: a former owner that goes on for ever binds nothing.
    assert not terms.takes(4, 1, 9.9) and terms.takes(4, 1, 10.1)


def test_a_node_answers_a_lower_term_as_a_miss_and_begins_nothing() -> None:
    node = Node("a", NodeLimits(), MigrationLimits())

    def ask(term: int | None, part: int) -> list[object]:
        channel = None if term is None else (77, term)
        want = FillRequest("who", "00", part, "video", 0.0, 9.0, channel=channel)
        return list(node.ask(want, 1.0))

    assert isinstance(ask(8, 1)[0], StartFill)
    (answer,) = ask(7, 2)
    assert isinstance(answer, Reply) and (answer.word, answer.detail) == (ReplyStatus.NONE, "OLD_TERM")
    assert isinstance(ask(None, 2)[0], StartFill)  # who names no channel goes the ordinary way
    assert node.seen.counts["old_terms"] == 1
    reader = wire.CacheAnswerParser(1000, 1000)
    (told,) = reader.feed(b"x NONE detail=OLD_TERM 0\r\n\r\n")
    assert parse_result(told).detail is ReplyDetail.STALE_TERM


@pytest.mark.parametrize(
    "fields", [{"chan": "1"}, {"term": "1"}, {"chan": "x", "term": "1"}, {"chan": "0" * 17, "term": "1"}]
)
def test_fields_that_name_no_channel_and_term_are_refused(fields: dict[str, str]) -> None:
    with pytest.raises(FieldError):
        read_channel(fields)
    assert read_channel({}) is None and read_channel({"chan": "ff", "term": "10"}) == (255, 16)


def test_a_tier_serves_each_later_owner_and_refuses_the_one_before(one: Rig) -> None:
    asker = one.asker()
    asker.ask("q1", chan="7f", term="20")
    one.give()
    assert asker.answer()[1] == "HIT"
    asker.ask("q2", chan="7f", term="1f")
    word = asker.answer()
    assert (word[1], word[2]["detail"]) == ("NONE", "OLD_TERM")
    asker.ask("q3", chan="7f")
    assert asker.answer()[2]["detail"] == "BAD_FIELD"
    asker.ask("q4", chan="80", term="1f")
    assert asker.answer()[1] == "HIT" and one.store.lines.empty()


def test_a_router_believes_who_it_is_told_holds_a_part() -> None:
    kind = RequestClass("video", latency_objective=0.5, deadline=2.0, idempotency=Idempotency.IDEMPOTENT)
    router = Router(RoutingSettings(zone="here", classes=(kind,)), 1)
    router.handle(CopyReported(5, 3, "box"), 1.0)
    seen, before, _ = router.state.hot_objects.record_read((5, 3), 1.5)
    assert (dict(seen.holders), before) == ({"box": 1.0}, 0.0)  # no read was counted
