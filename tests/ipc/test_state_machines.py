"""Model check of worker, decider and ledger in small scopes: every order of steps, with a crash at each.

The model has one paid claim (its viewer may return at another worker), up to two workers, one decider that
crash and restart from what is on disk, connections that may be lost, and a server that counts its set-ups.
Errors searched for: a claim that runs twice, a request answered twice, a request with too many attempts.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from copy import deepcopy
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

import pytest

from lemonhall.ipc import Announcement, AttemptRegistry, Execution, NextStep, RequestStage, RequestState
from lemonhall.store import ClaimRecord, ClaimWrite, Ledger, Permit, Standing, Token, Verdict

TOKEN = Token(1000, 0, 9, 1)
MAX_ATTEMPTS = 2


@dataclass
class WorkerRequest:
    """A set-up request at its worker. `attempt`: "connect", "sent" (runs at the server), or "" for none."""

    number: int
    state: RequestState = field(default_factory=lambda: RequestState(MAX_ATTEMPTS))
    attempt: str = ""
    answers: list[str] = field(default_factory=list)
    sends: int = 0


class SystemModel:
    """One state of the system.

    Messages are kept in one pair of queues per connection; what is in them is lost with the connection. Steps
    are texts of a name and the worker's number: the viewer's request arrives ("arrive"), the worker connects
    to the decider or loses the connection, its next message is delivered ("report", or "order" in the other
    direction), its request is sent to the server, which plays it, refuses it as full or resets the
    connection, a playing session finishes, the deadline expires, the worker is killed. Without a number: a
    write reaches the disk ("persist"), the decider crashes.
    """

    def __init__(self, crashes: int, disconnects: int, returning: bool, overlap: bool = False) -> None:
        """`returning`: a viewer returns with the same claim after the first answer, or (`overlap`) before."""
        self.crashes, self.disconnects, self.overlap = crashes, disconnects, overlap
        self.disk: dict[bytes, ClaimRecord] = {}
        self.ran: list[int] = []  # requests of the set-ups that the server carried out
        self.connections = [0, 0]  # of each worker to the decider; 0: none
        self.next_connection = 1
        self.reports: list[list[Any]] = [[], []]  # to the decider, by worker
        self.orders: list[list[Any]] = [[], []]  # to the worker
        self.requests: list[WorkerRequest | None] = [None, None]
        self.arrivals = [0, 1] if returning else [0]
        self.workers = tuple(self.arrivals)
        self.next_request = 1
        self.start_decider()

    # the decider, as in `front.decider`

    def start_decider(self) -> None:
        self.registry = AttemptRegistry()
        self.pending: list[tuple[bytes, ClaimRecord, ClaimRecord | None, Any]] = []
        self.ledger = Ledger(0, 9, self.lookup, self.is_pending, 1e9)
        self.permits: dict[tuple[int, int], Permit] = {}
        self.open: dict[int, dict[str, Any]] = {}

    def __deepcopy__(self, memo: dict[int, Any]) -> SystemModel:
        copy = SystemModel.__new__(SystemModel)
        for name, value in self.__dict__.items():
            if name != "ledger":
                setattr(copy, name, deepcopy(value, memo))
        copy.ledger = Ledger(0, 9, copy.lookup, copy.is_pending, 1e9)
        copy.ledger.permits, copy.ledger.permits_issued = (
            dict(self.ledger.permits),
            self.ledger.permits_issued,
        )
        return copy

    def lookup(self, key: bytes) -> ClaimRecord | None:
        return next((r for k, r, _, _ in reversed(self.pending) if k == key), self.disk.get(key))

    def is_pending(self, key: bytes) -> bool:
        return any(k == key for k, _, _, _ in self.pending)

    def write(self, write: Any, on_written: Any) -> None:
        self.pending.append((write.key, write.record, write.expected, on_written))

    def settle(self, key: tuple[int, int], ran: bool) -> None:
        permit = self.permits.pop(key, None)
        if permit and (write := self.ledger.settle(permit, ran, 1.0)):
            self.write(write, None)

    def set_up_requested(self, worker: int, message: dict[str, Any]) -> None:
        if not self.registry.add_request(self.connections[worker], message["request"]):
            return
        if message["unsent"][1] and (write := self.ledger.free_unsent(TOKEN, *message["unsent"], 1.0)):
            self.write(write, None)
        decision = self.ledger.decide(TOKEN, 1.0)
        go = decision.verdict is Verdict.GO and not message["ran"]
        self.open[message["request"]] = {
            "worker": worker,
            "permit": decision.permit if go else None,
            "attempts": 0,
            "attempt": None,
        }
        self.start_attempt(message["request"]) if go else self.answer_request(message["request"])

    def start_attempt(self, request: int) -> None:
        """Stands in for the module's choice of a server; there is one."""
        entry = self.open[request]
        if entry["attempts"] >= MAX_ATTEMPTS or entry["attempt"] is not None:
            self.answer_request(request)
            return
        number, entry["attempts"] = entry["attempts"], entry["attempts"] + 1
        write = self.ledger.begin_attempt(entry["permit"], 7, 1.0)
        if write is None:
            self.answer_request(request)
            return
        self.write(write, ("clear", request, number, self.connections[entry["worker"]]))
        entry["attempt"] = self.registry.add_attempt(request, number, 7, False)
        self.permits[request, number] = entry["permit"]
        order = {"kind": "start", "request": request, "number": number, "turn": write.record.turn}
        self.orders[entry["worker"]].append({**order, "claim_attempts": write.record.attempts})

    def answer_request(self, request: int) -> None:
        entry = self.open.pop(request)
        self.registry.remove_request(request)
        if entry["permit"]:
            self.ledger.end_permit(entry["permit"])
        self.orders[entry["worker"]].append({"kind": "answer", "request": request})

    def attempt_finished(self, worker: int, message: dict[str, Any]) -> None:
        attempt = self.registry.finish_attempt(
            self.connections[worker], message["request"], message["number"]
        )
        if attempt is None:
            return
        self.settle((message["request"], message["number"]), message["ran"])
        entry = self.open.get(message["request"])
        if entry is None or entry["attempt"] is not attempt:
            return
        entry["attempt"] = None
        if message["closed"]:
            self.open.pop(message["request"])
            self.registry.remove_request(message["request"])
            self.ledger.end_permit(entry["permit"])
        elif message["ran"]:
            self.answer_request(message["request"])
        else:
            self.start_attempt(message["request"])

    def ongoing_session(self, worker: int, message: dict[str, Any]) -> None:
        if self.registry.add_request(self.connections[worker], message["request"]):
            attempt = self.registry.add_attempt(message["request"], 0, 7, True)
            permit = Permit(TOKEN, message["turn"], 0)
            self.permits[message["request"], 0] = permit
            self.open[message["request"]] = {
                "worker": worker,
                "permit": permit,
                "attempts": 1,
                "attempt": attempt,
            }

    def drop_worker(self, worker: int) -> None:
        requests, ends = self.registry.remove_connection(self.connections[worker])
        for attempt, execution in ends:
            self.settle((attempt.request_id, attempt.number), execution is Execution.MAY_HAVE_RUN)
        for request in requests:
            self.ledger.end_permit(self.open.pop(request)["permit"] or Permit(TOKEN, 0, 0))

    # a worker, as in `front.viewers.worker`

    def announce(self, worker: int) -> None:
        request, connection = self.requests[worker], self.connections[worker]
        if request is None or not connection:
            return
        announcement = request.state.announce(connection)
        state = request.state
        if announcement is Announcement.REQUEST:
            self.reports[worker].append(
                {
                    "kind": "set_up_requested",
                    "request": request.number,
                    "ran": state.unreported_run,
                    "unsent": state.unsent_claim,
                }
            )
        elif announcement is Announcement.ONGOING_SESSION:
            self.reports[worker].append(
                {"kind": "ongoing_session", "request": request.number, "turn": state.claim_turn}
            )

    def end_attempt(self, worker: int, sent: bool, never_ran: bool) -> None:
        request = self.requests[worker]
        assert request
        request.attempt = ""
        playing = request.state.stage is RequestStage.PLAYING
        number, closed = (
            request.state.attempt_number,
            request.state.stage in (RequestStage.CLOSED, RequestStage.PLAYING),
        )
        next_step = request.state.on_attempt_ended(self.connections[worker], sent, never_ran)
        if next_step is NextStep.REPORT:
            report = {
                "kind": "attempt_finished",
                "request": request.number,
                "number": 0 if playing and number < 0 else number,
            }
            self.reports[worker].append({**report, "ran": sent and not never_ran, "closed": closed})
        elif next_step is NextStep.RESUBMIT:
            self.announce(worker)

    def close(self, worker: int, answer: str) -> None:
        """Gives the request its answer: of the decider, or of the worker itself ("alone")."""
        request = self.requests[worker]
        assert request
        maybe_ran = request.state.may_have_run()
        known = request.state.close(self.connections[worker])
        refused = answer == "alone" and not known and not maybe_ran
        request.answers.append("refused" if refused else answer)
        attempt, request.attempt = request.attempt, ""
        if attempt:
            self.end_attempt(worker, attempt == "sent", False)
        if known and answer == "alone":
            self.reports[worker].append({"kind": "viewer_gone", "request": request.number})

    # steps

    def steps(self) -> Iterator[str]:
        for w in self.workers:
            request = self.requests[w]
            first = self.requests[0]
            after = 0 not in self.arrivals and (first is None or first.answers)
            if w in self.arrivals and (w == 0 or self.overlap or after):
                yield f"arrive {w}"
            if not self.connections[w]:
                yield f"connect {w}"
            elif self.disconnects:
                yield f"disconnect {w}"
            if self.reports[w] and self.connections[w]:
                yield f"report {w}"
            if self.orders[w] and self.connections[w]:
                yield f"order {w}"
            if request and request.attempt == "connect" and request.state.stage is RequestStage.SENT:
                yield f"send {w}"
            if request and request.attempt == "sent" and request.state.stage is RequestStage.SENT:
                yield f"play {w}"
                yield f"full {w}"
                yield f"reset {w}"
            if request and request.state.stage is RequestStage.PLAYING:
                yield f"finish {w}"
            if request and not request.answers:
                yield f"deadline {w}"
            if self.crashes and request:
                yield f"kill {w}"
        if self.pending:
            yield "persist"
        if self.crashes:
            yield "crash"

    def step(self, name: str) -> None:
        step, _, number = name.partition(" ")
        worker = int(number or 0)
        getattr(self, f"on_{step}")(worker)

    def on_arrive(self, worker: int) -> None:
        self.arrivals = [n for n in self.arrivals if n != worker]
        self.requests[worker] = WorkerRequest(self.next_request)
        self.next_request += 1
        self.announce(worker)

    def on_connect(self, worker: int) -> None:
        self.connections[worker], self.next_connection = self.next_connection, self.next_connection + 1
        self.announce(worker)

    def on_disconnect(self, worker: int) -> None:
        """Both sides see the end of the connection; messages in transit are lost."""
        self.disconnects -= 1
        self.drop_connection(worker)
        self.drop_worker(worker)
        self.connections[worker] = 0

    def drop_connection(self, worker: int) -> None:
        self.reports[worker], self.orders[worker] = [], []
        request = self.requests[worker]
        if request and request.state.on_connection_lost():
            request.attempt = ""

    def on_crash(self, _: int) -> None:
        self.crashes -= 1
        for w in (0, 1):
            self.drop_connection(w)
            self.connections[w] = 0
        self.start_decider()  # writes that were not on disk are lost

    def on_kill(self, worker: int) -> None:
        """The worker ends together with its viewers; the decider sees the connection end."""
        self.crashes -= 1
        self.reports[worker], self.orders[worker] = [], []
        self.requests[worker] = None
        if self.connections[worker]:
            self.drop_worker(worker)
            self.connections[worker] = 0

    def on_persist(self, _: int) -> None:
        key, record, before, on_written = self.pending.pop(0)
        fits = self.disk.get(key) == before
        if fits:
            self.disk[key] = record
        if on_written and fits:
            _, request, number, connection = on_written
            entry = self.open.get(request)
            attempt = entry["attempt"] if entry and self.connections[entry["worker"]] == connection else None
            if entry and attempt and attempt.number == number and self.registry.allow_send(request, number):
                self.orders[entry["worker"]].append(
                    {"kind": "recorded", "request": request, "number": number}
                )

    def on_report(self, worker: int) -> None:
        message = self.reports[worker].pop(0)
        if message["kind"] == "viewer_gone":
            if message["request"] in self.open and self.open[message["request"]]["attempt"] is None:
                entry = self.open.pop(message["request"])
                self.registry.remove_request(message["request"])
                if entry["permit"]:
                    self.ledger.end_permit(entry["permit"])
        else:
            getattr(self, message["kind"])(worker, message)

    def on_order(self, worker: int) -> None:
        message = self.orders[worker].pop(0)
        request = self.requests[worker]
        connection = self.connections[worker]
        own = request if request and request.number == message["request"] else None
        if message["kind"] == "start":
            free = own and not own.attempt and not own.answers
            if (
                free
                and own
                and own.state.start_attempt(
                    connection, message["number"], True, message["turn"], message["claim_attempts"]
                )
            ):
                own.attempt = "connect"
            else:
                report = {
                    "kind": "attempt_finished",
                    "request": message["request"],
                    "number": message["number"],
                }
                self.reports[worker].append(
                    {**report, "ran": False, "closed": own is None or bool(own.answers)}
                )
        elif own and message["kind"] == "recorded":
            own.state.allow_send(connection, message["number"])
        elif own and message["kind"] == "answer" and not own.answers:
            self.close(worker, "answer")

    def on_send(self, worker: int) -> None:
        request = self.requests[worker]
        assert request
        request.attempt = "sent"
        request.sends += 1
        self.ran.append(request.number)

    def on_play(self, worker: int) -> None:
        request = self.requests[worker]
        assert request
        request.answers.append("plays")
        if request.state.on_playing(self.connections[worker]) is Announcement.ONGOING_SESSION:
            self.reports[worker].append(
                {"kind": "ongoing_session", "request": request.number, "turn": request.state.claim_turn}
            )

    def on_full(self, worker: int) -> None:
        """The server answers that it did not accept the session."""
        request = self.requests[worker]
        assert request
        self.ran.remove(request.number)
        self.end_attempt(worker, True, True)

    def on_reset(self, worker: int) -> None:
        self.end_attempt(worker, True, False)

    def on_finish(self, worker: int) -> None:
        self.end_attempt(worker, True, False)

    def on_deadline(self, worker: int) -> None:
        self.close(worker, "alone")

    # invariants

    def check(self) -> None:
        assert len(self.ran) <= 1, f"ran {len(self.ran)} times"
        for request in self.requests:
            assert request is None or len(request.answers) <= 1, f"answered {request.answers}"
            assert request is None or request.sends <= MAX_ATTEMPTS, f"sent {request.sends} times"
            refused = request is not None and "refused" in request.answers and request.number in self.ran
            assert not refused, "told that nothing ran"

    def key(self) -> str:
        requests = [
            r
            and (
                r.number,
                r.attempt,
                r.sends,
                tuple(r.answers),
                *(getattr(r.state, n) for n in RequestState.__slots__),
            )
            for r in self.requests
        ]
        registry = (
            sorted(self.registry.owners.items()),
            sorted((k, a.send_allowed) for k, a in self.registry.open_attempts.items()),
        )
        rest = (
            self.crashes,
            self.disconnects,
            self.disk,
            self.ran,
            self.connections,
            self.reports,
            self.orders,
            self.arrivals,
        )
        opened = sorted(
            (k, v["worker"], v["permit"], v["attempts"], v["attempt"]) for k, v in self.open.items()
        )
        pending = [(k, r, b, t) for k, r, b, t in self.pending]
        return repr(
            (requests, registry, rest, opened, pending, self.ledger.permits, sorted(self.permits.items()))
        )


