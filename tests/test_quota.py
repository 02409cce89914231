"""Method II compared with the equations of the paper, written out term by term, and its limit cases."""

from math import factorial

import pytest

from lemonhall.decide import ALPHA, best_reserves, erlang_blocking


def state(load: float, held: int, slots: int) -> float:
    return (load**held / factorial(held)) / sum(load**j / factorial(j) for j in range(slots + 1))


def pay_off(n_h: int, n_l: int, slots: int, lam_h: float, lam_l: float, v_h: float, v_l: float) -> float:
    """(2) + (3) + (7) + (11) - (9) with mu = 1 and penalties equal to the worths."""
    n_m = slots - n_h - n_l
    eq2 = sum(k * v_h * state(lam_h, k, n_h) for k in range(1, n_h + 1))
    eq3 = sum(k * v_l * state(lam_l, k, n_l) for k in range(1, n_l + 1))
    phi_h = lam_h * state(lam_h, n_h, n_h)
    phi_l = lam_l * state(lam_l, n_l, n_l)

    def both(high: int, low: int) -> float:
        return state(phi_h, high, n_m) * state(phi_l, low, n_m - high)

    eq7 = sum(both(k, j) * (k * v_h + j * v_l) for k in range(n_m + 1) for j in range(n_m - k + 1))
    eq9 = sum(both(k, n_m - k) * phi_l * v_l for k in range(n_m + 1))
    eq11 = 0.0
    for k in range(n_m + 1):
        omega = (n_m - k) // ALPHA
        gain = sum(m * (v_h - v_l) * state(phi_h, m, omega) for m in range(omega + 1))
        eq11 += both(k, n_m - k) * (gain - phi_h * v_h * state(phi_h, omega, omega))
    return eq2 + eq3 + eq7 + eq11 - eq9


@pytest.mark.parametrize(
    ("slots", "high", "low", "v_high"),
    [
        (1, 0.5, 0.5, 2.0),
        (6, 2.0, 5.0, 3.0),
        (9, 7.0, 2.0, 1.5),
        (12, 4.0, 10.0, 10.0),
        (12, 15.0, 10.0, 5.0),
    ],
)
def test_reserves_have_the_best_pay_off_of_all_by_the_equations(
    slots: int, high: float, low: float, v_high: float
) -> None:
    splits = [(h, n) for h in range(slots + 1) for n in range(slots + 1 - h)]
    best = max(pay_off(h, n, slots, high, low, v_high, 1.0) for h, n in splits)
    chosen = best_reserves(slots, high, low, v_high, 1.0)
    assert pay_off(*chosen, slots, high, low, v_high, 1.0) == pytest.approx(best, abs=1e-7)


def test_without_premium_traffic_nothing_is_reserved_for_it() -> None:
    assert best_reserves(10, 0.0, 0.0, 3.0, 1.0) == (0, 0)
    assert best_reserves(10, 0.0, 8.0, 3.0, 1.0)[0] == 0


def test_under_a_surge_of_premium_traffic_all_slots_are_reserved_for_it() -> None:
    assert best_reserves(8, 60.0, 8.0, 10.0, 1.0)[0] == 8


def test_blocking_matches_the_closed_form() -> None:
    assert erlang_blocking(3.0, 5)[5] == pytest.approx(state(3.0, 5, 5))
    assert erlang_blocking(0.0, 3) == [1.0, 0.0, 0.0, 0.0]
