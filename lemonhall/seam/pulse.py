"""Who has been silent for too long, as told by one who may have been asleep itself. Pure."""

from __future__ import annotations


class Pulse:
    """`hung_s`: silence after which one is held for hung. Ticks come every `tick_s`; when one comes much
    later, it was we who did not run, and everybody's silence counts from then anew."""

    def __init__(self, hung_s: float, tick_s: float) -> None:
        self.hung_s, self.tick_s = hung_s, tick_s
        self.heard_at: dict[int, float] = {}
        self.named: set[int] = set()
        self.ticked: float | None = None

    def heard(self, who: int, now: float) -> None:
        self.heard_at[who] = now
        self.named.discard(who)

    def forget(self, who: int) -> None:
        self.heard_at.pop(who, None)
        self.named.discard(who)

    def tick(self, now: float) -> list[int]:
        """Those that have become silent for too long since the last tick; each is named once."""
        late = self.ticked is not None and now - self.ticked > 4 * self.tick_s
        self.ticked = now
        if late:
            self.heard_at = dict.fromkeys(self.heard_at, now)
            return []
        hung = [w for w, at in self.heard_at.items() if now - at > self.hung_s and w not in self.named]
        self.named.update(hung)
        return hung