def explore(model: SystemModel, limit: int = 400_000) -> int:
    """Visits all reachable states and returns their number.

    Raises `AssertionError` with the steps that lead to a state that violates an invariant.
    """
    seen = {model.key()}
    stack: list[tuple[SystemModel, tuple[str, ...]]] = [(model, ())]
    while stack:
        state, path = stack.pop()
        for name in list(state.steps()):
            successor = deepcopy(state)
            try:
                successor.step(name)
                successor.check()
            except AssertionError as error:
                raise AssertionError(f"{error} after {' > '.join((*path, name))}") from error
            key = successor.key()
            if key not in seen:
                seen.add(key)
                assert len(seen) <= limit, "the scope is too large"
                stack.append((successor, (*path, name)))
    return len(seen)


def random_walks(
    make_model: Callable[[], SystemModel], walks: int, seed: int, max_steps: int = 80
) -> set[str]:
    """Random steps, for scopes that are too large to explore. Returns the kinds of steps taken."""
    random, kinds = Random(seed), set()
    for _ in range(walks):
        model, path = make_model(), []
        for _ in range(max_steps):
            names = list(model.steps())
            if not names:
                break
            path.append(random.choice(names))
            kinds.add(path[-1].split()[0])
            try:
                model.step(path[-1])
                model.check()
            except AssertionError as error:
                raise AssertionError(f"{error} after {' > '.join(path)}") from error
    return kinds


