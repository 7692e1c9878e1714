"""Tests of the errors of files of placement rules and their positions; any bytes give rules or an error."""

import random
import time
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from paddlequay.errors import ConfigError
from paddlequay.placement import checks, grammar, rule_builder, syntax_tree_builder
from paddlequay.placement.checks import check_rules, read_rules
from paddlequay.placement.compiler import compile_rules
from paddlequay.routing.interface import Member

EXAMPLE = (Path(__file__).parents[2] / "deploy" / "placement.rules").read_text()
FALLBACK = "\notherwise: 8 shards by object."
MEMBERS = [Member("a", zone="n", kind="k"), Member("b", zone="n", weight=3.0)]

# By title: a text with "@" before the position of the error, and a part of the error message.
INVALID_FILES = {
    "an unknown word": ("@island.", 'expected "cell", "classes", "kinds", "move", "otherwise", "rule"'),
    "a character outside the language": ("zones a@; b.", "expected"),
    "no end of a statement": ("zones a, b@", 'expected "," or ".", got the end of the file'),
    "a keyword as a name": (
        "cell @copies is zone a.",
        "(a keyword of the language; write it in quotes to use it as a name)",
    ),
    "an open quote": ('zones @"a', "its closing quote on the same line"),
    "a number with letters": (
        "otherwise: @12abc shards by object.",
        "expected a word, a number or a punctuation mark of the language, got",
    ),
    "an unknown attribute for shards": (
        "otherwise: 8 shards by @size.",
        'expected "group", "object" or "tenant", got',
    ),
    "too many shards": (
        "otherwise:\n\t@65537 shards by object.",
        "a whole number from 1 to 65536, got 65537",
    ),
    "a fraction of a shard": ("otherwise: @1.5 shards by object.", "expected a whole number"),
    "a number of many digits": (f"otherwise: @{'9' * 5000} shards by object.", "expected a whole number"),
    "no shards": ("@otherwise: 2 copies.", "expected a rule with a number of shards"),
    "shards twice": ("otherwise: 8 shards by object; @8 shards by group.", 'expected "shards" once'),
    "no rule": ("@zones a.", "expected at least one rule"),
    "a rule twice": (
        "rule r, precedence 1, for class a: 8 shards by object."
        " rule @r, precedence 2, for class b: 8 shards by object.",
        "got rule 'r' a second time",
    ),
    "a cell twice": ("cell c is zone a. cell @c is zone b." + FALLBACK, "got cell 'c' a second time"),
    "a tenant in two cells": (
        "cell c is zone a. tenant t stays in cell c. tenant @t stays in cell c." + FALLBACK,
        "got tenant 't' a second time",
    ),
    "a zone listed twice": ("zones a, @a." + FALLBACK, "expected each of the zones once"),
    "zones listed twice": ("zones a. zones @b." + FALLBACK, "expected zones to be listed once"),
    "an unknown class": (
        "classes a, b. rule r, precedence 1, for class @c: 8 shards by object.",
        "expected one of the classes (a, b), got 'c'",
    ),
    "an unknown zone": ("zones a. cell c is zone @b." + FALLBACK, "expected one of the zones (a), got 'b'"),
    "an unknown cell": (
        "tenant t stays in cell @c." + FALLBACK,
        "expected the name of a cell that is defined above",
    ),
    "a cell defined by itself": ("cell c is not cell @c." + FALLBACK, "defined above, got 'c'"),
    "a cell that can have no members": (
        "cell @c is zone a and zone b." + FALLBACK,
        "expected a cell that can hold a member",
    ),
    "a backward range": (
        "rule r, precedence 1, for group 9 through @7: 8 shards by object.",
        "expected a number of at least 9, got 7",
    ),
    "two conditions on the class": (
        "rule r, precedence 1, for class a and @class b: 8 shards by object.",
        "expected one class condition in a rule, got a second",
    ),
    "a rule shadowed by another": (
        "rule r, precedence 9, for class a, b: 8 shards by object."
        " rule @s, precedence 8, for class b and tenant t: 8 shards by object.",
        "expected a rule that a request can reach; the rules up to 'r' match all its requests",
    ),
    "a rule shadowed by several together": (
        "rule r, precedence 9, for group 0 through 5: 8 shards by object."
        " rule s, precedence 8, for group 6: 8 shards by object."
        " rule @t, precedence 7, for group 4 through 6: 8 shards by object.",
        "expected a rule that a request can reach; the rules up to 's' match",
    ),
    "a fallback that is never reached": (
        "rule r, precedence 9, for everything: 8 shards by object."
        + FALLBACK.replace("otherwise", "@otherwise"),
        "expected a rule that a request can reach",
    ),
    "one precedence for the same requests": (
        "rule r, precedence 9, for class a: 8 shards by object."
        " rule q, precedence @9, for tenant t: 8 shards by object.",
        "expected another precedence than that of",
    ),
    "a pin to an excluded member": (
        "otherwise: 8 shards by object; avoid member a; pin shard 1 to member @a.",
        "expected a pin to a member that rule 'otherwise' may use, got 'a'",
    ),
    "a pin past the shards": (
        "otherwise: 8 shards by object; pin shard @8 to member a.",
        "a shard from 0 to 7",
    ),
    "a pin twice": (
        "otherwise: 8 shards by object; pin shards 1 through 3 to member a; pin shard @2 to member b.",
        "expected shard 2 to be pinned once; it is pinned to 'a'",
    ),
    "all members excluded": (
        "otherwise: 8 shards by object; among zone a; @avoid not zone b.",
        "expected members left for rule 'otherwise', got none",
    ),
    "a cell excluded wholly": (
        "cell c is zone a. tenant t stays in cell c. otherwise: 8 shards by object; @avoid zone a.",
        "expected members left for rule 'otherwise' in cell 'c', got none",
    ),
    "more copies than members": (
        "otherwise: 8 shards by object; @3 copies; among member a, b.",
        "expected at most 2 copies, one for each member that rule 'otherwise' can use, got 3",
    ),
    "more copies than a cell": (
        "cell c is member a. tenant t stays in cell c. otherwise: 8 shards by object; @2 copies.",
        "can use in cell 'c', got 2",
    ),
    "more zones than copies": (
        "otherwise: 8 shards by object; 2 copies over @3 zones.",
        "at most 2 zone(s), got 3",
    ),
    "more zones than there are": (
        "zones a, b. otherwise: 8 shards by object; 3 copies over @3 zones.",
        "expected copies over at most 2 zone(s), all that the rule can use, got 3",
    ),
    "more kinds than chosen": (
        "otherwise: 8 shards by object; 2 copies over @2 kinds; among kind k.",
        "expected copies over at most 1 kind(s)",
    ),
    "more than the total load": (
        "cell c is zone a. tenant t stays in cell c with 60%. tenant @u stays in cell c with 50%." + FALLBACK,
        "expected tenants' shares of at most 100% in all, got 110%",
    ),
    "a weight factor out of bounds": (
        "otherwise: 8 shards by object; weigh zone a by @101.",
        "a number from 0.01 to 100, got 101",
    ),
    "deep nesting": (
        f"cell c is {'not ' * 2}@not {'not ' * 14}not zone a." + FALLBACK,
        "expected at most 16 of",
    ),
    "deep parentheses": (f"cell c is {'(' * 17}zone @a{')' * 17}." + FALLBACK, "expected at most 16 of"),
    "a long name": (f"zones @{'z' * 129}." + FALLBACK, "expected a name of at most 128 characters"),
    "a list with too few members": (
        "otherwise: 8 shards by object; @3 copies.",
        "one for each member in the list for the rule, got 3",
    ),
    "a list with too few zones": (
        "otherwise: 8 shards by object; 2 copies over @2 zones.",
        "1 zone(s) of the list",
    ),
    "a cell too small for its tenants": (
        "cell @c is member a. tenant t stays in cell c with 25.5%." + FALLBACK,
        "expected a cell with at least 25.5% of all weight, the share of its tenants, got 25%",
    ),
    "too much work": (
        f"@cell c is {' and '.join(['(zone a or kind b or cell 1)'] * 12)}." + FALLBACK,
        "expected rules that take less work to resolve, got more than",
    ),
}


