"""Tests of the quotas of client accounts, over many instances and under faults."""

from functools import partial

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from quota_simulation import QuotaSimulation

MAX_INSTANCES = 12
FAULT_KINDS = (
    "kill",
    "restart",
    "granter",
    "cut",
    "heal",
    "fewer",
    "raise",
    "idle",
    "surge",
    "move",
    "handover",
)


def inject(simulation, kind, numbers, now):
    """Inject a fault of a kind that concerns instances."""
    numbers = [n % simulation.instance_count for n in numbers]
    if kind == "kill":
        simulation.kill(now, numbers, restart_s=0.8)
    elif kind == "restart":
        simulation.kill(now, range(simulation.instance_count), restart_s=0.8)
    elif kind == "granter" and simulation.holder is not None:
        simulation.kill(now, [simulation.holder], restart_s=len(numbers) * 2.0)
    elif kind == "cut":
        simulation.set_cut(now, numbers)
    elif kind == "heal":
        simulation.set_cut(now, [])
    elif kind in ("idle", "surge", "move"):
        factor = 0.1 if kind == "idle" else 8.0
        for account_id in simulation.factors_by_account:
            simulation.factors_by_account[account_id] = factor
    elif kind == "handover":
        simulation.hand_over(now)
    elif kind == "move":
        simulation.focus = numbers[:2]
    elif kind == "fewer":
        simulation.change_quota(now, 0.7)
    elif kind == "raise" and not simulation.is_raised:
        simulation.is_raised = True
        simulation.change_quota(now, 1 / 0.7)


@settings(max_examples=25, deadline=None, derandomize=True)
@given(
    seed=st.integers(0, 1 << 30),
    is_strict=st.booleans(),
    instance_count=st.integers(1, MAX_INSTANCES),
    rates=st.lists(st.floats(0.5, 60), min_size=1, max_size=3),
    pressure=st.floats(0.5, 6),
    faults=st.lists(
        st.tuples(
            st.floats(2, 25),
            st.sampled_from(FAULT_KINDS),
            st.lists(st.integers(0, MAX_INSTANCES - 1), min_size=1, max_size=6),
        ),
        max_size=10,
    ),
)
def test_rule_holds_under_faults(
    seed, is_strict, instance_count, rates, pressure, faults
):
    """Cut instances, granters that followed each other, restarted processes or changed
    quotas let an account exceed in some window what the rule tolerates.
    """
    usual_rates = {f"account-{n}": rate for n, rate in enumerate(rates)}
    simulation = QuotaSimulation(seed, instance_count, usual_rates, is_strict=is_strict)
    simulation.is_raised = False
    simulation.factors_by_account = dict.fromkeys(usual_rates, pressure)
    quotas = [simulation.accounts]
    for at, kind, numbers in faults:
        simulation.schedule(at, partial(inject, simulation, kind, numbers))
        simulation.schedule(at, lambda now: quotas.append(simulation.accounts))
    simulation.run(28.0)
    largest = {i: max((q[i] for q in quotas), key=lambda a: a.rate) for i in quotas[0]}
    excess, _ = simulation.count_excess(largest)
    assert excess <= 0
    # Without tolerance, the shares alone must be within the quota at any moment.
    assert simulation.largest_excess <= 0
