"""Runs the example in the README and compares its output with its comments."""

import re
from pathlib import Path

import pytest

README = Path(__file__).parent.parent / "README.md"


def test_readme_example_prints_the_output_in_its_comments(capsys: pytest.CaptureFixture[str]) -> None:
    (example,) = re.findall(r"```python\n(.*?)```", README.read_text(), re.S)
    exec(example, {})
    expected = re.findall(r"print\(.*\)  # (.*)", example)
    assert expected and capsys.readouterr().out.splitlines() == expected
