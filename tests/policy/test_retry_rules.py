"""Retries, the retry budget and age limits of copies."""

import pytest
from driver import Driver, fetches

from paddlequay.policy.copy_age import MAX_PURGES
from paddlequay.policy.retry_rules import MAX_RETRY_BUDGET_ATTEMPTS, RETRY_BUDGET_RATIO
from paddlequay.routing.interface import ClientDisconnected, Fail, Fetch, Outcome, Purged, Reject, ReplyDetail


def test_a_request_of_a_lost_connection_gets_one_retry_beyond_the_budget() -> None:
    """Otherwise, thirty requests on one lost connection would use up the budget."""
    driver = Driver()
    driver.router.state.retries.budget = 0.0
    (again,) = fetches(driver.end(driver.fetch(), Outcome.RESET))
    assert again.source != again.target
    driver.router.state.retries.budget = 0.0
    (cached_read,) = fetches(driver.end(again, Outcome.RESET, attempt=1))
    assert cached_read.source == cached_read.target


def test_a_purge_limits_the_age_until_all_copies_are_cleared() -> None:
    driver = Driver()
    driver.router.handle(Purged(age=0.2, group=1), driver.now)
    driver.now += 1
    assert driver.fetch().max_age == pytest.approx(1.2)
    driver.now += 6
    assert driver.fetch().max_age is None


def test_purges_beyond_the_bound_of_the_table_apply_to_every_object() -> None:
    driver = Driver()
    for key in range(MAX_PURGES + 1):
        driver.router.handle(Purged(age=0.1, key=1000 + key), driver.now)
    assert len(driver.router.state.purges.purged_at) == MAX_PURGES
    assert driver.fetch().max_age == pytest.approx(0.1)


def test_a_non_idempotent_request_that_may_have_run_fails_without_a_retry() -> None:
    driver = Driver()
    actions = driver.end(driver.fetch(class_name="pays"), Outcome.RESET)
    assert [type(action) for action in actions if not isinstance(action, Fetch)] == [Fail]
    assert not fetches(actions)


def test_a_non_idempotent_request_that_did_not_run_is_retried() -> None:
    driver = Driver()
    assert fetches(driver.end(driver.fetch(class_name="pays"), Outcome.CONNECT_FAILED))


def test_a_request_with_an_idempotency_key_is_retried_inside_its_window_only() -> None:
    driver = Driver()
    fetch = driver.fetch(class_name="orders")
    driver.now += 0.5
    (again,) = fetches(driver.end(fetch, Outcome.RESET))
    driver.now += 1.45
    actions = driver.end(again, Outcome.RESET, attempt=1)
    assert not fetches(actions) and any(isinstance(action, Reject) for action in actions)


def test_retries_end_with_their_budget_except_for_one_cache_lookup() -> None:
    driver = Driver()
    all_retries = []
    for key in range(100):
        key_retries = fetches(driver.end(driver.fetch(key), Outcome.MISS, ReplyDetail.SOURCE_MISS))
        all_retries += key_retries
        for fetch in key_retries:
            driver.router.handle(ClientDisconnected(fetch.request), driver.now)
            driver.end(fetch, Outcome.CANCELLED, attempt=1)
    fills = [fetch for fetch in all_retries if fetch.source != fetch.target]
    assert len(fills) <= MAX_RETRY_BUDGET_ATTEMPTS + 100 * RETRY_BUDGET_RATIO
    assert len(all_retries) <= 100