@pytest.mark.parametrize("title", INVALID_FILES)
def test_error_has_its_position_and_a_caret_under_it(title: str, monkeypatch: pytest.MonkeyPatch) -> None:
    marked, message_part = INVALID_FILES[title]
    text = marked.replace("@", "")
    before = marked.split("@")[0]
    line, column = before.count("\n") + 1, len(before) - before.rfind("\n")
    if title == "too much work":
        monkeypatch.setattr(checks, "MAX_RESOLVE_STEPS", 20_000)
    with pytest.raises(ConfigError) as caught:
        compile_rules(read_rules("f.rules", text.encode()), MEMBERS)
    message, shown, caret = str(caught.value).split("\n")
    assert message.startswith(f"f.rules:{line}:{column}: expected ")
    assert message_part in message
    start = caret.index("^")
    source = text.split("\n")[line - 1]
    assert shown[start : start + 8] == source[column - 1 :][: len(shown[start : start + 8])]
    assert len(caret.expandtabs()) <= len(shown.expandtabs()) + 1


def test_error_shows_file_position_line_and_caret() -> None:
    with pytest.raises(ConfigError) as caught:
        read_rules("p.rules", b"# films\notherwise:\n\t8 shards by object;\n\t2 copies over 5 zones.\n")
    assert str(caught.value) == (
        "p.rules:4:16: expected copies over at most 2 zone(s), got 5\n"
        "    \t2 copies over 5 zones.\n"
        "    \t              ^"
    )


