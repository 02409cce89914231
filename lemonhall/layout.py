"""Placement of comments and empty lines in formatted documents. Used by all formatters."""

from __future__ import annotations

from collections.abc import Iterable

Comment = tuple[int, bool, str]  # line, whether it is the first token of its line, the text


class Layout:
    """The lines of the output. Each comment is written once, in order, before or after its element."""

    def __init__(self, comments: Iterable[Comment], blank: frozenset[int]) -> None:
        self.comments, self.blank = list(comments), blank
        self.lines: list[str] = []
        self.last = 0  # last line of the source that was written

    @property
    def opens(self) -> bool:
        """Whether the output is empty or ends with the start of a block."""
        return not self.lines or self.lines[-1].endswith("{")

    def put(self, line: str) -> None:
        self.lines.append(line)

    def gap(self, line: int) -> None:
        """Adds an empty line if the source has one between the last line written and this line."""
        if not self.opens and self.lines[-1] and any(n in self.blank for n in range(self.last + 1, line)):
            self.put("")

    def comments_before(self, line: int, indent: str) -> None:
        while self.comments and self.comments[0][0] < line:
            at, _, text = self.comments.pop(0)
            self.gap(at)
            self.lines += (indent + text).split("\n")
            self.last = at + text.count("\n")

    def before(self, line: int, indent: str) -> None:
        """Writes the comments and the empty line that precede a line of the source."""
        self.comments_before(line, indent)
        self.gap(line)

    def after(self, line: int) -> None:
        """Appends the trailing comment of the line that was just written."""
        while self.comments and self.comments[0][0] == line and not self.comments[0][1]:
            if "\n" in self.comments[0][2]:
                break
            self.lines[-1] += "  " + self.comments.pop(0)[2]
        self.last = max(self.last, line)

    def close(self, line: int, indent: str) -> None:
        """Writes the comments that precede the end of a block."""
        self.comments_before(line, indent)
        self.last = max(self.last, line)

    def text(self) -> str:
        """The whole output, with the remaining comments at its end."""
        self.comments_before(1 << 60, "")
        while self.lines and not self.lines[-1]:
            self.lines.pop()
        return "\n".join(self.lines) + "\n" if self.lines else ""


def quoted(text: str) -> str:
    """The text as a quoted string of KDL 2."""
    escapes = {"\\": "\\\\", '"': '\\"', "\n": "\\n", "\r": "\\r", "\t": "\\t"}
    return '"' + "".join(escapes.get(c, f"\\u{{{ord(c):x}}}" if ord(c) < 32 else c) for c in text) + '"'
