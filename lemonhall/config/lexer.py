"""Words of a KDL 2 document, each with its line and column. Raises `BadInput`, whatever the bytes.

White space ends here, comments are set aside with their places, lines that go on are joined.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import NamedTuple

from lemonhall.problem import BadInput, Problem

SOURCE_MOST = 4_000_000  # bytes of a file
DEPTH_MOST = 64
NEWLINES = r"(?:\r\n|[\n\r\x85\x0c\x0b\u2028\u2029])"
SPACES = r"[\ufeff\t\x20\xa0\u1680\u2000-\u200a\u202f\u205f\u3000]"
STOPS = r"\\/(){};\[\]\"\#=\s\x85\ufeff"
PIECE = re.compile(
    rf"""
    (?P<SPACE>{SPACES}+)
  | (?P<NEWLINE>{NEWLINES})
  | (?P<LINE_COMMENT>//[^\n\r\x85\x0c\x0b\u2028\u2029]*)
  | (?P<BLOCK_COMMENT>/\*)
  | (?P<DROP>/-)
  | (?P<GOES_ON>\\{SPACES}*(?://[^\n\r]*)?(?:{NEWLINES}|$))
  | (?P<MULTI>\#*\"\"\"(?:{NEWLINES}))
  | (?P<RAW>\#+")
  | (?P<QUOTED>"(?:\\(?:[^\s]|\s+)|[^"\\\n\r])*")
  | (?P<KEYWORD>\#-?[a-z]+)
  | (?P<NUMBER>[+-]?[0-9][^{STOPS}<>,]*)
  | (?P<WORD>[^{STOPS}<>,][^{STOPS}<>,]*)
  | (?P<OPEN>\{{) | (?P<CLOSE>\}}) | (?P<LEFT>\() | (?P<RIGHT>\)) | (?P<SEMICOLON>;) | (?P<EQUAL>=)
    """,
    re.VERBOSE,
)
NUMBERS = re.compile(
    r"[+-]?(?:0x[0-9a-fA-F][0-9a-fA-F_]*|0o[0-7][0-7_]*|0b[01][01_]*"
    r"|[0-9][0-9_]*(?:\.[0-9][0-9_]*)?(?:[eE][+-]?[0-9][0-9_]*)?)"
)
KEYWORDS = ("#true", "#false", "#null", "#inf", "#-inf", "#nan")
VALUES = ("WORD", "QUOTED", "RAW", "NUMBER", "KEYWORD")
LONG_NUMBER = 400
ILLEGAL = re.compile("[\x00-\x08\x0e-\x1f\x7f\u200e\u200f\u202a-\u202e\u2066-\u2069]|(?<!^)\ufeff")


class Word(NamedTuple):
    kind: str
    text: str
    line: int
    column: int
    depth: int  # of blocks


class Comment(NamedTuple):
    line: int
    alone: bool  # nothing stands before it on its line
    text: str
    end_line: int


def decode(data: bytes, file: str) -> str:
    """Text of a file; a byte order mark is passed over."""
    if len(data) > SOURCE_MOST:
        raise BadInput([Problem(file, 1, 1, f"a file over {SOURCE_MOST} bytes", "split it with include")])
    try:
        return data.decode("utf-8").removeprefix("\ufeff")
    except UnicodeDecodeError as error:
        before = data[: error.start]
        line = before.count(b"\n") + 1
        column = error.start - before.rfind(b"\n")
        raise BadInput([Problem(file, line, column, "not UTF-8 here", "save the file as UTF-8")]) from None


class Lexer:
    def __init__(self, text: str, file: str, chain: tuple[str, ...] = ()) -> None:
        self.text, self.file, self.chain = text, file, chain
        self.comments: list[Comment] = []
        self.line, self.begins = 1, 0  # of the current line
        self.depth = 0

    def fail(self, at: int, what: str, fix: str = "") -> BadInput:
        return BadInput([Problem(self.file, self.line, at - self.begins + 1, what, fix, self.chain)])

    def lines(self, start: int, end: int) -> None:
        """Counts the lines that a piece of text goes over."""
        for match in re.finditer(NEWLINES, self.text[start:end]):
            self.line += 1
            self.begins = start + match.end()

    def words(self) -> Iterator[Word]:
        if bad := ILLEGAL.search(self.text):
            self.lines(0, bad.start())
            raise self.fail(bad.start(), f"{bad[0]!r} may not stand in a document", "take it out")
        at, end, last = 0, len(self.text), ""
        while at < end:
            match = PIECE.match(self.text, at)
            if match is None:
                raise self.unknown(at)
            kind = match.lastgroup or ""
            line, column = self.line, at - self.begins + 1
            after = match.end()
            if kind in ("LINE_COMMENT", "BLOCK_COMMENT"):
                after = self.comment(kind, at, after)
                last = ""
            elif kind in ("SPACE", "GOES_ON"):
                self.lines(at, after)
                last = ""
            elif kind == "NEWLINE":
                yield Word(kind, "\n", line, column, self.depth)
                self.lines(at, after)
                last = ""
            else:
                if kind in ("MULTI", "RAW"):
                    after = self.raw(kind, at, match)
                if kind in VALUES or kind == "MULTI":
                    if last in VALUES:
                        raise self.fail(at, "a value right behind another", "put a space between them")
                    last = "RAW" if kind == "MULTI" else kind
                else:
                    last = kind
                text = self.text[at:after]
                self.check(kind, text, at)
                self.depth += {"OPEN": 1, "CLOSE": -1}.get(kind, 0)
                if self.depth > DEPTH_MOST:
                    raise self.fail(at, f"blocks nested deeper than {DEPTH_MOST}")
                yield Word("RAW" if kind == "MULTI" else kind, text, line, column, self.depth)
                self.lines(at, after)
            at = after

    def check(self, kind: str, text: str, at: int) -> None:
        if kind == "NUMBER":
            if not NUMBERS.fullmatch(text):
                unit = re.fullmatch(r"([0-9.]+)([A-Za-z%/]+)", text)
                fix = f"units stand before: ({unit[2]}){unit[1]}" if unit else ""
                raise self.fail(at, f"{text[:40]} is no number", fix)
            if len(text) > LONG_NUMBER:
                raise self.fail(at, f"a number of {len(text)} digits")
        elif kind == "KEYWORD" and text not in KEYWORDS:
            raise self.fail(at, f"{text[:40]} is no keyword", f"known are {' '.join(KEYWORDS)}")
        elif kind == "WORD" and text in ("true", "false", "null", "inf", "-inf", "nan"):
            raise self.fail(at, f"{text} by itself is no value", f"write #{text}")

    def unknown(self, at: int) -> BadInput:
        char = self.text[at]
        if char == '"':
            return self.fail(at, "a text that does not end on its line", 'close it with "')
        if char == "#":
            return self.fail(at, "# begins no keyword and no raw text here", "write #true, #false or #null")
        return self.fail(at, f"{char!r} cannot stand here", "put the text in quotes")

    def comment(self, kind: str, at: int, after: int) -> int:
        if kind == "BLOCK_COMMENT":
            depth = 1
            while depth:
                match = re.compile(r"/\*|\*/").search(self.text, after)
                if match is None:
                    raise self.fail(at, "a comment that does not end", "close it with */")
                depth += 1 if match[0] == "/*" else -1
                after = match.end()
        line = self.line
        alone = not self.text[self.begins : at].strip()
        self.lines(at, after)
        self.comments.append(Comment(line, alone, self.text[at:after].rstrip(), self.line))
        return after

    def raw(self, kind: str, at: int, match: re.Match[str]) -> int:
        hashes = self.text[at : match.end()].split('"')[0]
        close = ('"""' if kind == "MULTI" else '"') + hashes
        found = match.end()
        while True:
            found = self.text.find(close, found)
            if found < 0:
                raise self.fail(at, "a text that does not end", f"close it with {close}")
            back = len(self.text[:found]) - len(self.text[:found].rstrip("\\")) if not hashes else 0
            if back % 2 == 0:
                break
            found += 1
        if kind == "RAW" and re.search(NEWLINES, self.text[at:found]):
            raise self.fail(at, "a raw text goes over lines", 'write #"""')
        return found + len(close)