def test_check_summarizes_a_valid_file_and_refuses_an_unreadable_one(tmp_path: Path) -> None:
    path = tmp_path / "x.rules"
    path.write_text(EXAMPLE)
    assert check_rules(path) == (
        f"{path}: 3 rules, 1 cell, 1 tenant, 140288 shards, moves 200 shards a second: can be used"
    )
    path.write_text("#" * (grammar.MAX_FILE_BYTES + 1))
    with pytest.raises(ConfigError, match="at most 65536 bytes"):
        check_rules(path)
    path.write_bytes(b"zones a.\n  \xff")
    with pytest.raises(ConfigError, match=r"x\.rules:2:3: expected UTF-8"):
        check_rules(path)
    with pytest.raises(ConfigError, match="No such file"):
        check_rules(tmp_path / "none")


def test_classes_that_are_not_in_the_settings_are_refused() -> None:
    read_rules("f", EXAMPLE.encode(), ["video", "photo", "page", "more"])
    with pytest.raises(ConfigError, match=r"f:\d+:\d+: expected a class of the settings"):
        read_rules("f", EXAMPLE.encode(), ["video", "photo"])
    with pytest.raises(ConfigError, match=r"f:1:27: expected classes of the settings \(a\), got 'b'"):
        read_rules("f", b"rule r, precedence 1, for class b: 8 shards by object.", ["a"])


def test_numbers_of_rules_cells_and_shards_are_bounded() -> None:
    def rule(n: int, shards: int) -> str:
        return f"rule r{n}, precedence 1, for group {n}: {shards} shards by object.\n"

    max_rules = "".join(rule(n, 1) for n in range(rule_builder.MAX_RULES))
    read_rules("f", max_rules.encode())
    with pytest.raises(ConfigError, match="f:257:6: expected at most 256 rules"):
        read_rules("f", (max_rules + rule(300, 1)).encode())
    with pytest.raises(ConfigError, match=r"f:5:\d+: expected at most 262144 shards in all"):
        read_rules("f", "".join(rule(n, 65_536) for n in range(5)).encode())
    cells = "".join(f"cell c{n} is cell {n}. tenant t{n} stays in cell c{n}.\n" for n in range(8))
    with pytest.raises(ConfigError, match="expected at most 1024 rules, counted with each cell"):
        read_rules("f", (cells + max_rules).encode())


def test_equal_rules_in_different_spelling_have_the_same_canonical_bytes() -> None:
    without_comments = "\n".join(line.split("#")[0] for line in EXAMPLE.split("\n"))
    other = without_comments.replace("video, photo, page", 'page, "photo", video').replace(
        " and ", "\n\t and # x\n"
    )
    assert read_rules("g", other.encode()).canonical() == read_rules("f", EXAMPLE.encode()).canonical()
    heavier = EXAMPLE.replace("big by 2", "big by 3")
    assert read_rules("g", heavier.encode()).canonical() != read_rules("f", EXAMPLE.encode()).canonical()


TOKENS = sorted(
    {token for token in EXAMPLE.replace(",", " , ").replace(";", " ; ").split() if "#" not in token}
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.one_of(st.binary(max_size=300), st.lists(st.sampled_from([*TOKENS, "(", ")", "not"])).map(" ".join))
)
def test_any_bytes_give_rules_or_a_config_error(data: bytes | str) -> None:
    try:
        read_rules("f", data.encode() if isinstance(data, str) else data)
    except ConfigError as error:
        assert str(error).startswith("f:")


def test_file_with_random_edits_gives_rules_or_a_config_error() -> None:
    rng = random.Random(5)
    for _ in range(300):
        start = rng.randrange(len(EXAMPLE))
        text = (
            EXAMPLE[:start]
            + rng.choice(["", "(", "not ", "9", '"', ".", ";"])
            + EXAMPLE[start + rng.randrange(9) :]
        )
        try:
            read_rules("f", text.encode())
        except ConfigError as error:
            assert str(error).startswith("f:")


LONGEST_FILES = {
    "parentheses": "(" * grammar.MAX_FILE_BYTES,
    "nots": "cell c is " + "not " * 16_000,
    "ors": "cell c is " + "zone a or " * 6_000 + "zone b." + FALLBACK,
    "none of many": "cell c is not ("
    + " or ".join(f"zone z{n} and kind k{n}" for n in range(2_000))
    + ")."
    + FALLBACK,
    "pins": "otherwise: 65536 shards by object" + "; pin shards 0 through 65535 to member a" * 1_500 + ".",
    "overlaps": "".join(
        f"rule r{n}, precedence {n}, for group 0 through 4095 and tenant t{n}: 1 shard by group."
        for n in range(250)
    ),
}


@pytest.mark.parametrize("title", LONGEST_FILES)
def test_longest_files_take_bounded_work(title: str) -> None:
    before = time.process_time()
    try:
        read_rules("f", LONGEST_FILES[title][: grammar.MAX_FILE_BYTES].encode())
    except ConfigError as error:
        assert str(error).startswith("f:")
    assert time.process_time() - before < 8  # CPU time of this process; about 2 s at worst


def test_all_keywords_of_the_language_are_reserved() -> None:
    descriptions = syntax_tree_builder.rule_parser().token_descriptions
    for keyword in ("copies", "member", "otherwise", "through"):
        assert f'"{keyword}"' in descriptions.values()
        read_rules("f", f'cell "{keyword}" is zone a.{FALLBACK}'.encode())
