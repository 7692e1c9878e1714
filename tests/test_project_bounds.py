"""The size limits that the users set."""

import ast
import re
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent


def test_every_file_of_the_decisions_is_named_for_deployment() -> None:
    files = sorted(ROOT.glob("paddlequay/policy/*.py"))
    assert "routing/interface.py" in files[0].read_text().splitlines()[0]
    named = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    assert named == [str(path.relative_to(ROOT)) for path in files]


# Modules of the standard library that the decisions may load, and of each the names that they may import.
# Anything else may do I/O, tell the time or draw randomness that no seed fixes.
PURE = {
    "abc", "collections", "collections.abc", "dataclasses", "enum", "functools", "itertools", "math",
    "random", "typing",
}  # fmt: skip
PURE_PACKAGES = (
    "paddlequay.config.settings",
    "paddlequay.errors",
    "paddlequay.placement",
    "paddlequay.policy",
    "paddlequay.routing",
)
SEEDED = {"random.Random"}


def impure_uses(text: str) -> list[str]:
    """What a module imports or calls that reaches past its arguments."""
    found = []
    for node in ast.walk(ast.parse(text)):
        names = []
        if isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom):
            names = [node.module or "."]
            if node.module == "random":
                names = [
                    f"random.{alias.name}" for alias in node.names if f"random.{alias.name}" not in SEEDED
                ]
        elif (
            isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name) and node.value.id == "random"
        ):
            found += [f"random.{node.attr}"] if f"random.{node.attr}" not in SEEDED else []
        elif isinstance(node, ast.Call) and ast.unparse(node) in ("random.Random()", "Random()"):
            found.append("a generator without a seed")
        elif isinstance(node, ast.Name) and node.id in (
            "open",
            "print",
            "input",
            "exec",
            "eval",
            "__import__",
        ):
            found.append(node.id)
        found += [name for name in names if name not in PURE and not name.startswith(PURE_PACKAGES)]
    return found


@pytest.mark.parametrize("package", ["policy", "routing"])
def test_the_decisions_do_no_io_tell_no_time_and_draw_no_unseeded_randomness(package: str) -> None:
    found = {path.name: impure_uses(path.read_text()) for path in ROOT.glob(f"paddlequay/{package}/*.py")}
    assert {name: uses for name, uses in found.items() if uses} == {}


@pytest.mark.parametrize(
    "text",
    [
        "import time", "import os", "from asyncio import sleep", "from paddlequay.net import console",
        "import random\nrandom.random()", "import random\nrandom.Random()", "open('x')",
        "from random import random",
    ],
)  # fmt: skip
def test_an_impure_module_is_found(text: str) -> None:
    assert impure_uses(text)


def test_run_time_needs_two_libraries_at_pinned_versions_and_nothing_else() -> None:
    lines = (ROOT / "requirements.txt").read_text().splitlines()
    needed = [line for line in lines if line.strip() and not line.startswith("#")]
    assert [line.split("==")[0] for line in needed] == ["tornado", "xxhash"]
    assert all(re.fullmatch(r"\w+==\d+(\.\d+)+", line) for line in needed)