@pytest.mark.parametrize(
    ("crashes", "disconnects", "returning", "least_states"),
    [(1, 0, False, 1000), (2, 0, False, 3000), (0, 1, False, 1000), (0, 0, True, 5000)],
)
def test_no_order_of_steps_runs_a_claim_twice_or_answers_twice(
    crashes: int, disconnects: int, returning: bool, least_states: int
) -> None:
    assert explore(SystemModel(crashes, disconnects, returning)) > least_states


@pytest.mark.parametrize("seed", range(4))
def test_no_random_walk_with_more_faults_and_a_returning_viewer_does_either(seed: int) -> None:
    kinds = random_walks(lambda: SystemModel(3, 2, True, overlap=seed % 2 == 0), 1500, seed)
    assert {"crash", "kill", "disconnect", "persist", "send", "play", "reset", "deadline"} <= kinds


# each safeguard, when removed, lets an invariant fail


def lost_as_never_run(self: AttemptRegistry, connection_id: int) -> Any:
    requests, ends = remove_connection(self, connection_id)
    return requests, [(attempt, Execution.NEVER_RAN) for attempt, _ in ends]


def free_any_attempt(self: Ledger, token: Token, turn: int, attempts: int, wall_s: float) -> Any:
    record = self.lookup(token.key)
    return ClaimWrite(token.key, replace(record, standing=Standing.FREE), record) if record else None


