"""SRV services without sockets: members, weights, priorities and attributes from DNS records."""

import re
from typing import Any

import dns.name
import dns.rdatatype
import pytest

from paddlequay.discovery.answers import DnsQuestion, build_query, parse_answer
from paddlequay.discovery.resolver_types import RecordSetUpdate
from paddlequay.discovery.srv import Service, ServiceWatch, TierLimits, member_id
from paddlequay.lab.dns import DnsServer

SRV, A, TXT = dns.rdatatype.SRV, dns.rdatatype.A, dns.rdatatype.TXT
NAME = dns.name.from_text("_box._tcp.plaza.example.")
HOST = dns.name.from_text("box-1.plaza.example.")


def name(text: str) -> dns.name.Name:
    return dns.name.from_text(text)


def record_set(name: dns.name.Name, kind: dns.rdatatype.RdataType, *data: str) -> RecordSetUpdate:
    server = DnsServer()
    if data:
        server.put(str(name), dns.rdatatype.to_text(kind), 60, *data)
    question = DnsQuestion(name.canonicalize(), kind, 1, ("127.0.0.1", 53))
    answer = parse_answer(question, server.answers(build_query(question, True), True)[0][1], question.server)
    return RecordSetUpdate(name.canonicalize(), kind, answer.records, 100.0)


def service_watch(*srv: str, **settings: Any) -> ServiceWatch:
    watch = ServiceWatch(Service(NAME, "box", "plaza", **settings), TierLimits(return_after=30.0))
    assert watch.update(record_set(NAME, SRV, *srv))
    for number in range(1, 7):
        watch.update(record_set(name(f"b{number}.plaza.example."), A, f"127.0.0.{number}"))
    return watch


def target_names(members: list[Any]) -> list[str]:
    return [member.id.split("_")[0] for member in members]


def test_weights_are_shares_with_a_minimum_for_0_and_ids_outlive_address_changes() -> None:
    watch = service_watch("1 30 9 b1.plaza.example.", "1 10 9 b2.plaza.example.", "1 0 9 b3.plaza.example.")
    weights = [member.weight for member in watch.members(0.0)]
    assert weights[0] == pytest.approx(3 * (weights[1] or 0)) and weights[2] == 0.01
    assert [member.weight for member in service_watch("1 0 9 b1.plaza.example.").members(0.0)] == [1.0]
    (before, *_) = watch.members(1.0)
    watch.update(record_set(name("b1.plaza.example."), A, "127.0.0.1", "127.0.0.0"))
    assert watch.members(2.0)[0].address == before.address  # still an answer, so it is kept
    watch.update(record_set(name("b1.plaza.example."), A, "127.0.0.99"))
    moved = watch.members(3.0)[0]
    assert (
        moved.id == before.id == member_id(name("B1.plaza.example."), 9) and moved.address[0] == "127.0.0.99"
    )


@pytest.mark.parametrize(("family", "host"), [("v4", "127.0.0.1"), ("v6", "::1"), ("both", "127.0.0.1")])
def test_targets_are_resolved_by_the_configured_address_family(family: str, host: str) -> None:
    watch = service_watch("1 1 9 b1.plaza.example.", family=family)
    watch.update(record_set(name("b1.plaza.example."), dns.rdatatype.AAAA, "::1"))
    assert [member.address for member in watch.members(0.0)] == [(host, 9)]
    watch.update(record_set(name("b1.plaza.example."), A))
    assert [member.address for member in watch.members(1.0)] == ([] if family == "v4" else [("::1", 9)])


def test_priorities_fall_back_at_once_and_return_once_the_recovery_lasts() -> None:
    watch = service_watch(
        "1 1 9 b1.plaza.example.",
        "1 1 9 b2.plaza.example.",
        "5 1 9 b3.plaza.example.",
        "9 1 9 b4.plaza.example.",
    )
    assert target_names(watch.members(0.0)) == ["b1", "b2"]
    for number in (1, 2):
        watch.update(record_set(name(f"b{number}.plaza.example."), A))
    assert target_names(watch.members(1.0)) == ["b3"]
    watch.update(record_set(name("b1.plaza.example."), A, "127.0.0.1"))
    assert target_names(watch.members(2.0)) == ["b3"]
    watch.update(record_set(name("b2.plaza.example."), A, "127.0.0.2"))
    assert target_names(watch.members(3.0)) == ["b3"] and target_names(watch.members(20.0)) == ["b3"]
    watch.update(record_set(name("b2.plaza.example."), A))
    watch.members(25.0)
    watch.update(record_set(name("b2.plaza.example."), A, "127.0.0.2"))
    assert target_names(watch.members(34.0)) == ["b3"] and target_names(watch.members(63.0)) == ["b3"]
    assert target_names(watch.members(64.1)) == ["b1", "b2"]


def test_a_root_target_a_port_of_0_and_a_duplicate_add_no_member() -> None:
    watch = service_watch("0 0 0 .")
    assert watch.not_offered and watch.members(0.0) == []
    watch = service_watch("1 1 0 b1.plaza.example.", "1 1 9 b2.plaza.example.", "1 5 9 b2.plaza.example.")
    assert target_names(watch.members(0.0)) == ["b2"]
    assert {kind for _, kind in watch.required_names()} == {SRV, A}


def test_zone_cell_and_kind_come_from_the_name_or_a_txt_record() -> None:
    watch = service_watch(
        "1 1 9 b1.plaza.example.",
        "1 1 9 b2.plaza.example.",
        txt=True,
        naming=re.compile(r"b(?P<cell>\d+)\.(?P<zone>\w+)"),
    )
    txt = 'zone=east cell=7 started=1700000000 junk=1 "kind=parent"'
    watch.update(record_set(name("b2.plaza.example."), TXT, txt.replace('"', "").join('""')))
    one, two = watch.members(0.0)
    assert (one.kind, one.zone, one.cell, one.started) == ("box", "plaza", 1, None)
    assert (two.kind, two.zone, two.cell, two.started) == ("parent", "east", 7, 1700000000.0)
