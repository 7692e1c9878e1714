"""What one process of a router was told of members holds in its successor: on real processes."""

import time

import pytest
from rig_hot_restart import (
    BINDS_AFTER_READY_S,
    BINDS_AFTER_TOLD_S,
    LIST_ONLY,
    RestartedRouter,
    end,
    restarted_router,
)

BOXES = ("box-1", "box-2", "box-3", "box-4", "box-5")
PARENTS = ("parent-1", "parent-2", "parent-3")
ALL = (*BOXES, *PARENTS, "origin-1")
GONE = ("box-1", "box-2", "box-3", "parent-1")


def watch(router: RestartedRouter, gone: tuple[str, ...], bound: float, seconds: float = 1.5) -> None:
    """Lets requests come for a while after a bound, and expects that none names a member that is gone."""
    time.sleep(max(0.0, bound - time.time()) + seconds)
    assert [ask for name in gone for ask in router.asked_after(name, bound)] == []
    assert any(ask.at > bound for ask in router.asks), (router.load_results[-20:], router.log[-40:])


def test_members_that_were_removed_before_a_hot_restart_stay_out() -> None:
    # Guards against: gone members in service again by rule `mass`, as the handed-over list lacks them.
    with restarted_router(*ALL) as router:
        for name in GONE:
            router.drain(name)
            router.remove(name)
        router.wait_for(parent_1=None)
        older = router.process
        router.start_load()
        ready_at = router.start_successor()
        end(older)
        assert not router.states().keys() & set(GONE)
        watch(router, GONE, ready_at + BINDS_AFTER_READY_S)


SOURCES = pytest.mark.parametrize("discovery", [LIST_ONLY, None], ids=["membership", "list alone"])


@SOURCES
def test_a_third_process_knows_what_the_first_was_told(discovery: str | None) -> None:
    # Guards against: removals that only the process that was told itself hands over.
    with restarted_router(*ALL, discovery=discovery) as router:
        router.remove(*GONE)
        time.sleep(0.3)
        router.first_list.go_down()
        for _ in range(2):
            older = router.process
            ready_at = router.start_successor()
            end(older)
        router.start_load()
        watch(router, GONE, ready_at + BINDS_AFTER_READY_S, seconds=0.5)


@SOURCES
@pytest.mark.parametrize("told", ["older", "newer"])
@pytest.mark.parametrize("numbers", ["common numbers", "other numbers"])
def test_a_removal_that_one_process_is_told_of_holds_in_both(
    told: str, numbers: str, discovery: str | None
) -> None:
    # Guards against: requests of the process whose endpoint list is late or down, while both serve.
    with restarted_router(*ALL, discovery=discovery) as router:
        router.start_load()
        second_list = router.new_list()
        changed = {"known": {"no": 1, "items": router.events[:1]}} if numbers == "other numbers" else {}
        if changed:
            changed["known"] = {**changed["known"], "generation": 2}
        router.configure(bulletin=second_list.address, **changed)
        consoles = [router.console]
        router.start_successor()
        consoles.append(router.console)
        late = second_list if told == "older" else router.first_list
        late.limit = len(router.events)
        told_at = router.remove("box-1", "parent-1")
        watch(router, ("box-1", "parent-1"), told_at + BINDS_AFTER_TOLD_S, seconds=1.0)
        router.drain("box-2")
        told_at = time.time()
        watch(router, ("box-2",), told_at + BINDS_AFTER_TOLD_S, seconds=1.0)
        for console in consoles if discovery is not None else ():
            states = router.states(console)
            assert "box-1" not in states and states["box-2"] == "draining"


