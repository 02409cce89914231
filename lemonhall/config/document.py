"""KDL 2 documents as trees that know where everything stands. One pass, no recursion over the text.

`read_text` gives the nodes of a document, `values` of KDL become Python's: texts, exact numbers (`int` or
`Fraction`), flags, None. A property that stands twice counts as its last, as KDL says, and is remembered.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from fractions import Fraction
from pathlib import Path
from typing import Any, cast

from lark import Lark, Token, Transformer
from lark.exceptions import UnexpectedToken
from lark.lexer import Lexer as LarkLexer

from lemonhall.config.lexer import Comment, Lexer, Word, decode
from lemonhall.problem import BadInput, Problem

PLACES_OF_TEN = 400  # most digits of an exponent's size: larger numbers are refused, not worked out
ESCAPES = {"n": "\n", "r": "\r", "t": "\t", "\\": "\\", '"': '"', "b": "\b", "f": "\f", "s": " "}


@dataclass(frozen=True)
class Spot:
    """Where something stands, and by which files it was included."""

    file: str
    line: int
    column: int
    chain: tuple[str, ...] = ()

    def problem(self, what: str, fix: str = "") -> Problem:
        return Problem(self.file, self.line, self.column, what, fix, self.chain)


@dataclass
class Value:
    """An argument or a property's value. `unit`: its type annotation; `source`: as it was written."""

    value: Any
    unit: str | None
    source: str
    spot: Spot
    via: str = ""  # how it came to its node: "", a template, defaults or a layer


@dataclass
class Property:
    name: str
    value: Value
    source: str  # the name as it was written
    spot: Spot


@dataclass
class Entry:
    """An argument or a property, in the order of the source; `dropped`: behind a /-."""

    item: Value | Property
    dropped: bool = False


@dataclass
class Node:
    name: str
    spot: Spot
    source: str = ""  # the name as it was written
    kind: str | None = None
    entries: list[Entry] = field(default_factory=list)
    children: list[Node] = field(default_factory=list)
    has_block: bool = False
    block_dropped: bool = False
    dropped: bool = False
    end_line: int = 0

    @property
    def args(self) -> list[Value]:
        return [e.item for e in self.entries if isinstance(e.item, Value) and not e.dropped]

    @property
    def properties(self) -> dict[str, Value]:
        found = (e.item for e in self.entries if not e.dropped)
        return {p.name: p.value for p in found if isinstance(p, Property)}

    @property
    def live(self) -> list[Node]:
        """Children that are not behind a /-."""
        return [] if self.block_dropped else [c for c in self.children if not c.dropped]

    @property
    def label(self) -> str:
        """The node's name with its first argument, as messages call it."""
        first = self.args[0].value if self.args and isinstance(self.args[0].value, str) else None
        return f'{self.name} "{first}"' if first is not None else self.name

    def with_entry(self, name: str, value: Value) -> None:
        """Sets a property, in the place of one of that name if there is one."""
        for entry in self.entries:
            if isinstance(entry.item, Property) and entry.item.name == name and not entry.dropped:
                entry.item = Property(name, value, name, value.spot)
                return
        self.entries.append(Entry(Property(name, value, name, value.spot)))


@dataclass
class Document:
    file: str
    nodes: list[Node]
    comments: list[Comment]
    blank: frozenset[int]
    lines: int


def number(text: str) -> int | Fraction:
    plain = text.replace("_", "")
    sign = -1 if plain.startswith("-") else 1
    digits = plain.lstrip("+-")
    if digits[:2] in ("0x", "0o", "0b"):
        return sign * int(digits, 0)
    if re.fullmatch(r"\d+", digits):
        return sign * int(digits)
    mantissa, _, exponent = digits.lower().partition("e")
    if exponent and abs(int(exponent)) > PLACES_OF_TEN:
        raise ValueError("an exponent out of range")
    return sign * Fraction(mantissa) * Fraction(10) ** int(exponent or 0)


