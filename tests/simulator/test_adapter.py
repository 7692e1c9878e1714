"""The simulator adapter, run as a process that is driven by the line protocol."""

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from paddlequay.simulator.adapter import read_settings

ROOT = Path(__file__).parents[2]
SETTINGS = {
    "locality": "here",
    "localities": ["hub", "here"],
    "kinds": ["cache", "parent", "origin"],
    "groupSize": 3,
    "classes": [
        {"name": "pages", "aim": 0.3, "deadline": 2.5, "idempotency": "read_like", "window": 5},
    ],
    "limits": {"attemptsCap": 8, "cancel": True, "retryAfter": True, "maxRetryAfter": 2},
    "rules": {"coldFrom": 0.2, "cold": 16, "fall": 3, "fallMultiple": 2.5},
    "extra": {"parentKind": 1, "rootKind": 2, "classFresh": [8.0], "peersFill": "any", "mergesFills": True},
    "unknown": {"skipped": 1},
}
ENTRIES = [
    ("10.0.0.1:7001", "here", "cache"),
    ("10.0.0.2:7002", "here", "cache"),
    ("10.0.0.3:7003", "hub", "parent"),
    ("10.0.0.4:7004", "hub", "origin"),
]


def batch(now: float, *lines: str) -> str:
    return "\n".join([f"tick\tts={now}", *lines, "your_turn"]) + "\n"


def provision(router: int, settings: object = SETTINGS) -> list[str]:
    entries = [
        f"entry\tcache={name}\trackZone={zone}\tshape={kind}\tcluster=0\tstatus=IN\tunits=1"
        for name, zone, kind in ENTRIES
    ]
    return [
        f"provision\trouter={router}\tsalt={router + 10}\tsettings={json.dumps(settings)}",
        f"update\trouter={router}\tmode=restored\tstamp=1\tmembersList={len(entries)}",
        *entries,
    ]


def query(router: int, number: int) -> str:
    fields = f"grade=pages\titem={number % 7}\tpiece={number % 3}\ttimeBudget=2.5\tpurgeGroup=1"
    return f"query\trouter={router}\trid=rq_{router}_{number}\t{fields}"


def run_adapter(text: str, hash_seed: str = "0") -> tuple[int, str, str]:
    environment = os.environ | {"PYTHONHASHSEED": hash_seed}
    command = [sys.executable, "-m", "paddlequay.adapter"]
    done = subprocess.run(command, input=text, capture_output=True, text=True, cwd=ROOT, env=environment)
    return done.returncode, done.stdout, done.stderr


def scripted_batches(routers: list[int]) -> str:
    """Returns batches with member lists, requests, every outcome, purges, and a restart within one batch."""
    batches = [batch(1.0, *[line for router in routers for line in provision(router)])]
    outcomes = ["turned_away", "no_answer", "no_connection", "connection_lost", "server_error", "not_stored"]
    for step in range(40):
        lines = []
        for router in routers:
            lines.append(query(router, step))
            outcome = outcomes[step % len(outcomes)]
            fields = f"returned\trouter={router}\trid=rq_{router}_{step - 1}\ttry=0\tcache={ENTRIES[0][0]}"
            lines.append(
                f"{fields}\tresult={outcome}\tdelaySeen=0.1\tinfo={step % 11}\tfeedback=cpu:0.5,active:3"
            )
            lines.append(f"invalidated\trouter={router}\tgroup=1\tage=0.1\titem={step % 7}")
            lines.append(f"withdrawn\trouter={router}\trid=rq_{router}_{step - 3}")
            lines.append(f"unheard_of\trouter={router}\tthing=1")
        batches.append(batch(2.0 + step / 10, *lines))
    batches.append(batch(9.0, f"kill\trouter={routers[0]}", *provision(routers[0]), query(routers[0], 99)))
    return "".join(batches)


def lines_of_router(output: str, router: int) -> list[str]:
    return [line for line in output.splitlines() if f"router={router}\t" in line]


def test_one_process_and_three_give_the_same_lines_for_any_hash_seed() -> None:
    code, together, _ = run_adapter(scripted_batches([0, 1, 2]), "1")
    assert code == 0 and together.count("ack") == 42
    for router in range(3):
        code, alone, _ = run_adapter(scripted_batches([router]), str(router + 2))
        own = lines_of_router(alone, router)
        expected = lines_of_router(together, router)
        assert code == 0 and own
        # The last batch restarts the first router of each run, so only the lines before it are compared.
        shared = [line for line in own if "_99" not in line]
        assert shared == [line for line in expected if "_99" not in line]


def test_an_obtain_line_holds_edge_parent_retention_and_age_limit() -> None:
    purge = "invalidated\trouter=0\tgroup=1\tage=0.25"
    _, output, _ = run_adapter(batch(1.0, *provision(0), purge, query(0, 0)))
    (line,) = lines_of_router(output, 0)
    fields = dict(pair.split("=") for pair in line.split("\t")[1:])
    assert line.startswith("obtain\t") and fields["rid"] == "rq_0_0"
    assert fields["feeder"] == ENTRIES[2][0] and fields["storeAs"] == "1" and float(fields["age"]) == 0.25


@pytest.mark.parametrize(
    ("lines", "error_text"),
    [
        (["returned\trouter=0\trid=r\ttry=0\tcache=c\tresult=odd\tdelaySeen=1"], "field result"),
        (["query\trouter=0\trid=r\tgrade=pages\ttimeBudget=soon"], "field timeBudget: expected a number"),
        (["query\trouter=0\trid=r\tgrade=pages"], "field timeBudget is missing"),
        (["query\trouter=0\trid"], "expected name=value"),
        (["query\trouter=7\trid=r\tgrade=pages\ttimeBudget=1"], "never provisioned"),
        (["update\trouter=0\tmode=update\tstamp=2\tmembersList=3"], "membersList"),
        (["provision\trouter=0\tsalt=1\tsettings={"], "expected a JSON object"),
        (["provision\trouter=0\tsalt=1\tsettings={}"], "classes is missing"),
        (provision(0, SETTINGS | {"groupSize": "three"}), "groupSize: expected int"),
    ],
)
def test_malformed_input_prints_one_message_and_exits_with_code_1(lines: list[str], error_text: str) -> None:
    code, output, errors = run_adapter(batch(1.0, *provision(0)) + batch(2.0, *lines))
    assert code == 1 and len(errors.splitlines()) == 1
    assert error_text in errors and "Traceback" not in errors
    assert f"bug\trouter={lines[0].split('router=')[1][0]}" in output and error_text in output


def test_input_that_ends_inside_a_batch_or_starts_without_a_tick_is_refused() -> None:
    assert run_adapter("tick\tts=1\n")[0] == 1
    code, _, errors = run_adapter("query\trouter=0\nyour_turn\n")
    assert code == 1 and "expected a tick line" in errors


def test_zone_router_count_and_reply_details_are_read_from_the_settings() -> None:
    extra = {"extra": {"countByZone": [0, 5], "detail": "all"}}
    settings = read_settings(json.dumps(SETTINGS | extra))
    assert (settings.router_count, settings.zone_router_count, settings.detailed_replies) == (3, 5, True)
    settings = read_settings(json.dumps(SETTINGS | {"locality": "elsewhere"}))
    assert (settings.zone_router_count, settings.detailed_replies) == (None, None)
