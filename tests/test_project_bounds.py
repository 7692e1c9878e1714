"""Checks the limits set for the project: files of the routing policy, pure modules and pinned libraries."""

import ast
import re
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent


def test_deployment_lists_every_file_of_the_routing_policy() -> None:
    files = sorted(ROOT.glob("paddlequay/policy/*.py"))
    assert "routing/interface.py" in files[0].read_text().splitlines()[0]
    listed_files = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    assert listed_files == [str(path.relative_to(ROOT)) for path in files]


# Modules of the standard library that the routing policy may import; of `random`, only the names in
# SEEDED_RANDOM_NAMES. Other modules may do I/O, read the clock or use randomness without a seed.
PURE_MODULES = {
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
SEEDED_RANDOM_NAMES = {"random.Random"}


def impure_uses(text: str) -> list[str]:
    """Returns the imports and calls of a module that allow I/O, the clock or unseeded randomness."""
    found = []
    for node in ast.walk(ast.parse(text)):
        names = []
        if isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom):
            names = [node.module or "."]
            if node.module == "random":
                names = [
                    f"random.{alias.name}"
                    for alias in node.names
                    if f"random.{alias.name}" not in SEEDED_RANDOM_NAMES
                ]
        elif (
            isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name) and node.value.id == "random"
        ):
            found += [f"random.{node.attr}"] if f"random.{node.attr}" not in SEEDED_RANDOM_NAMES else []
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
        found += [name for name in names if name not in PURE_MODULES and not name.startswith(PURE_PACKAGES)]
    return found


@pytest.mark.parametrize("package", ["policy", "routing"])
def test_routing_policy_has_no_io_no_clock_and_no_unseeded_randomness(package: str) -> None:
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
def test_impure_module_is_detected(text: str) -> None:
    assert impure_uses(text)


def test_runtime_requires_exactly_two_libraries_at_pinned_versions() -> None:
    lines = (ROOT / "requirements.txt").read_text().splitlines()
    requirements = [line for line in lines if line.strip() and not line.startswith("#")]
    assert [line.split("==")[0] for line in requirements] == ["tornado", "xxhash"]
    assert all(re.fullmatch(r"\w+==\d+(\.\d+)+", line) for line in requirements)