@SOURCES
@pytest.mark.parametrize("numbers", ["common numbers", "other numbers"])
def test_removals_are_known_to_a_process_that_starts_while_the_list_is_down(
    numbers: str, discovery: str | None
) -> None:
    # Guards against: members of the configuration that the predecessor alone knows to be gone.
    with restarted_router(*ALL, discovery=discovery) as router:
        router.drain("box-4")
        router.remove(*GONE)
        time.sleep(0.5)
        router.first_list.go_down()
        older = router.process
        if numbers == "other numbers":
            router.configure(known={**router.known, "generation": 2})
        router.start_load()
        ready_at = router.start_successor()
        end(older)
        watch(router, (*GONE, "box-4"), ready_at + BINDS_AFTER_READY_S, seconds=0.5)


def test_a_removed_id_at_a_new_address_is_in_service_and_its_old_address_is_not() -> None:
    with restarted_router(*ALL) as router:
        old = router.caches["box-1"]
        router.remove("box-1", "box-2", "box-3")
        router.caches["box-1"] = moved = type(old)("box-1 moved", router.asks)
        router.publish_list(router.listed("box-1", startedAtMs=round(time.time() * 1000) - 60_000))
        # A new member at the address of one that is gone.
        router.caches["box-6"] = router.caches["box-2"]
        router.publish_list(router.listed("box-6", startedAtMs=round(time.time() * 1000) - 60_000))
        router.wait_for(box_1="ready", box_2=None, box_6="ready")
        older = router.process
        ready_at = router.start_successor()
        end(older)
        router.wait_for(box_1="ready", box_2=None, box_3=None, box_6="ready")
        router.start_load()
        time.sleep(max(0.0, ready_at + BINDS_AFTER_READY_S - time.time()) + 1.0)
        served = {ask.cache for ask in router.asks if ask.at > ready_at}
        assert "box-1 moved" in served and "box-2" in served and not served & {"box-1", "box-3"}
        old.listener.close()
        moved.listener.close()


@pytest.mark.parametrize("told", ["both", "older", "newer"])
def test_a_removed_member_that_is_back_before_the_yes_is_in_service(told: str) -> None:
    # Guards against: a removal that is handed over although it was revoked.
    with restarted_router(*ALL) as router:
        router.remove(*GONE)
        router.wait_for(parent_1=None)
        second_list = router.new_list()
        router.configure(bulletin=second_list.address)
        late = {"both": None, "older": second_list, "newer": router.first_list}[told]
        if late is not None:
            late.limit = len(router.events)
        router.publish_list(router.listed("box-1"))
        if told != "newer":
            router.wait_for(box_1="ready")
        older, console = router.process, router.console
        router.start_successor()
        router.wait_for(box_1="ready", box_2=None, box_3=None, parent_1=None)
        assert router.states(console)["box-1"] == "ready"
        end(older)
        router.wait_for(box_1="ready", box_2=None)


def test_an_omission_under_way_continues_in_the_successor() -> None:
    # Guards against: an omission that begins anew with each process, or whose members leave at once.
    text = "discovery {\n  source { type: BULLETIN }\n  mass_removal { confirm_s: 4 }\n}\n"
    with restarted_router(*ALL, discovery=text) as router:
        kept = [router.listed(name) for name in ALL if name not in GONE]
        omitted_at = router.publish_list(*kept, reset=True)
        time.sleep(1.5)
        assert {name for name, rule in router.rules().items() if rule == "mass"} == set(GONE)
        older = router.process
        router.start_successor()
        end(older)
        rules = router.rules()
        assert {name for name, rule in rules.items() if rule == "mass"} == set(GONE)
        asked_at = time.time()
        reasons = {member["id"]: member["why"] for member in router.page()["members"]}
        omitted_s = int(reasons["box-1"].split("since ")[1].split()[0])
        assert omitted_s >= int(asked_at - omitted_at) - 1 >= 0
        time.sleep(max(0.0, omitted_at + 5.0 - time.time()))  # 4 s after it was told at the latest
        router.publish_list(*kept, reset=True)  # confirms it
        router.wait_for(box_1=None, box_2=None, box_3=None, parent_1=None)
