"""Limits that stand in for what settings and deployment tell follow from it, and add up."""

import re
import resource
from pathlib import Path
from typing import Any

import pytest
from harness import SETTINGS, platform, until
from hypothesis import given, settings
from hypothesis import strategies as st
from rig_configuration import FULL

from paddlequay.config import limits as told
from paddlequay.config.limits import Limits, limits_from, shutdown_times
from paddlequay.config.settings import parse_settings
from paddlequay.errors import ConfigError
from paddlequay.programs import shutdown as ending


@settings(deadline=None, derandomize=True)
@given(st.floats(0.05, 100.0))
def test_shutdown_phases_come_in_order_and_the_last_before_sigkill(longest: float) -> None:
    times, killed = shutdown_times(longest), min(3.0, longest) + 0.7
    assert times["shutdown_timeout"] + ending.FLUSH_TIME_S < killed
    assert 0 < times["accept_after_term"] <= times["serve_after_term"] < times["shutdown_timeout"]
    if longest >= 0.21:  # requests still come for 0.6 s, and the platform grants 0.05 s
        assert times["serve_after_term"] > 0.65
    if longest >= 0.3:
        assert (times["accept_after_term"], times["serve_after_term"]) == (0.5, 0.75)
    # Who has asked before the end is near has all the time that counts, but for what an end itself takes.
    assert times["shutdown_timeout"] >= min(3.0, longest) + 0.5 - 1e-9


@pytest.mark.parametrize("longest", [3.0, 6.0, 10.0])
def test_with_deadlines_of_three_seconds_and_more_the_shutdown_is_the_longest(longest: float) -> None:
    assert shutdown_times(longest)["shutdown_timeout"] == pytest.approx(3.5)


def limits(**also: Any) -> Limits:
    """Limits of a deployment; `sockets` is the deployment's, the rest are of the settings."""
    data = {"limits": {"sockets": also.pop("sockets", 1024)}, "settings": FULL | {"limits": also}}
    return limits_from(data, parse_settings(data["settings"]))


@settings(deadline=None, derandomize=True)
@given(st.integers(36, 100_000))
def test_descriptors_add_up_to_what_is_allowed(sockets: int) -> None:
    made = limits(sockets=sockets)
    assert made.client_connections <= sockets / 3
    assert made.client_connections + made.all_cache_connections + made.reserved_descriptors <= sockets
    assert made.client_connections > 0 and made.all_cache_connections >= 4
    assert 0 < made.console_connections <= made.reserved_descriptors - told.NON_CONSOLE_DESCRIPTORS


@pytest.mark.parametrize("sockets", [0, 5, 35])
def test_too_few_descriptors_are_rejected(sockets: int) -> None:
    with pytest.raises(ConfigError, match=r"limits\.sockets"):
        limits(sockets=sockets)


@settings(deadline=None, derandomize=True)
@given(st.floats(0.4, 1000.0))
def test_idle_connections_are_closed_here_before_their_peers_close_them(keepalive: float) -> None:
    made = limits(keepalive=keepalive)
    assert 0 < made.max_reuse_idle <= made.cache_idle_timeout and made.max_reuse_idle <= 0.1
    assert made.cache_idle_timeout + made.sweep_interval < keepalive


@pytest.mark.parametrize(("streams", "used"), [(1, 1), (32, 32), (100_000, 512)])
def test_requests_in_flight_on_a_connection_never_exceed_the_remembered_ids(streams: int, used: int) -> None:
    assert limits(streamsPerConn=streams).cache_streams == used


@pytest.mark.parametrize(("dial", "waits"), [(0.05, 0.05), (0.4, 0.4), (1000, 3.0)])
def test_no_connection_is_waited_for_beyond_the_longest_deadline(dial: float, waits: float) -> None:
    assert limits(dialTimeout=dial).connect_timeout == waits


@pytest.mark.parametrize(("deadline", "at_least"), [(3.0, 10.0), (12.0, 18.5)])
def test_a_client_that_reads_nothing_is_not_closed_while_a_request_is_waited_for(
    deadline: float, at_least: float
) -> None:
    # Guards against: requests lost with a connection closed for stalling before their deadline.
    classes = [each | {"deadline": deadline} for each in SETTINGS["classes"]]
    made = limits_from({"settings": {}}, parse_settings(SETTINGS | {"classes": classes}))
    assert made.client_stall_timeout == at_least


def test_the_programs_own_descriptors_match_their_reserve() -> None:
    with platform() as p:
        p.ready()
        p.bulletin.accepted.get(timeout=5)
        held = len(list(Path(f"/proc/{p.process.pid}/fd").iterdir()))
    assert held <= told.NON_CONSOLE_DESCRIPTORS


def test_a_shutdown_with_short_deadlines_does_not_wait_for_a_client_that_reads_nothing() -> None:
    """Answers wait for a client that takes none: what is flushed at the end ends before SIGKILL does it."""
    longest = 0.5
    classes = [each | {"deadline": longest, "aim": 0.2} for each in SETTINGS["classes"]]
    with platform(settings=SETTINGS | {"classes": classes}) as p:
        client = p.client()
        for part in range(25):
            client.ask(slice=str(part), ttl="500")
            p.box.answer("HIT", "tag=0,minted=1764576000000", b"x" * 240_000)
        until(lambda: p.counted("answer_bytes") > 20 * 240_000, "most are on their way")
        assert p.end() == 0
        found = re.search(r" after=([0-9.]+)", p.logged("event=shutdown_ended"))
    # Half of what is left until SIGKILL, and half beyond it, are the machine's that runs this test.
    assert found is not None and longest + 0.6 < float(found[1]) < longest + 0.7 + 0.2


@pytest.mark.parametrize("sockets", [36, 60, 100])
def test_with_few_descriptors_clients_at_their_quota_leave_the_reserve_free(sockets: int) -> None:
    with platform(limits={"sockets": sockets, "memory_mb": 192}) as p:
        p.ready()
        resource.prlimit(p.process.pid, resource.RLIMIT_NOFILE, (sockets, sockets))
        crowd = [p.client() for _ in range(sockets)]
        until(lambda: p.counted("client_connections") >= sockets, "all were taken in")
        first = crowd[-1]
        number = first.ask()
        p.box.answer("HIT", "tag=0,minted=1764576000000", b"bytes")
        assert first.answer()[:3] == [1, number, None]
        assert p.call("/-/ready", "GET")[0] == 200
        assert len(list(Path(f"/proc/{p.process.pid}/fd").iterdir())) <= sockets
        assert p.counted("closed_silent_clients") >= sockets - sockets // 3
        assert not any("Traceback" in line or "Too many open files" in line for line in p.log)