def unescape(text: str) -> str:
    """A quoted text without its quotes. Raises `ValueError` with what is wrong."""

    def one(match: re.Match[str]) -> str:
        if match[1]:  # white space behind a backslash, with the line's end, is left out
            return ""
        if match[2]:
            code = int(match[2], 16)
            if code > 0x10FFFF or 0xD800 <= code <= 0xDFFF:
                raise ValueError(f"\\u{{{match[2]}}} is no character")
            return chr(code)
        if match[3] not in ESCAPES:
            raise ValueError(f"\\{match[3]} means nothing in a text")
        return ESCAPES[match[3]]

    return re.sub(r"\\(?:(\s+)|u\{([0-9a-fA-F]{1,6})\}|(.))", one, text, flags=re.DOTALL)


def multi_line(body: str, raw: bool) -> str:
    """A text over lines: the indentation of its last line is taken off all (KDL 2, multi-line strings)."""
    lines = re.split("\r\n|[\n\r\x85\x0c\x0b\u2028\u2029]", body)
    indent = lines[-1]
    if indent.strip():
        raise ValueError('""" that ends a text stands on a line of its own')
    made = []
    for line in lines[1:-1]:
        if not line.strip():
            made.append("")
        elif line.startswith(indent):
            made.append(line[len(indent) :])
        else:
            raise ValueError("a line that is indented less than the last")
    text = "\n".join(made)
    return text if raw else unescape(text)


def text_of(token: Token) -> str:
    if token.type == "WORD":
        return str(token)
    if token.type == "QUOTED":
        return unescape(token[1:-1])
    hashes = len(token) - len(token.lstrip("#"))
    body = str(token)[hashes : len(token) - hashes]
    return multi_line(body[3:-3], hashes > 0) if body.startswith('"""') else body[1:-1]


class Builder(Transformer[Any, Any]):
    """Called by the parser as it reduces. The file's name comes with each token."""

    def spot(self, token: Token) -> Spot:
        made: Any = token
        return Spot(made.file, token.line or 1, token.column or 1, made.chain)

    def fail(self, token: Token, what: str, fix: str = "") -> BadInput:
        return BadInput([self.spot(token).problem(what, fix)])

    def text(self, c: list[Token]) -> tuple[Token, str]:
        try:
            return c[0], text_of(c[0])
        except ValueError as error:
            raise self.fail(c[0], str(error)) from None

    def kind(self, c: list[Any]) -> tuple[Token, str, bool]:
        return c[0], c[1][1], True

    def value(self, c: list[Any]) -> Value:
        unit = c[0][1] if isinstance(c[0], tuple) and len(c[0]) == 3 else None
        raw = c[-1]
        token = raw[0] if isinstance(raw, tuple) else raw
        made: Any
        if isinstance(raw, tuple):
            made = raw[1]
        elif token.type == "KEYWORD":
            keywords = {"#true": True, "#false": False, "#null": None}
            made = keywords.get(token, float(str(token)[1:]) if token not in keywords else None)
        else:
            try:
                made = number(str(token))
            except ValueError as error:
                raise self.fail(token, str(error)) from None
        first = c[0][0] if unit is not None else token
        return Value(made, unit, str(token), self.spot(first))

    def property(self, c: list[Any]) -> Property:
        return Property(c[0][1], c[2], str(c[0][0]), self.spot(c[0][0]))

    def entry(self, c: list[Any]) -> Entry:
        return Entry(c[-1], len(c) > 1)

    def block(self, c: list[Any]) -> tuple[list[Node], bool, Token]:
        return c[-2], len(c) > 3, c[-1]

    def node(self, c: list[Any]) -> Node:
        dropped = isinstance(c[0], Token) and c[0].type == "DROP"
        rest = c[1:] if dropped else c
        rest = [r for r in rest if not isinstance(r, Token)]  # ends of lines
        kind = rest.pop(0)[1] if len(rest[0]) == 3 else None
        token, name = rest.pop(0)
        made = Node(name, self.spot(token), str(token), kind, dropped=dropped)
        made.end_line = token.line or 1
        for part in rest:
            if isinstance(part, Entry):
                made.entries.append(part)
                item = part.item.value if isinstance(part.item, Property) else part.item
                made.end_line = max(made.end_line, item.spot.line + item.source.count("\n"))
            else:
                made.children, made.block_dropped, close = part
                made.has_block = True
                made.end_line = close.line or 1
        return made

    def document(self, c: list[Any]) -> list[Node]:
        return [n for n in c if isinstance(n, Node)]

    def start(self, c: list[Any]) -> list[Node]:
        return cast("list[Node]", c[0])


