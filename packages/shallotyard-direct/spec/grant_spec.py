"""Model checker for the grant protocol.

The model has one key, two upstreams, two granters and discrete time. A grant is
answered at once, or it stays unanswered and may be applied at any later time; its TTL
counts from its arrival in either case. An upstream may restart under its id: it then
holds nothing, has seen no fence, and accepts what granters that do not know of the
restart send to it. A call that has arrived ends with the incarnation.

A granter that has lost the lease may state to the next holder for how long the owner
may use grants at most. The statement may arrive at any later time.

The check visits every reachable state and looks for one in which both upstreams hold
the key. Each rule of the protocol can be disabled; the check must then find such a
state.
"""

from collections import deque
from dataclasses import dataclass
from dataclasses import replace

# Duration of a grant, and of a lease without renewal, in ticks. A grant must be able to
# outlast the lease under which it was given.
GRANT_TTL = 3
LEASE_DURATION = 1
# Bounds of the search: the highest fence, and the number of unanswered grants.
MAX_FENCE = 3
MAX_IN_TRANSIT = 2
GRANTERS = (0, 1)
UPSTREAMS = (0, 1)


@dataclass(frozen=True)
class Rules:
    """The enabled rules of the protocol.

    :param wait_for_lease: acquire the lease only after the old one has expired.
    :param act_in_lease: grant, release and move only while the own lease is valid.
    :param assume_grants: a new granter assumes that the owner has just got a grant.
    :param wait_for_expiry: without a release, move only after the grant has expired.
    :param count_unanswered: a release does not end a grant without a reply.
    :param raise_confirmed: only a confirmed higher fence ends older grants.
    :param refuse_lower: upstreams refuse grants with a fence below one they have seen.
    :param count_restarted: the end of an incarnation does not end the grants that may
        have reached the next one.
    :param state_after_lease: a granter states its bound only once another one has the
        lease.
    :param state_of_last_term: a granter accepts a statement only of the term before its
        own.
    :param count_own: a statement does not end grants of the granter that accepts it.
    """

    wait_for_lease: bool = True
    act_in_lease: bool = True
    assume_grants: bool = True
    wait_for_expiry: bool = True
    count_unanswered: bool = True
    raise_confirmed: bool = True
    refuse_lower: bool = True
    count_restarted: bool = True
    state_after_lease: bool = True
    state_of_last_term: bool = True
    count_own: bool = True


@dataclass(frozen=True)
class State:
    """State of the model. Times are remaining ticks; tuples are by granter or upstream.

    :param holder: granter named by the lease record in the store.
    :param record_age: ticks since the record was renewed, at most the lease duration
        plus one.
    :param valid: remaining time of the lease by the clock of each granter.
    :param owner: owner in the key table.
    :param fence: fence in the key table.
    :param held_ticks: time for which each upstream still holds the key.
    :param seen_fences: highest fence that each upstream has seen.
    :param in_transit: unanswered grants as (upstream, fence, remaining time).
    :param bounds: maximum time for which the owner may use grants, as known to each
        granter.
    :param unanswered: the same, only for grants without a reply.
    :param released: whether each granter has received the owner's release.
    :param unseen_restarts: by granter, whether the owner has restarted without its
        knowledge.
    :param own: maximum time for which the owner may use grants that the holder of the
        lease has given since it acquired it.
    :param statement: statement in transit as (granter that made it, time, number of
        changes of the lease until it can be accepted), None if there is none.
    """

    holder: int = 0
    record_age: int = 0
    valid: tuple = (LEASE_DURATION, 0)
    owner: int = 0
    fence: int = 1
    held_ticks: tuple = (0, 0)
    seen_fences: tuple = (0, 0)
    in_transit: frozenset = frozenset()
    bounds: tuple = (0, 0)
    unanswered: tuple = (0, 0)
    released: tuple = (False, False)
    unseen_restarts: tuple = (False, False)
    own: int = 0
    statement: tuple | None = None


def _replace_item(values, index, value):
    return (*values[:index], value, *values[index + 1 :])


def _decrement(values):
    return tuple(max(0, value - 1) for value in values)


def _advance_time(state):
    in_transit = frozenset(
        (u, f, left - 1) for u, f, left in state.in_transit if left > 1
    )
    return replace(
        state,
        record_age=min(LEASE_DURATION + 1, state.record_age + 1),
        valid=_decrement(state.valid),
        held_ticks=_decrement(state.held_ticks),
        in_transit=in_transit,
        bounds=_decrement(state.bounds),
        unanswered=_decrement(state.unanswered),
        own=max(0, state.own - 1),
    )


def _take_over(state, granter, rules):
    bound = GRANT_TTL if rules.assume_grants else 0
    return replace(
        state,
        holder=granter,
        record_age=0,
        valid=_replace_item(state.valid, granter, LEASE_DURATION),
        bounds=_replace_item(state.bounds, granter, bound),
        unanswered=_replace_item(state.unanswered, granter, bound),
        released=_replace_item(state.released, granter, False),
        own=0,
        statement=_age_statement(state.statement, rules),
    )


def _age_statement(statement, rules):
    """Return a statement after a change of the lease, None if it counts no more."""
    if statement is None or (rules.state_of_last_term and not statement[2]):
        return None
    return (*statement[:2], max(0, statement[2] - 1))


def _make_statement(state, granter):
    """Return the state after a granter has stated how long grants may be used."""
    left = max(state.bounds[granter], state.unanswered[granter])
    return replace(state, statement=(granter, left, int(state.holder == granter)))


