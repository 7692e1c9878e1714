"""A configuration made for another site, or spoilt: it is used, or said in one line; never a traceback."""

import copy
import dataclasses
import json
import math
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from harness import ROOT, SETTINGS, platform
from rig_configuration import CLASSES, FULL, SPOILT, WHOLE, changed, read

from paddlequay.config.limits import Limits
from paddlequay.config.loader import Config
from paddlequay.errors import ConfigError
from paddlequay.policy import Router
from paddlequay.routing.interface import (
    AttemptEnded,
    Fail,
    Fetch,
    Member,
    MembersChanged,
    MemberState,
    Outcome,
    Reject,
    ReplyDetail,
    Request,
)

MEMBERS = (
    *(Member(f"box-{n}", "here", "box", n, MemberState.READY, 1.0, 95.0) for n in range(2)),
    Member("parent-1", "hub", "parent", 2, MemberState.READY, 1.0, 95.0),
    Member("origin-1", "hub", "origin", 3, MemberState.READY, 1.0, 95.0),
)
ENDS = (
    Outcome.REJECTED,
    Outcome.TIMEOUT,
    Outcome.SERVED,
    Outcome.MISS,
    Outcome.CONNECT_FAILED,
    Outcome.RESET,
)


def paths(value: Any, at: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    """Where something stands in a configuration."""
    if at:
        yield at
    for key, each in (
        value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    ):
        yield from paths(each, (*at, key))


def serves(config: Config) -> None:
    """Each request of each class comes to one end, whatever its attempts come to."""
    router, now, number = Router(config.settings, config.seed), 100.0, 0
    router.handle(MembersChanged(MEMBERS, True), now)
    for kind in config.settings.classes:
        for key in range(len(ENDS)):
            number, ends = number + 1, 0
            actions = router.handle(Request(f"r{number}", kind.name, 1.0, key, 0, 3), now)
            for step in range(50):
                assert all(
                    type(each) in (Fetch, Reject, Fail) for each in actions if hasattr(each, "request")
                )
                ends += sum(isinstance(each, Reject | Fail) for each in actions)
                fetch = next((each for each in actions if isinstance(each, Fetch)), None)
                if fetch is None:
                    break
                now += 0.02
                end = ENDS[(key + step) % len(ENDS)]
                ended = AttemptEnded(
                    fetch.request, step, fetch.target, end, 0.02, end is Outcome.SERVED, ReplyDetail.HIT
                )
                ends += ended.final
                actions = router.handle(ended, now)
            assert ends == 1


@pytest.mark.parametrize("value", [*SPOILT, "dropped"])
def test_any_field_value_is_used_or_rejected_in_one_line(value: str, tmp_path: Path) -> None:
    used = 0
    for path in paths(WHOLE):
        data = changed(path, SPOILT.get(value), drop=value == "dropped")
        try:
            config = read(tmp_path, data)
        except ConfigError as error:
            assert str(error) and len(str(error)) <= 300 and len(str(error).splitlines()) == 1, path
            continue
        used += 1
        serves(config)
        figures = [getattr(config.limits, each.name) for each in dataclasses.fields(Limits)]
        assert all(math.isfinite(figure) and figure >= 0 for figure in figures), path
        assert config.limits.cache_streams >= 1 and config.limits.max_attempts >= 1, path
    assert 0 < used < sum(1 for _ in paths(WHOLE)), "some are used, and some are not"


FILES = {
    "empty": "",
    "cut off": '{"settings": {',
    "a list": "[]",
    "nested without end": "[" * 100_000,
    "a number of 5000 digits": '{"settings": ' + "9" * 5000 + "}",
    "no settings": "{}",
}


@pytest.mark.parametrize("name", FILES)
def test_an_invalid_configuration_file_is_rejected_in_one_line(name: str, tmp_path: Path) -> None:
    with pytest.raises(ConfigError) as caught:
        read(tmp_path, FILES[name])
    assert len(str(caught.value).splitlines()) == 1 and len(str(caught.value)) <= 300


def test_unknown_fields_are_ignored(tmp_path: Path) -> None:
    plain = read(tmp_path, WHOLE)
    data = copy.deepcopy(WHOLE)
    for where in (data, data["settings"], *(data["settings"][each] for each in ("limits", "rules", "extra"))):
        where |= {"notKnown": [{"x": math.inf}], "": None}
    for kind in data["settings"]["classes"]:
        kind["notKnown"] = {"x": -1}
    assert read(tmp_path, data) == plain


def test_a_missing_field_is_not_zero(tmp_path: Path) -> None:
    needed = {key: FULL[key] for key in ("locality", "classes")}
    settings = read(tmp_path, WHOLE | {"settings": needed}).settings
    assert (
        settings.max_retry_after is None and settings.can_cancel is None and settings.purge_completion is None
    )
    zero = FULL["limits"] | {"maxRetryAfter": 0}
    assert read(tmp_path, WHOLE | {"settings": FULL | {"limits": zero}}).settings.max_retry_after == 0.0


OTHERS: dict[str, dict[str, Any]] = {
    "one class": {"classes": CLASSES[:1]},
    "twenty classes": {
        "classes": [each | {"name": f"{each['name']}.{n}"} for n in range(7) for each in CLASSES]
    },
    "classes in another order": {"classes": CLASSES[::-1]},
    "odd names": {
        "classes": [
            each | {"name": name}
            for each, name in zip(CLASSES, ("ünï-çode.1", "a=b", "cancelRequest"), strict=True)
        ]
    },
    "no windows": {"classes": [{k: v for k, v in each.items() if k != "window"} for each in CLASSES]},
    "keyed by cell": {"classes": [each | {"dedupScope": "cell"} for each in CLASSES]},
    "a word for a group that is not known": {"classes": [each | {"dedupScope": "row"} for each in CLASSES]},
    "worth nothing": {"classes": [each | {"worth": 0} for each in CLASSES]},
    "all may be written only": {"extra": FULL["extra"] | {"goesThrough": [True, True, True]}},
    "no parents": {"extra": {k: v for k, v in FULL["extra"].items() if k != "parentKind"}},
    "no parents told so": {"extra": FULL["extra"] | {"parentKind": -1}},
    "no zones": {"localities": []},
    "no kinds": {"kinds": []},
    "nominal": {"weights": "nominal"},
    "rough": {"weights": "rough"},
    "no limits": {"limits": {}},
    "no rules": {"rules": {}},
    "no extra": {"extra": {}},
    "no advice": {"limits": FULL["limits"] | {"retryAfter": False, "maxRetryAfter": 0}},
    "one attempt": {"limits": FULL["limits"] | {"attemptsCap": 1}},
    "nothing given up": {"limits": FULL["limits"] | {"cancel": False, "parallelTries": False}},
    "one stream": {"limits": FULL["limits"] | {"streamsPerConn": 1}},
    "short connects": {"limits": FULL["limits"] | {"dialTimeout": 0.01, "keepalive": 1}},
    "long connects": {"limits": FULL["limits"] | {"dialTimeout": 1000, "keepalive": 86400}},
}


@pytest.mark.parametrize("other", OTHERS)
def test_settings_of_others_are_used(other: str, tmp_path: Path) -> None:
    serves(read(tmp_path, WHOLE | {"settings": FULL | OTHERS[other]}))


@pytest.mark.parametrize("name", ["", "a b", "a,b", "a\r\nQUIT x", "hold"])
def test_an_unrepresentable_or_duplicate_class_is_rejected(name: str, tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match="classes"):
        read(tmp_path, changed(("settings", "classes", 2, "name"), name))


# --- the program ---

BAD: dict[str, tuple[tuple[Any, ...], Any]] = {
    "no class": (("settings", "classes"), []),
    "an aim of nothing": (("settings", "classes", 0, "aim"), 0),
    "a worth without end": (("settings", "classes", 0, "worth"), math.inf),
    "a huge deadline": (("settings", "classes", 0, "deadline"), 10**400),
    "a count below zero": (("settings", "groupSize"), -1),
    "sockets without end": (("limits", "sockets"), math.inf),
    "no number of the last event": (("known", "no"), "x"),
    "an event that cannot be read": (("known", "items"), [{"no": 1, "roster": {"instances": 5}}]),
}


@pytest.mark.parametrize("bad", BAD)
def test_a_start_with_an_invalid_configuration_ends_with_one_line_and_exit_code_2(
    bad: str, tmp_path: Path
) -> None:
    file = tmp_path / "config.json"
    with socket.create_server(("127.0.0.1", 0)) as taken:
        port = taken.getsockname()[1]
    data = changed(*BAD[bad]) | {"listen": f"127.0.0.1:{port}", "console": None}
    file.write_text(json.dumps(data))
    environment = {"ROUTER_CONFIG": str(file), "TMPDIR": str(tmp_path)}
    ended = subprocess.run(
        [sys.executable, "-m", "paddlequay"],
        cwd=ROOT,
        env=environment,
        capture_output=True,
        text=True,
        timeout=20,
    )
    assert ended.returncode == 2 and not ended.stdout
    assert len(ended.stderr.splitlines()) == 1 and ended.stderr.startswith("paddlequay: ")


@pytest.mark.parametrize("bad", ["no class", "a huge deadline", "sockets without end"])
def test_a_reload_of_an_invalid_configuration_keeps_the_old_one_and_logs_one_line(bad: str) -> None:
    with platform() as p:
        p.ready()
        data = changed(*BAD[bad]) | {"bulletin": "127.0.0.1:9"}
        Path(p.config).write_text(json.dumps(data))
        p.process.send_signal(signal.SIGHUP)
        p.logged("event=reload_refused")
        client = p.client()
        number = client.ask()
        p.box.answer("HIT", "tag=0,minted=1764576000000", b"bytes")
        assert client.answer()[:3] == [1, number, None]
        assert p.counted("reloads_refused") == 1 and not any("Traceback" in line for line in p.log)
        assert p.end() == 0


def test_the_program_serves_each_class_of_settings_made_for_another_site() -> None:
    names = {
        "post.1": ("idempotency_key", "zone", 0.3),
        "cancelRequest": ("idempotency_key", "cell", 0.2),
        "rücken": ("idempotency_key", "all", 0.4),
        "a=b": ("non_idempotent", None, None),
        "large-part": ("read_like", None, None),
    }
    classes = [
        {
            "name": name,
            "aim": 1.0,
            "deadline": 4.0,
            "idempotency": effect,
            "dedupScope": group,
            "window": window,
        }
        for name, (effect, group, window) in names.items()
    ]
    limits = {"cancel": False, "parallelTries": False, "attemptsCap": 1, "streamsPerConn": 1, "keepalive": 1}
    extra = SETTINGS["extra"] | {"goesThrough": [True, True, True, True, False], "detail": "none"}
    settings = SETTINGS | {"classes": classes, "limits": limits | {"dialTimeout": 2}, "extra": extra}
    with platform(settings=settings) as p:
        client = p.client()
        for name in names:
            number = client.ask(name, ttl="3500", body=b"w" if names[name][0] != "read_like" else b"")
            asked = []
            while not client.answered():
                for party in (p.box, p.parent, p.origin):
                    if not party.lines.empty():
                        asked.append(party.answer("HIT", "tag=0,minted=1764576000000", b"bytes"))
            assert client.answer()[:3] == [1, number, None]
            assert len(asked) == 1 and f"queue={name}," in asked[0][2]
        assert p.end() == 0
