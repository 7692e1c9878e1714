"""A hot restart of a router with further member sources: DNS, saved members, and a change by SIGHUP."""

import os
import signal
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from harness import until
from rig_hot_restart import BINDS_AFTER_READY_S, RestartedRouter, end, restarted_router
from test_discovery import DnsZone

from paddlequay.net.endpoints.members import SAVE_INTERVAL_S

BOXES = tuple(f"box-{number}" for number in range(1, 8))
ALL = (*BOXES, "parent-1", "parent-2", "origin-1")
DNS_SETTINGS = """discovery {
  source { type: BULLETIN }
  source { type: DNS keep_s: 3600 }
  server: "SERVER"
  service { name: "_box._tcp.plaza.example" kind: "box" zone: "here" }
}
"""
SAVED_SETTINGS = """discovery {
  source { type: BULLETIN }
  source { type: KEPT keep_s: 3600 }
  folder: "FOLDER"
}
"""


@pytest.fixture(name="zone")
def dns_zone() -> Iterator[DnsZone]:
    zone = DnsZone()
    yield zone
    zone.close()


def settings_for(zone: DnsZone) -> str:
    return DNS_SETTINGS.replace("SERVER", "{}:{}".format(*zone.server.address))


def publish_in_dns(zone: DnsZone, router: RestartedRouter, *names: str) -> None:
    zone.publish(ttl=1, **{name.replace("box-", "host"): router.caches[name] for name in names})


def replace_process(router: RestartedRouter) -> float:
    older = router.process
    ready_at = router.start_successor()
    end(older)
    return ready_at


@pytest.mark.parametrize("gone", [("box-1",), ("box-1", "box-2", "box-3", "box-4")])
@pytest.mark.parametrize("list_is_up", [True, False])
def test_a_removed_member_that_dns_still_names_stays_out(
    zone: DnsZone, gone: tuple[str, ...], list_is_up: bool
) -> None:
    # Guards against: removals that a successor does not record, so that another source brings members back.
    with restarted_router(*ALL, discovery=settings_for(zone)) as router:
        publish_in_dns(zone, router, *BOXES)
        until(lambda: router.page()["sources"]["dns"]["words"] == len(BOXES), "DNS names the boxes")
        router.remove(*gone)
        until(lambda: not router.states().keys() & set(gone), "they are out")
        if not list_is_up:
            router.first_list.go_down()
        ready_at = replace_process(router)
        router.start_load()
        until(lambda: router.page()["sources"]["dns"]["words"] == len(BOXES), "DNS names the boxes")
        time.sleep(max(0.0, ready_at + BINDS_AFTER_READY_S - time.time()) + 0.5)
        assert not router.states().keys() & set(gone)
        assert len(router.states()) == len(ALL) - len(gone)
        assert [ask for name in gone for ask in router.asked_after(name, ready_at + 2.0)] == []


def test_members_of_a_dns_zone_that_fails_later_are_known_to_a_successor(zone: DnsZone) -> None:
    # Guards against: a successor that loses the members of DNS, as its own look-ups fail.
    with restarted_router("box-1", "parent-1", "origin-1", discovery=settings_for(zone)) as router:
        router.caches["box-2"] = type(router.caches["box-1"])("box-2", router.asks)
        publish_in_dns(zone, router, "box-2")
        until(lambda: len(router.states()) == 4, "DNS's box is a member")
        zone.server.fault = "silent"
        replace_process(router)
        assert len(router.states()) == 4


def test_saved_members_do_not_bring_back_what_the_predecessor_was_told_is_gone(tmp_path: Path) -> None:
    # Guards against: a file of saved members that is older than the predecessor's list.
    text = SAVED_SETTINGS.replace("FOLDER", str(tmp_path))
    with restarted_router(*ALL, discovery=text) as router:
        saved = tmp_path / "members-n0"
        added = type(router.caches["box-1"])("box-9", router.asks)
        router.caches["box-9"] = added
        router.publish_list(router.listed("box-9"))
        time.sleep(SAVE_INTERVAL_S)
        until(lambda: saved.exists() and b"box-9" in saved.read_bytes(), "members are saved")
        older_file = saved.read_bytes()
        router.remove("box-1", "box-9")
        kept = [router.listed(name) for name in ALL if name not in ("box-1", "box-2")]
        router.publish_list(*kept, reset=True)  # omits another one
        until(lambda: not router.states().keys() & {"box-1", "box-2", "box-9"}, "they are out")
        time.sleep(SAVE_INTERVAL_S)
        until(lambda: b"box-9" not in saved.read_bytes(), "their removal is saved")
        saved.write_bytes(older_file)  # no later save replaces it, as nothing changes any more
        router.first_list.go_down()
        replace_process(router)
        assert router.states().keys() == set(ALL) - {"box-1", "box-2"}


@pytest.mark.parametrize("when", ["before", "after"])
def test_sources_that_change_around_a_hot_restart_keep_what_was_told(zone: DnsZone, when: str) -> None:
    # Guards against: removals and omissions that are lost as SIGHUP replaces the sources.
    with restarted_router(*ALL, discovery=settings_for(zone)) as router:
        assert router.discovery is not None
        publish_in_dns(zone, router, *BOXES)
        until(lambda: router.page()["sources"]["dns"]["words"] == len(BOXES), "DNS names the boxes")
        router.remove("box-1", "box-2")
        kept = [router.listed(name) for name in ("box-6", "box-7", "parent-1", "origin-1")]
        router.publish_list(*kept, reset=True)  # omits four of eight
        until(lambda: router.page()["sources"]["list"]["left_out"] == 4, "they are omitted")
        if when == "before":
            reload_sources(router, "discovery {\n  source { type: BULLETIN }\n}\n")
        replace_process(router)
        if when == "after":
            reload_sources(router, "discovery {\n  source { type: BULLETIN }\n}\n")
        states, rules = router.states(), router.rules()
        assert states.keys() == set(ALL) - {"box-1", "box-2"}
        assert {name for name, rule in rules.items() if rule == "mass"} == {
            "box-3",
            "box-4",
            "box-5",
            "parent-2",
        }


def test_a_list_that_becomes_a_source_counts_with_all_that_it_has_told(zone: DnsZone) -> None:
    # Guards against: a list without members until it tells itself whole again, and its removals unknown.
    text = settings_for(zone).replace("  source { type: BULLETIN }\n", "")
    names = ("box-1", "box-2", "parent-1", "origin-1")
    with restarted_router(*names, discovery=text) as router:
        publish_in_dns(zone, router, "box-1", "box-2")
        until(lambda: len(router.states()) == 2, "DNS's boxes are members")
        router.remove("box-1")
        time.sleep(0.3)
        assert router.discovery is not None
        router.discovery.write_text(settings_for(zone))
        os.kill(router.process.pid, signal.SIGHUP)
        expected = {"box-2", "parent-1", "origin-1"}
        until(lambda: router.states().keys() == expected, "the list's members")
        router.first_list.go_down()
        replace_process(router)
        assert router.states().keys() == expected


def reload_sources(router: RestartedRouter, text: str) -> None:
    """Changes the sources of the newest process, and waits until they are in force."""
    assert router.discovery is not None
    router.discovery.write_text(text)
    os.kill(router.process.pid, signal.SIGHUP)
    until(lambda: router.page()["sources"].keys() == {"list"}, "the sources have changed")