def _accept_statement(state, granter, rules):
    """Return the state after a granter has accepted a statement of the other one."""
    _, left, _ = state.statement
    if rules.count_own:
        left = max(left, state.own)
    return replace(
        state,
        bounds=_replace_item(state.bounds, granter, min(left, state.bounds[granter])),
        unanswered=_replace_item(
            state.unanswered, granter, min(left, state.unanswered[granter])
        ),
        statement=None,
    )


def _apply_grant(state, upstream, fence, left, rules):
    """Return the state after an upstream has accepted a grant, None if it refuses."""
    if rules.refuse_lower and fence < state.seen_fences[upstream]:
        return None
    return replace(
        state,
        held_ticks=_replace_item(
            state.held_ticks, upstream, max(left, state.held_ticks[upstream])
        ),
        seen_fences=_replace_item(
            state.seen_fences, upstream, max(fence, state.seen_fences[upstream])
        ),
    )


def _next_grant_states(state, granter, rules):
    owner = state.owner
    if state.released[granter]:
        return
    bounds = _replace_item(state.bounds, granter, GRANT_TTL)
    if state.holder == granter:
        state = replace(state, own=GRANT_TTL)
    answered = _apply_grant(state, owner, state.fence, GRANT_TTL, rules)
    if answered is not None:
        yield replace(answered, bounds=bounds)
    if len(state.in_transit) < MAX_IN_TRANSIT:
        yield replace(
            state,
            in_transit=state.in_transit | {(owner, state.fence, GRANT_TTL)},
            bounds=bounds,
            unanswered=_replace_item(state.unanswered, granter, GRANT_TTL),
        )
    if state.fence < MAX_FENCE:
        # The higher fence is stored first, then granted.
        raised = replace(state, fence=state.fence + 1)
        if rules.raise_confirmed:
            raised = _apply_grant(raised, owner, raised.fence, GRANT_TTL, rules)
        yield replace(
            raised,
            bounds=bounds,
            unanswered=_replace_item(state.unanswered, granter, 0),
        )


def _next_move_states(state, granter, rules):
    owner = state.owner
    if not state.released[granter]:
        yield replace(
            state,
            held_ticks=_replace_item(state.held_ticks, owner, 0),
            released=_replace_item(state.released, granter, True),
        )
    ended = state.bounds[granter] == 0 or not rules.wait_for_expiry
    free = state.released[granter] and (
        state.unanswered[granter] == 0 or not rules.count_unanswered
    )
    if (ended or free) and state.fence < MAX_FENCE:
        yield replace(
            state,
            owner=1 - owner,
            fence=state.fence + 1,
            bounds=_replace_item(state.bounds, granter, 0),
            unanswered=_replace_item(state.unanswered, granter, 0),
            released=(False, False),
            unseen_restarts=(False, False),
            own=0,
        )


def _restart_upstream(state, upstream):
    """Return the state after an upstream has started again under its id."""
    is_owner = upstream == state.owner
    return replace(
        state,
        held_ticks=_replace_item(state.held_ticks, upstream, 0),
        seen_fences=_replace_item(state.seen_fences, upstream, 0),
        in_transit=frozenset(g for g in state.in_transit if g[0] != upstream),
        unseen_restarts=(True, True) if is_owner else state.unseen_restarts,
    )


def _learn_restart(state, granter, rules):
    """Return the state after a granter has learned that the owner has restarted."""
    bound = state.bounds[granter] if rules.count_restarted else 0
    return replace(
        state,
        bounds=_replace_item(state.bounds, granter, bound),
        unanswered=_replace_item(state.unanswered, granter, bound),
        released=_replace_item(state.released, granter, False),
        unseen_restarts=_replace_item(state.unseen_restarts, granter, False),
    )


def _next_statement_states(state, granter, rules):
    if state.holder != granter or not rules.state_after_lease:
        yield _make_statement(state, granter)
    if state.statement is None or state.holder != granter:
        return
    speaker, _, changes_left = state.statement
    if speaker != granter and not changes_left:
        yield _accept_statement(state, granter, rules)


def next_states(state, rules):
    """Yield every state that can follow a state."""
    yield _advance_time(state)
    for grant in state.in_transit:
        in_transit = state.in_transit - {grant}
        applied = _apply_grant(replace(state, in_transit=in_transit), *grant, rules)
        if applied is not None:
            yield applied
    for upstream in UPSTREAMS:
        yield _restart_upstream(state, upstream)
    for granter in GRANTERS:
        yield from _next_statement_states(state, granter, rules)
        if state.unseen_restarts[granter]:
            yield _learn_restart(state, granter, rules)
        if state.holder == granter:
            yield replace(
                state,
                record_age=0,
                valid=_replace_item(state.valid, granter, LEASE_DURATION),
            )
        elif state.record_age > LEASE_DURATION or not rules.wait_for_lease:
            yield _take_over(state, granter, rules)
        named = state.holder == granter or not rules.act_in_lease
        # A granter notices only by its own clock that it has lost the lease.
        if state.valid[granter] > 0 or (not rules.act_in_lease and named):
            yield from _next_grant_states(state, granter, rules)
            yield from _next_move_states(state, granter, rules)


def find_double_owner(rules):
    """Return a reachable state in which both upstreams hold the key.

    :param rules: the `Rules`.
    :return: (state or None, number of visited states).
    """
    start = State()
    visited = {start}
    queue = deque([start])
    while queue:
        state = queue.popleft()
        if all(state.held_ticks):
            return state, len(visited)
        for following in next_states(state, rules):
            if following not in visited:
                visited.add(following)
                queue.append(following)
    return None, len(visited)
