"""The language of placement rules: its grammar and parser, and errors that show the position in the file.

The grammar is LALR(1), and all its keywords are reserved (a name that equals one is written in quotes), so
that an error is reported at the first token that cannot follow. docs/placement.md describes the language for
operators.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from lark import Lark, Token, Transformer
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedToken
from lark.lexer import PatternStr

from paddlequay.errors import ConfigError, PaddlequayError

MAX_FILE_BYTES = 65_536
MAX_SHOWN_CHARS = 100  # of a line that an error shows
MAX_NAME_CHARS = 128
MAX_NUMBER_DIGITS = 9  # before and after the decimal point together
MAX_TOKEN_CHARS = 40  # of an unexpected token that an error shows
MAX_ALTERNATIVES = 8  # expected tokens that an error lists

GRAMMAR = r"""
start: statement*
?statement: classes | zones | kinds | pace | cell | tenant | rule | fallback

classes: "classes" names "."
zones: "zones" names "."
kinds: "kinds" names "."
pace: PACE "at" "most" NUMBER _shards "per" "second" "."
cell: "cell" name "is" members "."
tenant: "tenant" name "stays" "in" "cell" name ["with" NUMBER "%"] "."
rule: "rule" name "," "precedence" NUMBER "," "for" requests ":" clauses "."
fallback: OTHERWISE ":" clauses "."

requests: "everything" | match ("and" match)*
match: CLASS names -> of_class
     | TENANT names -> of_tenant
     | GROUP ranges -> of_group

clauses: clause (";" clause)*
?clause: shards | copies | among | avoid | weigh | pin
shards: NUMBER _shards "by" by
by: OBJECT ["and" PART] | GROUP | TENANT
copies: NUMBER _copies ["over" NUMBER spread]
spread: (ZONE | ZONES) | (KIND | KINDS)
among: AMONG members
avoid: AVOID members
weigh: WEIGH members "by" NUMBER
pin: PIN _shards ranges "to" "member" name

?members: conjunction ("or" conjunction)* -> union
?conjunction: term ("and" term)* -> intersection
?term: NOT term -> negation
    | "(" members ")" -> parenthesized
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

TOKEN_DESCRIPTIONS = {
    "WORD": "a name",
    "QUOTED": "a name in quotes",
    "NUMBER": "a number",
    "$END": "the end of the file",
}


@dataclass(frozen=True, slots=True)
class Position:
    """A position in a file: line and column, counted from 1, and length; columns and length in characters."""

    line: int
    column: int
    length: int = 1


FILE_START = Position(1, 1)


def token_position(token: Token) -> Position:
    """Returns the position of a token."""
    return Position(token.line or 1, token.column or 1, max(1, len(token)))


class RuleTextError(PaddlequayError, ValueError):
    """An error at a position in a file of rules, raised where the file's name is not known.

    Attributes:
        position: The position of the error.
        message: What was expected there, and what was found.
    """

    def __init__(self, position: Position, message: str) -> None:
        super().__init__(message)
        self.position = position
        self.message = message


