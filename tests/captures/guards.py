"""Guards of the module and the module without each: what the captures of this folder are held against."""

from __future__ import annotations

from lemonhall import interface as i
from lemonhall.decide import Box, Front, Session
from lemonhall.interface import ServerState


class RepeatsPaid(Front):
    def may_retry(self, s: Session) -> bool:
        ran, s.maybe_ran = s.maybe_ran, False
        may = super().may_retry(s)
        s.maybe_ran = ran
        return may


class IgnoresDrains(Front):
    def on_list(self, event: i.ServerList) -> None:
        def ready(told: i.Server) -> i.Server:
            if told.state is not ServerState.DRAINING:
                return told
            return i.Server(**{**vars(told), "state": ServerState.READY})

        super().on_list(i.ServerList(event.kind, event.version, tuple(map(ready, event.servers))))


class IgnoresCold(Front):
    def warm_enough(self, box: Box) -> bool:
        return True


class TrustsOldLists(Front):
    def on_list(self, event: i.ServerList) -> None:
        super().on_list(event)
        self.list_fresh = True


class BlamesNobody(Front):
    def blame(self, box: Box, weight: float, restart: bool) -> None:
        return


class PaidAnywhere(Front):
    def pick(self, s: Session) -> list[Box]:
        paid, s.paid = s.paid, False
        made = super().pick(s)
        s.paid = paid
        return made


class NoSeats(Front):
    def place(self, s: Session) -> None:
        held, self.seats[s.told.cls, s.told.title] = self.seats[s.told.cls, s.told.title], 0
        super().place(s)
        self.seats[s.told.cls, s.told.title] += held


class NeverSubRates(Front):
    def sub_rate(self, box: Box, s: Session) -> bool:
        return False


class NoReserves(Front):
    def set_quota(self, box: Box) -> None:
        super().set_quota(box)
        box.quota = (0, 0)


class NoBudget(Front):
    def may_retry(self, s: Session) -> bool:
        self.retried.clear()
        return super().may_retry(s)


class NeverCuts(Front):
    def step_down(self, ready: list[Session], give: float, dice: float) -> None:
        return


class NoShares(Front):
    def over_share(self, tenant: int) -> bool:
        return False


class ForgetsLearned(Front):
    def on_memory(self, event: i.LearnedState) -> None:
        return


class ForgetsClaims(Front):
    def on_new(self, told: i.NewSession) -> None:
        super().on_new(i.NewSession(**{**vars(told), "maybe_ran": False}))


class DropsWhoIsGone(Front):
    def on_viewer_gone(self, event: i.ViewerGone) -> None:
        if s := self.sessions.pop(event.id, None):
            self.detach(s)


class TakesNothingOver(Front):
    def on_handed_over(self, event: i.HandedOver) -> None:
        return


GUARDS: dict[str, tuple[type[Front], str]] = {
    "a_paid_set_up_whose_answer_was_lost": (RepeatsPaid, "fails, and is not sent again"),
    "overlapping_deploys": (IgnoresDrains, "nothing goes to a server that was told to drain"),
    "cold_successors": (IgnoresCold, "servers that have just started get their pace, no more"),
    "a_front_that_starts_on_an_old_list": (
        TrustsOldLists,
        "fills servers at the cold pace until the list is new",
    ),
    "a_server_that_answers_with_errors": (BlamesNobody, "is left alone, for longer each time"),
    "a_paid_viewer_while_a_server_is_in_doubt": (PaidAnywhere, "is sent where nothing failed lately"),
    "a_title_that_everybody_wants": (NoSeats, "no more sessions than its seats"),
    "premium_viewers_at_full_servers": (NeverSubRates, "two of the others are sub-rated for one, once"),
    "reserves_in_a_surge": (NoReserves, "premium sessions find what was kept for them"),
    "a_hall_that_fails_all_at_once": (NoBudget, "further attempts stay within their budget"),
    "an_uplink_that_sags": (NeverCuts, "rungs go down, the cheapest first"),
    "a_partner_over_its_share": (NoShares, "its sessions beyond it count for less"),
    "a_front_that_was_killed_and_remembers": (ForgetsLearned, "begins with what it had learned"),
    "a_paid_set_up_whose_viewer_dropped": (DropsWhoIsGone, "keeps its seat until its end is told"),
    "a_change_of_guard": (TakesNothingOver, "the successor counts the sessions that it was handed"),
    "a_claim_that_comes_again": (ForgetsClaims, "is failed at once if it may have run"),
}
