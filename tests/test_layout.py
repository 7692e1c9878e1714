"""Checks the package layout: imports from lower layers only, no import cycles, at most 400 lines per file."""

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "paddlequay"
Definition = ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef
MAX_LINES = 400
# Layers from the lowest to the highest: a package may import from itself and from packages of lower layers.
# Packages of one layer do not import each other.
LAYERS = (
    ("errors", "observability"),
    ("routing",),
    ("config",),
    ("placement",),
    ("lifecycle", "policy", "cluster", "discovery", "store"),
    ("hierarchy",),
    ("requests",),
    ("schema", "protocol"),
    ("net",),
    ("simulator",),
    ("programs", "adapter"),
    ("lab",),
    ("cli",),
    ("__main__",),
)
RANK = {name: rank for rank, names in enumerate(LAYERS) for name in names}
FILES = sorted(path for path in PACKAGE.rglob("*.py") if not path.name.endswith("_pb2.py"))
# Module names that the operators' list of names replaced; no module of a finished package may have one again.
FORMER_MODULES = {"asks", "bounds", "shares", "records", "tables", "door", "twin", "beliefs", "ending"}
FINISHED = (
    "errors", "observability", "routing", "config", "placement",
    "policy", "requests", "lifecycle", "discovery", "store", "hierarchy", "schema", "cli", "cluster",
    "simulator", "protocol", "programs", "net",
)  # fmt: skip


def module_of(path: Path) -> str:
    """Returns the dotted name of a module, without the leading `paddlequay`."""
    parts = path.relative_to(PACKAGE).with_suffix("").parts
    return ".".join(part for part in parts if part != "__init__")


def imports(path: Path) -> Iterator[tuple[str, bool]]:
    """Yields each module of this package that a module imports, and whether it does so when it is loaded."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    deferred_nodes = {
        id(node)
        for outer in ast.walk(tree)
        if isinstance(outer, (ast.FunctionDef, ast.AsyncFunctionDef))
        or (isinstance(outer, ast.If) and ast.unparse(outer.test) == "TYPE_CHECKING")
        for node in ast.walk(outer)
    }
    for node in ast.walk(tree):
        if isinstance(node, ast.ImportFrom) and (node.module or "").partition(".")[0] == "paddlequay":
            inner = (node.module or "").partition(".")[2]
            for alias in node.names:
                name = f"{inner}.{alias.name}".strip(".")
                is_module = (PACKAGE / Path(*name.split("."))).with_suffix(".py").exists()
                yield (name if is_module else inner), id(node) not in deferred_nodes


def public_items(scope: ast.Module | ast.ClassDef) -> Iterator[Definition]:
    """Yields classes, functions and methods without a leading underscore, except those inside functions."""
    for node in scope.body:
        if isinstance(node, Definition) and not node.name.startswith("_"):
            yield node
            if isinstance(node, ast.ClassDef):
                yield from public_items(node)


@pytest.mark.parametrize("path", FILES, ids=module_of)
def test_a_module_imports_from_lower_layers_only(path: Path) -> None:
    own = module_of(path).partition(".")[0]
    if not own:
        return
    for name, _ in imports(path):
        other = name.partition(".")[0]
        assert other == own or RANK[other] < RANK[own], f"{own} imports {name}"


def test_module_imports_have_no_cycles() -> None:
    graph = {module_of(path): {name for name, at_load in imports(path) if at_load} for path in FILES}
    visited: set[str] = set()

    def visit(module: str, path: tuple[str, ...]) -> None:
        assert module not in path, " > ".join([*path, module])
        if module in visited or module not in graph:
            return
        for other in graph[module]:
            visit(other, (*path, module))
        visited.add(module)

    for module in graph:
        visit(module, ())


def test_no_program_file_exceeds_the_line_limit() -> None:
    line_counts = {module_of(path): len(path.read_text(encoding="utf-8").splitlines()) for path in FILES}
    assert {name: lines for name, lines in line_counts.items() if lines > MAX_LINES} == {}


def test_top_level_holds_only_packages_and_entry_points() -> None:
    top_level_modules = {path.stem for path in PACKAGE.glob("*.py")}
    assert top_level_modules == {"__init__", "__main__", "adapter"}
    assert not FORMER_MODULES & {
        path.stem for path in FILES if path.relative_to(PACKAGE).parts[0] in FINISHED
    }


@pytest.mark.parametrize("package", FINISHED)
def test_every_public_item_of_a_finished_package_has_a_docstring(package: str) -> None:
    missing = [
        f"{module_of(path)}.{node.name}"
        for path in FILES
        if path.relative_to(PACKAGE).parts[0] == package
        for node in public_items(ast.parse(path.read_text(encoding="utf-8")))
        if ast.get_docstring(node) is None
    ]
    assert missing == []
