"""Checks that an installation contains every package of the source tree."""

import subprocess
import sys
import tomllib
from pathlib import Path

from setuptools import find_packages

ROOT = Path(__file__).parent.parent


def test_built_copy_contains_every_package_and_each_can_be_imported(tmp_path: Path) -> None:
    """A hand-written package list once omitted two packages, so that an installed copy could not start."""
    options = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["setuptools"]["packages"]["find"]
    expected_packages = {
        ".".join(path.parent.relative_to(ROOT).parts) for path in ROOT.glob("paddlequay/**/*.py")
    }
    assert set(find_packages(str(ROOT), **options)) == expected_packages
    code = (
        "import sys; from setuptools import setup; sys.argv = ['setup.py', '-q', 'egg_info', '--egg-base', "
        f"{str(tmp_path)!r}, 'build', '--build-base', {str(tmp_path / 'build')!r}]; setup()"
    )
    subprocess.run([sys.executable, "-c", code], cwd=ROOT, check=True, timeout=60, capture_output=True)
    names = sorted(expected_packages | {"paddlequay.__main__", "paddlequay.adapter"})
    check = f"import importlib; print(*(importlib.import_module(name).__file__ for name in {names!r}))"
    built = tmp_path / "build" / "lib"
    files = subprocess.check_output([sys.executable, "-c", check], cwd=built, text=True, timeout=60).split()
    assert len(files) == len(names) and all(Path(file).is_relative_to(built) for file in files)