def send_without_ledger(
    self: RequestState,
    connection_id: int,
    number: int,
    wait_for_ledger: bool,
    claim_turn: int,
    claim_attempts: int,
) -> bool:
    return start_attempt(self, connection_id, number, False, claim_turn, claim_attempts)


def ended_as_never_run(
    self: RequestState, connection_id: int, request_sent: bool, never_ran: bool
) -> NextStep:
    return on_attempt_ended(self, connection_id, request_sent, True)


def forget_attempts(
    self: RequestState,
    connection_id: int,
    number: int,
    wait_for_ledger: bool,
    claim_turn: int,
    claim_attempts: int,
) -> bool:
    self.attempts_made = 0
    return start_attempt(self, connection_id, number, wait_for_ledger, claim_turn, claim_attempts)


def never_may_have_run(self: RequestState) -> bool:
    return False


remove_connection, start_attempt, on_attempt_ended = (
    AttemptRegistry.remove_connection,
    RequestState.start_attempt,
    RequestState.on_attempt_ended,
)
FIRST_SENT = "connect 0, arrive 0, report 0, persist, order 0, order 0, send 0"
SECOND_SENT = "connect 1, arrive 1, report 1, persist, persist, persist, order 1, order 1, send 1"
FIRST_SENT_AGAIN = "connect 0, report 0, persist, persist, order 0, order 0, send 0"
FLAWS: dict[str, tuple[type, str, Any, str]] = {
    "attempts of a lost worker count as never run": (
        AttemptRegistry,
        "remove_connection",
        lost_as_never_run,
        f"{FIRST_SENT}, kill 0, {SECOND_SENT}",
    ),
    "a request is sent before its attempt is on disk": (
        RequestState,
        "start_attempt",
        send_without_ledger,
        f"connect 0, arrive 0, report 0, order 0, send 0, crash, {SECOND_SENT}",
    ),
    "a report about an earlier attempt frees a later one": (
        Ledger,
        "free_unsent",
        free_any_attempt,
        "connect 0, arrive 0, report 0, persist, order 0, crash, connect 0, report 0, persist, disconnect 0, "
        f"{SECOND_SENT}, {FIRST_SENT_AGAIN}",
    ),
    "an end that proves nothing counts as a proof": (
        RequestState,
        "on_attempt_ended",
        ended_as_never_run,
        f"{FIRST_SENT}, crash, reset 0, {FIRST_SENT_AGAIN}",
    ),
    "a viewer is told that nothing ran while its request is in progress": (
        RequestState,
        "may_have_run",
        never_may_have_run,
        f"{FIRST_SENT}, crash, deadline 0",
    ),
    "attempts are counted from 0 under each decider": (
        RequestState,
        "start_attempt",
        forget_attempts,
        f"{FIRST_SENT}, crash, full 0, {FIRST_SENT_AGAIN}, crash, full 0, {FIRST_SENT_AGAIN}",
    ),
}


def follow(path: str) -> None:
    """Takes the steps of `path` one after another; skips those that are not possible."""
    model = SystemModel(3, 2, True, overlap=True)
    for name in path.split(", "):
        if name in set(model.steps()):
            model.step(name)
            model.check()


@pytest.mark.parametrize("name", FLAWS)
def test_each_safeguard_is_necessary(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    kind, method, replacement, path = FLAWS[name]
    follow(path)
    monkeypatch.setattr(kind, method, replacement)
    with pytest.raises(AssertionError, match="(ran|sent) [23] times|told that nothing ran"):
        follow(path)
