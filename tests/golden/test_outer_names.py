"""The names that others read or write stand in the code as `data/outer_names.txt` lists them.

A rename that takes such a name along changes a wire, a setting, a stored field, a metric or a log line.
"""

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
NAMES = (Path(__file__).parent / "data" / "outer_names.txt").read_text(encoding="utf-8").splitlines()
SCHEMA = (ROOT / "paddlequay" / "schema" / "paddlequay.proto").read_text(encoding="utf-8")
WORD = re.compile(r"[A-Za-z_][A-Za-z0-9_]*")


def docstrings(tree: ast.Module) -> set[int]:
    """The identities of the nodes that are docstrings."""
    found = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Module | ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
            first = node.body[0] if node.body else None
            if isinstance(first, ast.Expr) and isinstance(first.value, ast.Constant):
                found.add(id(first.value))
    return found


def texts(tree: ast.Module) -> Iterator[str]:
    """The strings of a module, docstrings left out, and the names of its keyword arguments."""
    skipped = docstrings(tree)
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and id(node) not in skipped:
            if isinstance(node.value, str):
                yield node.value
            elif isinstance(node.value, bytes):
                yield node.value.decode("latin1")
        elif isinstance(node, ast.keyword) and node.arg:
            yield node.arg


def missing(names: list[str], sources: list[str]) -> list[str]:
    """The names that are no whole string, part of an f-string, keyword argument or field of the schema.

    A name of several words may also be a part of a longer text.
    """
    found = {text.strip() for source in sources for text in texts(ast.parse(source))}
    found |= set(WORD.findall(SCHEMA))
    return [
        name
        for name in names
        if name not in found and not (" " in name and any(name in text for text in found))
    ]


@pytest.fixture(scope="module")
def sources() -> list[str]:
    """The texts of all modules of the program, without generated ones."""
    paths = (ROOT / "paddlequay").rglob("*.py")
    return [path.read_text(encoding="utf-8") for path in paths if not path.name.endswith("_pb2.py")]


def test_each_outer_name_stands_in_the_code(sources: list[str]) -> None:
    assert len(NAMES) == len(set(NAMES))
    assert missing(NAMES, sources) == []


def test_a_name_that_a_rename_has_taken_along_is_found(sources: list[str]) -> None:
    renamed = [source.replace('"knowledge"', '"learned_state"') for source in sources]
    assert missing(["knowledge"], sources) == []
    assert missing(["knowledge"], renamed) == ["knowledge"]
    assert missing(["no_such_counter"], sources) == ["no_such_counter"]


def test_a_name_in_a_docstring_alone_does_not_count() -> None:
    assert missing(["lost_name"], ['"""Writes `lost_name`."""\n']) == ["lost_name"]
    assert missing(["lost_name"], ['KEY = "lost_name"\n']) == []
