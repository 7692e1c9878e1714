"""Tests known to be red, for a real fault that is not mended yet, stand in KNOWN-RED.txt at the root.

One line each, three at most: `TEST | CAUSE | ISSUE`, with the test's whole name as pytest prints it. They are
run and expected to fail; one that passes again fails the run until its line is taken out. With
`--whole-suite`, which CI gives, so does a name that no test has.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import pytest

FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST = 3


@dataclass(frozen=True, slots=True)
class KnownRed:
    """One line of the file."""

    test: str
    cause: str
    issue: str


def read(text: str) -> list[KnownRed]:
    """The lines of the file; `pytest.UsageError` where one cannot be used, or there are too many."""
    found: list[KnownRed] = []
    for line in filter(str.strip, text.splitlines()):
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"{FILE.name}: expected TEST | CAUSE | ISSUE, got {line!r}")
        if any(parts[0] == each.test for each in found):
            raise pytest.UsageError(f"{FILE.name}: {parts[0]} stands there twice")
        found.append(KnownRed(*parts))
    if len(found) > MOST:
        raise pytest.UsageError(f"{FILE.name}: {len(found)} lines, {MOST} at most")
    return found


class Expected:
    """What the file says, held beside what is collected and how it ends."""

    def __init__(self, known: list[KnownRed], whole: bool) -> None:
        self.known, self.whole = known, whole
        self.unknown: list[str] = []

    def collected(self, names: Iterable[str]) -> None:
        """All tests that there are, in a run of the whole suite; one of several workers tells them too."""
        seen = set(names)
        if self.whole:
            self.unknown = [each.test for each in self.known if each.test not in seen]

    @pytest.hookimpl(tryfirst=True)  # before a choice by -k or -m
    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        self.collected(item.nodeid for item in items)
        causes = {each.test: f"{each.issue}: {each.cause}" for each in self.known}
        for item in items:
            if item.nodeid in causes:
                item.add_marker(pytest.mark.xfail(reason=causes[item.nodeid], strict=True))

    @pytest.hookimpl(optionalhook=True)
    def pytest_xdist_node_collection_finished(self, ids: list[str]) -> None:
        self.collected(ids)

    @pytest.hookimpl(tryfirst=True)
    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        if self.unknown and session.exitstatus == pytest.ExitCode.OK:
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        if self.known:
            terminalreporter.section("known to be red")
        for each in self.known:
            end = "no test has this name: " if each.test in self.unknown else ""
            terminalreporter.line(f"{end}{each.test} | {each.cause} | {each.issue}")


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption(
        "--whole-suite", action="store_true", help=f"a name in {FILE.name} that no test has fails the run"
    )


def pytest_configure(config: pytest.Config) -> None:
    known = read(FILE.read_text(encoding="utf-8")) if FILE.exists() else []
    config.pluginmanager.register(Expected(known, config.getoption("--whole-suite")), "known-red")
