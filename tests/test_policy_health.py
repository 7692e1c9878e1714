"""Who is skipped, for what, and for how long."""

import pytest
from driver import Driver, fetches

from paddlequay.routing.interface import Action, AttemptEnded, Cancel, FleetWord, Note, Outcome, Refuse
from paddlequay.policy.health import ALIVE_S, SAME_FAULT_S, SKIP_FAILURES, TRIAL_DELAY_S


def test_a_parent_is_skipped_after_consecutive_failures_and_retried_by_one_trial() -> None:
    driver = Driver()
    home = driver.fetch().source
    for _ in range(SKIP_FAILURES):
        driver.end(driver.fetch(), Outcome.ERROR, Note.SOURCE_UNREACHED)
    assert driver.fetch().source != home
    driver.now += TRIAL_DELAY_S + 0.1
    trial = driver.fetch()
    assert trial.source == home
    assert driver.fetch().source != home
    driver.serve(trial, Note.FILLED)
    assert driver.fetch().source == home


@pytest.mark.parametrize(("note", "skipped"), [(Note.SOURCE_UNREACHED, True), (Note.SOURCE_REFUSED, False)])
def test_a_parent_that_edges_cannot_reach_is_skipped_and_one_that_is_full_is_not(
    note: Note, skipped: bool
) -> None:
    """split+mass: 3,376 attempts were refused for it while a zone was cut off, and used the repeats up."""
    driver = Driver(notes=True)
    source = driver.fetch(key=7).source
    for _ in range(SKIP_FAILURES):
        fetch = driver.fetch(key=7)
        assert fetch.source == source
        driver.now += 2 * SAME_FAULT_S
        driver.end(fetch, Outcome.REFUSED, note)
    assert (driver.fetch(key=7).source != source) == skipped


def test_a_dead_edge_is_skipped_and_what_waits_there_is_recalled() -> None:
    driver = Driver()
    held = [driver.fetch(key) for key in range(20)]
    dead = held[0].target
    waiting = [fetch for fetch in held if fetch.target == dead]
    actions: list[Action] = []
    for fetch in waiting[:SKIP_FAILURES]:
        actions = driver.end(fetch, Outcome.UNREACHED)
        driver.now += 2 * SAME_FAULT_S
        assert all(again.target != dead for again in fetches(actions))
    cancelled = {action.request for action in actions if isinstance(action, Cancel)}
    assert cancelled == {fetch.request for fetch in waiting[SKIP_FAILURES:]}
    assert all(driver.fetch(key).target != dead for key in range(20))


def test_one_broken_connection_is_one_failure_however_much_was_out_on_it() -> None:
    """rude+garble+fleet: each broken connection got a healthy member skipped and all else there recalled."""
    driver = Driver()
    fetched = [driver.fetch(key) for key in range(20)]
    edge = fetched[0].target
    lost = [fetch for fetch in fetched if fetch.target == edge]
    assert len(lost) >= SKIP_FAILURES
    actions = [action for fetch in lost for action in driver.end(fetch, Outcome.RESET)]
    assert not any(isinstance(action, Cancel) for action in actions)
    assert edge in {driver.fetch(key).target for key in range(20)}


@pytest.mark.parametrize("silent", [True, False])
def test_a_time_out_on_a_silent_connection_is_not_held_against_the_source(silent: bool) -> None:
    """r969070: parents were held to be jammed for a connection to an edge that had gone silent."""
    driver = Driver(notes=True)
    fetch = driver.fetch()
    source = driver.router.know.members.servers[fetch.source]
    limit = source.limit
    for number in range(SKIP_FAILURES):
        driver.now += 1.0
        late = driver.fetch(key=100 * number) if number else fetch
        event = AttemptEnded(late.request, 0, late.target, Outcome.TIMEOUT, 1.0, silent=silent)
        again = fetches(driver.router.handle(event, driver.now))
        assert (again[0].target == late.target) is not silent
    assert (source.limit == limit and not source.failures) is silent


