"""docs/decisions.md: each function and each test that its tables name exists."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
HEADING = "| rule | inputs, with units | module and function | reason | test |"
CELLS = 5
FUNCTION = re.compile(r"`([\w/]+\.py)`: (`[\w.]+`(?:, `[\w.]+`)*)")
TEST = re.compile(r"`([\w/]+\.py)`: (`test_\w+`(?:, `test_\w+`)*)")


def rows() -> list[list[str]]:
    """The cells of each row below a heading of the tables."""
    found = []
    for line in (ROOT / "docs" / "decisions.md").read_text(encoding="utf-8").splitlines():
        if line.startswith("|") and line != HEADING and not line.startswith("| ---"):
            found.append([cell.strip() for cell in line.strip("|").split(" | ")])
    return found


def definitions(path: Path) -> set[str]:
    """The functions, classes and methods of a module, methods as `Class.method`."""
    found = set()
    for node in ast.parse(path.read_text(encoding="utf-8")).body:
        if isinstance(node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
            found.add(node.name)
        if isinstance(node, ast.ClassDef):
            found |= {
                f"{node.name}.{inner.name}"
                for inner in node.body
                if isinstance(inner, ast.FunctionDef | ast.AsyncFunctionDef)
            }
    return found


def missing(cell: str, pattern: re.Pattern[str], folder: Path) -> list[str]:
    """The names in a cell that no module defines; the whole cell where it names none."""
    named = pattern.findall(cell)
    if not named:
        return [f"names nothing: {cell}"]
    absent = []
    for module, names in named:
        path = folder / module
        known = definitions(path) if path.exists() else set()
        absent += [f"{module}: {name}" for name in re.findall(r"`([\w.]+)`", names) if name not in known]
    return absent


@pytest.mark.parametrize("row", rows(), ids=lambda row: row[0])
def test_each_function_and_test_of_a_rule_exists(row: list[str]) -> None:
    assert len(row) == CELLS and all(row)
    assert missing(row[2], FUNCTION, ROOT / "paddlequay") == []
    assert missing(row[4], TEST, ROOT / "tests") == []


def test_a_missing_function_or_test_is_found() -> None:
    assert missing("`errors/__init__.py`: `NoSuchRule`", FUNCTION, ROOT / "paddlequay")
    assert missing("`no_such_module.py`: `decide`", FUNCTION, ROOT / "paddlequay")
    assert missing("in the router", FUNCTION, ROOT / "paddlequay")
    assert missing("`test_decisions.py`: `test_that_nobody_wrote`", TEST, ROOT / "tests")
    assert not missing("`errors/__init__.py`: `PaddlequayError`", FUNCTION, ROOT / "paddlequay")
