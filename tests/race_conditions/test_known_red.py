"""Tests known to be red: passed over one by one, printed, and never more than the file says."""

import shutil
import subprocess
import sys
from pathlib import Path

import pytest
from harness import ROOT

RED, GREEN = "tests/test_tiny.py::test_red", "tests/test_tiny.py::test_green[a b]"
TESTS = """
import pytest

def test_red():
    assert not "the fault"

@pytest.mark.parametrize("value", ["a b"])
def test_green(value):
    pass
"""
SCRIPT = "review/3/run.sh"
LINE = "{} | pytest -k red, seed 3 | bytes are lost at a close | issue 7"
Run = subprocess.CompletedProcess[str]


def run(folder: Path, *lines: str, more: tuple[str, ...] = (), tests: str = TESTS) -> Run:
    """A suite of two tests, one red, run with such a file."""
    (folder / "tests").mkdir()
    shutil.copy(ROOT / "tests/conftest.py", folder / "tests/conftest.py")
    (folder / "tests/test_tiny.py").write_text(tests)
    (folder / "pytest.ini").write_text("[pytest]\naddopts = -q -p no:cacheprovider\ntestpaths = tests\n")
    script = folder / SCRIPT
    script.parent.mkdir(parents=True)
    script.write_text("touch ran\nexit 1\n")
    if lines:
        (folder / "KNOWN-RED.txt").write_text("\n".join(lines) + "\n")
    command = [sys.executable, "-m", "pytest", *more]
    return subprocess.run(command, cwd=folder, capture_output=True, text=True, timeout=60)


def test_without_the_file_a_red_test_fails_the_run(tmp_path: Path) -> None:
    assert run(tmp_path, more=("--whole-suite",)).returncode == 1


@pytest.mark.parametrize("more", [(), ("--whole-suite",), ("-n", "2", "--whole-suite")])
def test_a_listed_test_is_run_tolerated_and_printed(more: tuple[str, ...], tmp_path: Path) -> None:
    done = run(tmp_path, LINE.format(RED), more=more)
    assert done.returncode == 0
    assert done.stdout.count("known to be red") == 1 and LINE.format(RED) in done.stdout.splitlines()


@pytest.mark.parametrize("more", [(), ("-n", "2")])
def test_a_listed_test_that_passes_again_fails_the_run(more: tuple[str, ...], tmp_path: Path) -> None:
    done = run(tmp_path, LINE.format(RED), LINE.format(GREEN), more=more)
    assert done.returncode == 1 and f"FAILED {GREEN}" in done.stdout and f"FAILED {RED}" not in done.stdout


def test_another_red_test_beside_a_listed_one_fails_the_run(tmp_path: Path) -> None:
    done = run(tmp_path, LINE.format(RED), tests=TESTS + "\n\ndef test_other():\n    assert False\n")
    assert done.returncode == 1 and "FAILED tests/test_tiny.py::test_other" in done.stdout


@pytest.mark.parametrize("more", [("--whole-suite",), ("-n", "2", "--whole-suite")])
def test_a_name_that_no_test_has_fails_a_run_of_the_whole_suite(
    more: tuple[str, ...], tmp_path: Path
) -> None:
    name = "tests/test_tiny.py::test_gone"
    done = run(tmp_path, LINE.format(RED), LINE.format(name), more=more)
    assert done.returncode == 1 and f"no test has this name: {name}" in done.stdout


@pytest.mark.parametrize("more", [(), ("--whole-suite",), ("-n", "2", "--whole-suite")])
def test_a_listed_review_case_is_printed_and_not_run(more: tuple[str, ...], tmp_path: Path) -> None:
    # Guards against: cases of a review that stay red and stand in no list, as their scripts are no tests.
    done = run(tmp_path, LINE.format(RED), LINE.format(SCRIPT), more=more)
    assert done.returncode == 0 and "no test has this name" not in done.stdout
    assert done.stdout.splitlines().count(LINE.format(SCRIPT)) == 1
    assert not list(tmp_path.rglob("ran"))


def test_a_listed_review_case_excuses_no_test(tmp_path: Path) -> None:
    done = run(tmp_path, LINE.format(SCRIPT), more=("--whole-suite",))
    assert done.returncode == 1 and f"FAILED {RED}" in done.stdout


def test_ten_lines_are_allowed(tmp_path: Path) -> None:
    names = "\n".join(f"def test_{n}():\n    assert False\n" for n in range(10))
    lines = [LINE.format(f"tests/test_tiny.py::test_{n}") for n in range(10)]
    done = run(tmp_path, *lines, more=("--whole-suite",), tests=names)
    assert done.returncode == 0 and all(line in done.stdout.splitlines() for line in lines)


def test_a_partial_run_checks_only_its_own_tests(tmp_path: Path) -> None:
    assert run(tmp_path, LINE.format(RED), more=(GREEN,)).returncode == 0


UNUSABLE = {
    "an eleventh": [LINE.format(f"tests/test_tiny.py::test_{n}") for n in range(11)],
    "no issue": [f"{RED} | pytest -k red, seed 3 | bytes are lost at a close"],
    "no command": [f"{RED} |  | bytes are lost at a close | issue 7"],
    "no observation": [f"{RED} | pytest -k red, seed 3 |  | issue 7"],
    "three fields": [f"{RED} | bytes are lost at a close | issue 7"],
    "five fields": [LINE.format(RED) + " | twice"],
    "a name alone": [RED],
    "twice": [LINE.format(RED)] * 2,
    "a script that does not exist": [LINE.format("review/4/run.sh")],
    "a script twice": [LINE.format(SCRIPT)] * 2,
    "a script without an issue": [f"{SCRIPT} | sh {SCRIPT}, no seed | a member that is gone is used"],
}


@pytest.mark.parametrize("case", UNUSABLE)
def test_an_invalid_file_fails_the_run_before_any_test(case: str, tmp_path: Path) -> None:
    done = run(tmp_path, *UNUSABLE[case])
    assert done.returncode == pytest.ExitCode.USAGE_ERROR and "KNOWN-RED.txt: " in done.stderr
    assert "test_tiny" not in done.stdout


def test_ci_and_the_readme_run_the_whole_suite() -> None:
    assert "    bash .ci/run\n" in (ROOT / "README.md").read_text()
    assert "--whole-suite" in (ROOT / ".ci/run").read_text()
