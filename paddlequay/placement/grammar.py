"""The language of placement rules: its grammar, and errors that show their place.

The grammar is LALR(1) and all its words are reserved (a name that is one of them stands in quotes), so that
what is wrong shows at the first word that cannot follow. docs/placement.md states it for operators.
"""

from dataclasses import dataclass
from typing import Any

from lark import Lark, Token, Transformer
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedToken
from lark.lexer import PatternStr

from paddlequay.errors import ConfigError

BYTES_MOST = 65_536  # of a file
SHOWN = 100  # characters of a line in an error
NAME_MOST = 128  # characters of a name
DIGITS_MOST = 9  # of a number, before and after its point together
EXPECTED_MOST = 8  # alternatives told

GRAMMAR = r"""
start: statement*
?statement: classes | zones | kinds | pace | cell | tenant | rule | fallback

classes: "classes" names "."
zones: "zones" names "."
kinds: "kinds" names "."
pace: PACE "at" "most" NUMBER _shards "per" "second" "."
cell: "cell" name "is" who "."
tenant: "tenant" name "stays" "in" "cell" name ["with" NUMBER "%"] "."
rule: "rule" name "," "precedence" NUMBER "," "for" what ":" clauses "."
fallback: OTHERWISE ":" clauses "."

what: "everything" | match ("and" match)*
match: CLASS names -> of_class
     | TENANT names -> of_tenant
     | GROUP ranges -> of_group

clauses: clause (";" clause)*
?clause: shards | copies | among | avoid | weigh | pin
shards: NUMBER _shards "by" by
by: OBJECT ["and" PART] | GROUP | TENANT
copies: NUMBER _copies ["over" NUMBER spread]
spread: (ZONE | ZONES) | (KIND | KINDS)
among: AMONG who
avoid: AVOID who
weigh: WEIGH who "by" NUMBER
pin: PIN _shards ranges "to" "member" name

?who: both ("or" both)* -> either
?both: one ("and" one)* -> both
?one: NOT one -> other
    | "(" who ")" -> nested
    | MEMBER names -> by_member
    | ZONE names -> by_zone
    | KIND names -> by_kind
    | CELL NUMBER -> by_number
    | CELL name -> by_cell

names: name ("," name)*
name: WORD | QUOTED
ranges: range ("," range)*
range: NUMBER ["through" NUMBER]
_shards: "shard" | "shards"
_copies: "copy" | "copies"

PACE: "move"
OTHERWISE: "otherwise"
CLASS: "class"
TENANT: "tenant"
GROUP: "group"
OBJECT: "object"
PART: "part"
ZONE: "zone"
ZONES: "zones"
KIND: "kind"
KINDS: "kinds"
MEMBER: "member"
CELL: "cell"
AMONG: "among"
AVOID: "avoid"
WEIGH: "weigh"
PIN: "pin"
NOT: "not"
WORD: /[A-Za-z_][A-Za-z0-9_-]*/
QUOTED: /"[^"\n\x00-\x1f]+"/
NUMBER: /[0-9]+(\.[0-9]+)?(?![A-Za-z0-9_])/
COMMENT: /#[^\n]*/
SPACE: /[ \t\r\n]+/
%ignore COMMENT
%ignore SPACE
"""

READ = {"WORD": "a name", "QUOTED": "a name in quotes", "NUMBER": "a number", "$END": "the end of the file"}


@dataclass(frozen=True, slots=True)
class Place:
    """Where something stands; both count from 1, columns in characters."""

    line: int
    column: int
    length: int = 1


def place_of(token: Token) -> Place:
    return Place(token.line or 1, token.column or 1, max(1, len(token)))


class MisplacedError(ValueError):
    """What is wrong at a place, before the file's name is known."""

    def __init__(self, place: Place, said: str) -> None:
        super().__init__(said)
        self.place = place


@dataclass(frozen=True, slots=True)
class Source:
    """A file's name and text, for errors."""

    name: str
    text: str

    def error(self, place: Place, said: str) -> ConfigError:
        """`FILE:LINE:COLUMN: SAID`, the line, and a caret under the place."""
        lines = self.text.split("\n")
        line = lines[place.line - 1] if place.line <= len(lines) else ""
        column = place.column - 1
        start = max(0, column - SHOWN * 3 // 4)
        shown = "".join(c if c == "\t" or c.isprintable() else "?" for c in line[start : start + SHOWN])
        ahead = "".join(c if c == "\t" else " " for c in shown[: column - start])
        carets = "^" * max(1, min(place.length, len(shown) - len(ahead)))
        where = f"{self.name}:{place.line}:{place.column}"
        return ConfigError(f"{where}: {said}\n    {shown}\n    {ahead}{carets}")


def source_of(name: str, data: bytes) -> Source:
    """The text of a file's bytes, which must be UTF-8 and no more than `BYTES_MOST`."""
    if len(data) > BYTES_MOST:
        raise ConfigError(f"{name}:1:1: expected at most {BYTES_MOST} bytes, got {len(data)}")
    try:
        return Source(name, data.decode("utf-8"))
    except UnicodeDecodeError as error:
        before = data[: error.start].decode("utf-8")
        place = Place(before.count("\n") + 1, len(before) - before.rfind("\n"))
        text = data.decode("utf-8", "replace")
        raise Source(name, text).error(place, "expected UTF-8 text, got other bytes") from None


class Language:
    """The parser. `reader` turns each sentence into what it means while it is parsed, without recursion."""

    def __init__(self, reader: Transformer[Token, Any]) -> None:
        self.lark = Lark(GRAMMAR, parser="lalr", lexer="basic", transformer=reader)
        words = {t.name: t.pattern.value for t in self.lark.terminals if isinstance(t.pattern, PatternStr)}
        self.words = {name: f'"{value}"' for name, value in words.items()} | READ

    def expected(self, names: set[str]) -> str:
        listed = sorted({self.words.get(name, name) for name in names} - {"a name in quotes"})
        if len(listed) > EXPECTED_MOST:
            listed = [*listed[:EXPECTED_MOST], f"{len(listed) - EXPECTED_MOST} more"]
        return " or ".join([", ".join(listed[:-1]), listed[-1]] if len(listed) > 1 else listed)

    def parse(self, source: Source) -> Any:
        """What the reader makes of a text; `ConfigError` where the text is none of the language."""
        try:
            return self.lark.parse(source.text)
        except MisplacedError as error:
            raise source.error(error.place, str(error)) from None
        except UnexpectedCharacters as error:
            place = Place(error.line, error.column)
            what = "a word, a number or a sign of the language"
            if error.char == '"':
                what = "a name of at least one character and its closing quote on the same line"
            raise source.error(place, f"expected {what}, got {error.char!r}") from None
        except UnexpectedToken as error:
            token, wanted = error.token, error.accepts or error.expected
            if token.type == "$END":
                raise self.ended(source, wanted) from None
            said = f"expected {self.expected(set(wanted))}, got {str(token)[:40]!r}"
            if "WORD" in wanted and str(token).isalpha():
                said += " (a word of the language: in quotes where it is a name)"
            raise source.error(place_of(token), said) from None
        except UnexpectedEOF as error:
            raise self.ended(source, set(error.expected)) from None

    def ended(self, source: Source, wanted: Any) -> ConfigError:
        text = source.text.rstrip()
        place = Place(text.count("\n") + 1, len(text) - text.rfind("\n"))
        return source.error(place, f"expected {self.expected(set(wanted))}, got the end of the file")
