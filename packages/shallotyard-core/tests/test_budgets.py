from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from shallotyard_core.budgets import RatioBudget


@settings(derandomize=True, max_examples=100)
@given(st.lists(st.booleans(), max_size=300))
def test_spending_stays_within_ratio(steps):
    """Guards against retries that multiply the load of failing upstreams."""
    budget = RatioBudget(0.1, 3)
    requests = spent = 0
    for is_request in steps:
        if is_request:
            budget.record_request()
            requests += 1
        else:
            spent += budget.try_spend()
        assert spent <= 3 + 0.1 * requests + 1e-6


def test_ten_requests_allow_one_extra_attempt():
    """Guards against a rounding error that withholds the token of ten requests."""
    budget = RatioBudget(0.1, 1)
    assert budget.try_spend()
    assert not budget.try_spend()
    for _ in range(10):
        budget.record_request()
    assert budget.try_spend()


def test_unused_tokens_are_bounded():
    """Guards against tokens that accumulate while idle and allow a burst of retries."""
    budget = RatioBudget(0.1, 3)
    for _ in range(1000):
        budget.record_request()
    assert sum(budget.try_spend() for _ in range(10)) == 3
