"""The size limits that the users set."""

import re
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_the_decisions_stay_within_their_lines_and_are_all_named_for_deployment() -> None:
    files = sorted(ROOT.glob("paddlequay/policy/*.py"))
    texts = {path: path.read_text().splitlines() for path in files}
    assert sum(bool(line.strip()) for lines in texts.values() for line in lines) <= 750
    assert "routing/interface.py" in texts[ROOT / "paddlequay/policy/__init__.py"][0]
    named = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    assert named == [str(path.relative_to(ROOT)) for path in files]


def test_run_time_needs_two_libraries_at_pinned_versions_and_nothing_else() -> None:
    lines = (ROOT / "requirements.txt").read_text().splitlines()
    needed = [line for line in lines if line.strip() and not line.startswith("#")]
    assert [line.split("==")[0] for line in needed] == ["tornado", "xxhash"]
    assert all(re.fullmatch(r"\w+==\d+(\.\d+)+", line) for line in needed)
