"""Protections of the decision module: for each a module without it, which the captures must tell from it."""

from __future__ import annotations

from lemonhall import interface
from lemonhall.decide import Front, MediaServer, Session
from lemonhall.interface import ServerState


class RepeatsPaid(Front):
    def may_retry(self, session: Session) -> bool:
        ran, session.maybe_ran = session.maybe_ran, False
        may = super().may_retry(session)
        session.maybe_ran = ran
        return may


class IgnoresDrains(Front):
    def on_server_list(self, event: interface.ServerList) -> None:
        def ready(entry: interface.Server) -> interface.Server:
            if entry.state is not ServerState.DRAINING:
                return entry
            return interface.Server(**{**vars(entry), "state": ServerState.READY})

        super().on_server_list(
            interface.ServerList(event.kind, event.version, tuple(map(ready, event.servers)))
        )


class IgnoresCold(Front):
    def slow_start_allows(self, server: MediaServer) -> bool:
        return True


class TrustsOldLists(Front):
    def on_server_list(self, event: interface.ServerList) -> None:
        super().on_server_list(event)
        self.list_fresh = True


class NeverEjects(Front):
    def record_failure(self, server: MediaServer, weight: float, restart: bool) -> None:
        return


class PaidAnywhere(Front):
    def pick_servers(self, session: Session) -> list[MediaServer]:
        paid, session.paid = session.paid, False
        picked = super().pick_servers(session)
        session.paid = paid
        return picked


class NoSeats(Front):
    def place_session(self, session: Session) -> None:
        taken, self.seats_taken[session.request.cls, session.request.title] = (
            self.seats_taken[session.request.cls, session.request.title],
            0,
        )
        super().place_session(session)
        self.seats_taken[session.request.cls, session.request.title] += taken


class NeverSubRates(Front):
    def sub_rate(self, server: MediaServer, session: Session) -> bool:
        return False


class NoReserves(Front):
    def update_quota(self, server: MediaServer) -> None:
        super().update_quota(server)
        server.quota = (0, 0)


class NoRetryBudget(Front):
    def may_retry(self, session: Session) -> bool:
        self.retry_times.clear()
        return super().may_retry(session)


class NeverLowers(Front):
    def lower_rungs(self, ready: list[Session], excess_kb: float, draw: float) -> None:
        return


class NoTenantRates(Front):
    def exceeds_tenant_rate(self, tenant: int) -> bool:
        return False


class IgnoresLearnedState(Front):
    def on_learned_state(self, event: interface.LearnedState) -> None:
        return


class IgnoresClaims(Front):
    def on_new_session(self, event: interface.NewSession) -> None:
        super().on_new_session(interface.NewSession(**{**vars(event), "maybe_ran": False}))


class DropsLeftSessions(Front):
    def on_viewer_gone(self, event: interface.ViewerGone) -> None:
        if session := self.sessions.pop(event.id, None):
            self.detach_session(session)


class IgnoresHandovers(Front):
    def on_handed_over(self, event: interface.HandedOver) -> None:
        return


GUARDS: dict[str, tuple[type[Front], str]] = {
    "a_paid_set_up_whose_answer_was_lost": (RepeatsPaid, "the session fails and is not set up again"),
    "overlapping_deploys": (IgnoresDrains, "no set-up goes to a draining server"),
    "cold_successors": (
        IgnoresCold,
        "servers that have just started get no more set-ups than their slow start allows",
    ),
    "a_front_that_starts_on_an_old_list": (
        TrustsOldLists,
        "servers count as cold until the list is fresh",
    ),
    "a_server_that_answers_with_errors": (NeverEjects, "the server is ejected, for longer each time"),
    "a_paid_viewer_while_a_server_is_in_doubt": (
        PaidAnywhere,
        "the session goes to a server without recent failures",
    ),
    "a_title_that_everybody_wants": (NoSeats, "the title gets no more sessions than its seats"),
    "premium_viewers_at_full_servers": (
        NeverSubRates,
        "two low sessions are sub-rated for a premium one, each only once",
    ),
    "reserves_in_a_surge": (NoReserves, "premium sessions get the slots reserved for them"),
    "a_hall_that_fails_all_at_once": (NoRetryBudget, "retries stay within their budget"),
    "an_uplink_that_sags": (NeverLowers, "rungs are lowered, those of least worth first"),
    "a_partner_over_its_share": (NoTenantRates, "sessions above the tenant's rate count for less worth"),
    "a_front_that_was_killed_and_remembers": (
        IgnoresLearnedState,
        "the front starts with the state that it had learned",
    ),
    "a_paid_set_up_whose_viewer_dropped": (
        DropsLeftSessions,
        "the session keeps its seat until its end is reported",
    ),
    "a_change_of_guard": (IgnoresHandovers, "the successor counts the sessions that were handed over"),
    "a_claim_that_comes_again": (IgnoresClaims, "the session fails at once if it may have run"),
}