class FileToken(Token):
    """A token that knows its file, and by which it was included."""

    file: str
    chain: tuple[str, ...]


class Words(LarkLexer):
    """Our words as lark's tokens."""

    def __init__(self, _: Any) -> None:
        pass

    def lex(self, data: Any, _state: Any = None) -> Iterator[Token]:
        lexer = cast(Lexer, data)
        last: Word | None = None
        for word in lexer.words():
            if word.kind == "CLOSE" and last and last.kind not in ("NEWLINE", "SEMICOLON", "OPEN", "CLOSE"):
                yield self.token("AHEAD", "", word, lexer)  # a block may end its last node
            elif word.kind == "CLOSE" and last and last.kind == "CLOSE":
                yield self.token("AHEAD", "", word, lexer)
            yield self.token(word.kind, word.text, word, lexer)
            last = word
        if last and last.kind not in ("NEWLINE", "SEMICOLON"):
            yield self.token("EOF", "", last, lexer)

    @staticmethod
    def token(kind: str, text: str, word: Word, lexer: Lexer) -> Token:
        made = FileToken(kind, text, line=word.line, column=word.column)
        made.file, made.chain = lexer.file, lexer.chain
        return made


GRAMMAR = (Path(__file__).parent / "grammar.lark").read_text(encoding="utf-8")
PARSER = Lark(GRAMMAR, parser="lalr", lexer=Words, transformer=Builder())
SHOWN = {
    "CLOSE": "}",
    "OPEN": "{",
    "EQUAL": "=",
    "LEFT": "(",
    "RIGHT": ")",
    "DROP": "/-",
    "NUMBER": "a number",
    "KEYWORD": "a keyword",
    "WORD": "a text",
    "QUOTED": "a text",
    "RAW": "a text",
    "SEMICOLON": ";",
    "NEWLINE": "the end of the line",
    "EOF": "the end of the file",
}


def read_text(text: str, file: str, chain: tuple[str, ...] = ()) -> Document:
    """The document of a text. Raises `BadInput` with the first thing that cannot be read."""
    lexer = Lexer(text, file, chain)
    try:
        nodes = cast("list[Node]", PARSER.parse(cast(Any, lexer)))
    except UnexpectedToken as error:
        raise BadInput([explain(error, file, chain)]) from None
    lines = re.split("\r\n|[\n\r]", text)
    blank = frozenset(n for n, line in enumerate(lines, 1) if not line.strip())
    return Document(file, nodes, lexer.comments, blank, len(lines))


def explain(error: UnexpectedToken, file: str, chain: tuple[str, ...]) -> Problem:
    token = error.token
    spot = Spot(file, token.line or 1, token.column or 1, chain)
    if token.type in ("EOF", "$END"):
        return spot.problem("the file ends in the middle of something", "is a } missing?")
    if token.type == "CLOSE" or (token.type == "AHEAD" and "CLOSE" not in error.expected):
        return spot.problem("} without its {", "take it out")
    shown = str(token)[:40] if token.type != "NEWLINE" else "the end of the line"
    if token.type in ("NUMBER", "KEYWORD") and "KEYWORD" not in error.expected:
        return spot.problem(f"{shown} is no name", "a node or a property begins with its name")
    names = sorted({SHOWN.get(e, e) for e in error.expected} - {"AHEAD"})
    fix = f"expected {' or '.join(names)}" if len(names) <= 4 else ""
    return spot.problem(f"{shown!r} cannot stand here", fix)


def read_bytes(data: bytes, file: str, chain: tuple[str, ...] = ()) -> Document:
    return read_text(decode(data, file), file, chain)