def test_a_plain_error_is_held_against_a_member_only_if_it_serves_nobody() -> None:
    """rude+garble+fleet: what no cache can use is answered 'error' by each that it is sent to."""
    driver = Driver(notes=True)
    good = driver.fetch()
    driver.serve(good, Note.HIT)
    for _ in range(SKIP_FAILURES):
        driver.end(driver.fetch(), Outcome.ERROR)
        driver.now += 2 * SAME_FAULT_S
    assert driver.fetch().target == good.target
    driver.now += ALIVE_S
    for _ in range(SKIP_FAILURES):
        driver.end(driver.fetch(), Outcome.ERROR)
        driver.now += 2 * SAME_FAULT_S
    assert driver.fetch().target != good.target


def test_a_member_that_answers_others_is_slow_and_not_skipped() -> None:
    """Time-outs in a jam had members skipped, and their fills moved to parents that lacked the objects."""
    driver = Driver()
    home = driver.fetch()
    for _ in range(2 * SKIP_FAILURES):
        slow, quick = driver.fetch(), driver.fetch()
        driver.now += 1.0
        driver.serve(quick, Note.FILLED)
        driver.end(slow, Outcome.TIMEOUT)
    assert driver.fetch().target == home.target


def test_a_silent_member_is_skipped() -> None:
    driver = Driver()
    home = driver.fetch()
    held = [driver.fetch() for _ in range(2 * SKIP_FAILURES)]
    driver.now += 1.0
    for fetch in held:
        driver.end(fetch, Outcome.TIMEOUT)
    later = driver.fetch()
    assert (later.target, later.source) != (home.target, home.source)


def test_by_the_fleets_word_the_own_trial_comes_first_and_one_failure_skips() -> None:
    driver = Driver()
    home = driver.fetch().source
    driver.now += ALIVE_S + 0.1
    driver.router.handle(FleetWord(home), driver.now)
    trial = driver.fetch()
    assert trial.source == home  # at once, and alone
    assert driver.fetch().source != home
    driver.end(trial, Outcome.ERROR, Note.SOURCE_UNREACHED)
    assert driver.fetch().source != home  # a failed trial puts the next one off
    driver.now += TRIAL_DELAY_S + 0.1
    again = driver.fetch()
    assert again.source == home
    driver.serve(again, Note.FILLED)
    assert driver.fetch().source == home


def test_who_has_served_this_router_lately_is_not_skipped_by_the_fleets_word() -> None:
    driver = Driver()
    fetch = driver.fetch()
    driver.serve(fetch, Note.FILLED)
    driver.router.handle(FleetWord(fetch.source), driver.now + 0.2)
    driver.now += 0.3
    assert [driver.fetch().source for _ in range(3)] == [fetch.source] * 3
    driver.router.handle(FleetWord("nobody"), driver.now)


@pytest.mark.parametrize("silent", [True, False])
def test_a_time_out_that_its_client_had_set_too_short_is_held_against_nobody(silent: bool) -> None:
    """join+mass: 1,300 first attempts in 8 s were over before any answer was due, and edges were skipped."""
    driver = Driver(notes=True)
    know = driver.router.know
    slowness = know.latency.slowness["pages"]
    for _ in range(SKIP_FAILURES + 1):
        (fetch,) = fetches(driver.ask(left=0.2))  # the class's aim is 0.3
        assert fetch.timeout == pytest.approx(0.2)
        driver.now += 0.2
        event = AttemptEnded(fetch.request, 0, fetch.target, Outcome.TIMEOUT, 0.2, silent=silent)
        (answer,) = driver.router.handle(event, driver.now)
        assert isinstance(answer, Refuse)
    asked = [know.members.servers[name] for name in (fetch.target, fetch.source)]
    assert [server.failures for server in asked] == [0, 0] and not any(server.late for server in asked)
    assert know.latency.slowness["pages"] == slowness
