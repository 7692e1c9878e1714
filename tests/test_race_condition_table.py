"""Checks that each method that the table of docs/race-conditions.md names exists."""

import ast
import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
METHOD = re.compile(r"`([A-Z][a-z][A-Za-z]*)\.([a-z_]+)`")


def class_members() -> dict[str, set[str]]:
    """Returns the names of the methods and fields of every class of the program, by class name."""
    members: dict[str, set[str]] = {}
    for path in ROOT.glob("paddlequay/**/*.py"):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.ClassDef):
                names = members.setdefault(node.name, set())
                for item in node.body:
                    if isinstance(item, ast.FunctionDef | ast.AsyncFunctionDef):
                        names.add(item.name)
                    elif isinstance(item, ast.AnnAssign) and isinstance(item.target, ast.Name):
                        names.add(item.target.id)
    return members


def test_each_method_that_the_table_names_exists() -> None:
    text = (ROOT / "docs" / "race-conditions.md").read_text(encoding="utf-8")
    members = class_members()
    named = set(METHOD.findall(text))
    assert len(named) > 50
    assert sorted(f"{owner}.{name}" for owner, name in named if name not in members.get(owner, set())) == []