@dataclass(frozen=True, slots=True)
class Source:
    """A file's name and text, for error messages."""

    name: str
    text: str

    def error(self, position: Position, message: str) -> ConfigError:
        """Returns an error of the form `FILE:LINE:COLUMN: MESSAGE`, with the line and a caret under it."""
        lines = self.text.split("\n")
        line = lines[position.line - 1] if position.line <= len(lines) else ""
        column = position.column - 1
        start = max(0, column - MAX_SHOWN_CHARS * 3 // 4)
        shown_chars = line[start : start + MAX_SHOWN_CHARS]
        shown = "".join(char if char == "\t" or char.isprintable() else "?" for char in shown_chars)
        indent = "".join(char if char == "\t" else " " for char in shown[: column - start])
        carets = "^" * max(1, min(position.length, len(shown) - len(indent)))
        where = f"{self.name}:{position.line}:{position.column}"
        return ConfigError(f"{where}: {message}\n    {shown}\n    {indent}{carets}")


def decode_source(name: str, data: bytes) -> Source:
    """Returns the text of a file's bytes.

    Raises:
        ConfigError: The bytes are more than `MAX_FILE_BYTES` or not UTF-8.
    """
    if len(data) > MAX_FILE_BYTES:
        raise ConfigError(f"{name}:1:1: expected at most {MAX_FILE_BYTES} bytes, got {len(data)}")
    try:
        return Source(name, data.decode("utf-8"))
    except UnicodeDecodeError as error:
        valid = data[: error.start].decode("utf-8")
        position = Position(valid.count("\n") + 1, len(valid) - valid.rfind("\n"))
        text = data.decode("utf-8", "replace")
        raise Source(name, text).error(position, "expected UTF-8 text, got other bytes") from None


class RuleParser:
    """The parser. `transformer` builds the node of each grammar rule while parsing, without recursion."""

    def __init__(self, transformer: Transformer[Token, Any]) -> None:
        self.lark = Lark(GRAMMAR, parser="lalr", lexer="basic", transformer=transformer)
        keywords = {t.name: t.pattern.value for t in self.lark.terminals if isinstance(t.pattern, PatternStr)}
        self.token_descriptions = {
            name: f'"{value}"' for name, value in keywords.items()
        } | TOKEN_DESCRIPTIONS

    def parse(self, source: Source) -> Any:
        """Returns the transformer's result for a text.

        Raises:
            ConfigError: The text does not conform to the language; the error shows the position.
        """
        try:
            return self.lark.parse(source.text)
        except RuleTextError as error:
            raise source.error(error.position, error.message) from None
        except UnexpectedCharacters as error:
            raise unexpected_character(source, error) from None
        except UnexpectedToken as error:
            raise self.unexpected_token(source, error) from None
        except UnexpectedEOF as error:
            raise self.unexpected_end(source, error.expected) from None

    def unexpected_token(self, source: Source, error: UnexpectedToken) -> ConfigError:
        """Returns the error for a token that is not allowed at its position."""
        token = error.token
        expected = error.accepts or error.expected
        if token.type == "$END":
            return self.unexpected_end(source, expected)
        message = f"expected {self.describe(expected)}, got {str(token)[:MAX_TOKEN_CHARS]!r}"
        if "WORD" in expected and str(token).isalpha():
            message += " (a keyword of the language; write it in quotes to use it as a name)"
        return source.error(token_position(token), message)

    def unexpected_end(self, source: Source, expected: Iterable[str]) -> ConfigError:
        """Returns the error for a text that ends within a statement."""
        text = source.text.rstrip()
        position = Position(text.count("\n") + 1, len(text) - text.rfind("\n"))
        return source.error(position, f"expected {self.describe(expected)}, got the end of the file")

    def describe(self, token_types: Iterable[str]) -> str:
        """Returns a list in words of token types, of at most `MAX_ALTERNATIVES`."""
        descriptions = {self.token_descriptions.get(name, name) for name in set(token_types)}
        listed = sorted(descriptions - {TOKEN_DESCRIPTIONS["QUOTED"]})
        if len(listed) > MAX_ALTERNATIVES:
            listed = [*listed[:MAX_ALTERNATIVES], f"{len(listed) - MAX_ALTERNATIVES} more"]
        if len(listed) <= 1:
            return "".join(listed)
        return " or ".join([", ".join(listed[:-1]), listed[-1]])


def unexpected_character(source: Source, error: UnexpectedCharacters) -> ConfigError:
    """Returns the error for a character with which no token can begin."""
    expected = "a word, a number or a punctuation mark of the language"
    if error.char == '"':
        expected = "a name of at least one character and its closing quote on the same line"
    position = Position(error.line, error.column)
    return source.error(position, f"expected {expected}, got {error.char!r}")
