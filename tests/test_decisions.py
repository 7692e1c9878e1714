"""Checks that each function and test that the tables of docs/decisions.md name exists."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
HEADING = "| rule | inputs, with units | module and function | reason | test |"
COLUMN_COUNT = 5
FUNCTION_REFERENCE = re.compile(r"`([\w/]+\.py)`: (`[\w.]+`(?:, `[\w.]+`)*)")
TEST_REFERENCE = re.compile(r"`([\w/]+\.py)`: (`test_\w+`(?:, `test_\w+`)*)")


def table_rows() -> list[list[str]]:
    """Returns the cells of each row of the tables, without the heading rows."""
    found = []
    for line in (ROOT / "docs" / "decisions.md").read_text(encoding="utf-8").splitlines():
        if line.startswith("|") and line != HEADING and not line.startswith("| ---"):
            found.append([cell.strip() for cell in line.strip("|").split(" | ")])
    return found


def definitions(path: Path) -> set[str]:
    """Returns the names of a module's functions, classes and methods, the last as `Class.method`."""
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


def missing_names(cell: str, pattern: re.Pattern[str], folder: Path) -> list[str]:
    """Returns the names in a cell that their modules do not define; an error text if it names nothing."""
    references = pattern.findall(cell)
    if not references:
        return [f"no module and name found in: {cell}"]
    missing = []
    for module, names in references:
        path = folder / module
        defined = definitions(path) if path.exists() else set()
        missing += [f"{module}: {name}" for name in re.findall(r"`([\w.]+)`", names) if name not in defined]
    return missing


@pytest.mark.parametrize("row", table_rows(), ids=lambda row: row[0])
def test_each_function_and_test_of_a_rule_exists(row: list[str]) -> None:
    assert len(row) == COLUMN_COUNT and all(row)
    assert missing_names(row[2], FUNCTION_REFERENCE, ROOT / "paddlequay") == []
    assert missing_names(row[4], TEST_REFERENCE, ROOT / "tests") == []


def test_missing_function_or_test_is_reported() -> None:
    assert missing_names("`errors/__init__.py`: `NoSuchRule`", FUNCTION_REFERENCE, ROOT / "paddlequay")
    assert missing_names("`no_such_module.py`: `decide`", FUNCTION_REFERENCE, ROOT / "paddlequay")
    assert missing_names("in the router", FUNCTION_REFERENCE, ROOT / "paddlequay")
    assert missing_names("`test_decisions.py`: `test_that_nobody_wrote`", TEST_REFERENCE, ROOT / "tests")
    assert not missing_names(
        "`errors/__init__.py`: `PaddlequayError`", FUNCTION_REFERENCE, ROOT / "paddlequay"
    )
