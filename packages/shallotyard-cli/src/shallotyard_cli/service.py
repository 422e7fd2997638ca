"""Takes failure domains and instances out of service and brings them back."""

from __future__ import annotations

import dataclasses

import result

from shallotyard_cli import daemons
from shallotyard_cli import publish
from shallotyard_cli import store
from shallotyard_cli.report import EXIT_REFUSED
from shallotyard_cli.report import EXIT_SUCCESS
from shallotyard_cli.report import build_report
from shallotyard_core import manifest
from shallotyard_core import service_state

OBJECT_NAME = "service-state"
_FIELD_BY_KIND = {"domain": "domains_out", "instance": "instances_out"}
_NAME_BY_KIND = {"domain": "failure domain", "instance": "instance"}


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceChange:
    """A change that takes one id out of service or brings it back.

    :param kind: ``domain`` or ``instance``.
    :param direction: ``out`` to take it out, ``in`` to bring it back.
    :param id: id of the failure domain, router instance or upstream.
    """

    kind: str
    direction: str
    id: str

    def __str__(self):
        service_status = "out of service" if self.direction == "out" else "in service"
        return f"{_NAME_BY_KIND[self.kind]} {self.id!r} {service_status}"


async def change_service_state(client, settings, change):
    """Write a change to the service state in the store.

    :param client: HTTP client.
    :param settings: the command's settings.
    :param change: the :class:`ServiceChange`.
    :return: the report.
    """
    read_result = await _read_state(client, settings)
    if read_result.is_err():
        return read_result.err_value
    etag, state_before = read_result.ok_value
    refusal = await _check_change(client, settings, change, state_before)
    if refusal is not None:
        return refusal
    state_after = apply_change(state_before, change)
    if state_after is state_before:
        return await _wait_and_report(
            client, settings, change, state_before.revision, "unchanged"
        )
    write_result = await store.write_object(
        client,
        settings.store,
        OBJECT_NAME,
        service_state.encode_service_state(state_after),
        etag,
        lambda content: (
            service_state.parse_service_state(content) == result.Ok(state_after)
        ),
    )
    if write_result.outcome is not store.WriteOutcome.ACCEPTED:
        revision = _find_superseding_revision(write_result, change)
        if revision is None:
            return _build_failure_report(write_result, change)
        return await _wait_and_report(client, settings, change, revision, "accepted")
    return await _wait_and_report(
        client, settings, change, state_after.revision, "accepted"
    )


def apply_change(state, change):
    """Apply a change to a service state.

    :param state: current :class:`service_state.ServiceState`.
    :param change: the :class:`ServiceChange`.
    :return: the new state, or ``state`` itself if it already has the change.
    """
    field = _FIELD_BY_KIND[change.kind]
    ids_before = getattr(state, field)
    ids_after = (
        ids_before | {change.id}
        if change.direction == "out"
        else ids_before - {change.id}
    )
    if ids_after == ids_before:
        return state
    return dataclasses.replace(state, revision=state.revision + 1, **{field: ids_after})


def check_domain(deployment, state, change, force):
    """Check whether a change of a failure domain is allowed.

    :param deployment: the published :class:`deployment.Deployment`.
    :param state: the current service state.
    :param change: the :class:`ServiceChange`.
    :param force: whether the last domain in service of a region may be taken out.
    :return: why the change is refused, or an empty string if it is allowed.
    """
    domain = deployment.domains_by_id.get(change.id)
    if domain is None:
        if change.direction == "in" and change.id in state.domains_out:
            return ""
        known_ids = ", ".join(sorted(deployment.domains_by_id))
        return (
            f"unknown failure domain {change.id!r}, version {deployment.version} has"
            f" {known_ids}"
        )
    if change.direction == "in" or force:
        return ""
    region = deployment.regions_by_id[domain.region]
    if set(region.domains) - state.domains_out <= {change.id}:
        return (
            f"{change.id!r} is the last failure domain in service of region"
            f" {region.id!r}, --force takes it out"
        )
    return ""


async def _read_state(client, settings):
    read_result = await store.read_object(client, settings.store, OBJECT_NAME)
    if read_result.is_err():
        return result.Err(_build_not_accepted_report(read_result.err_value))
    stored = read_result.ok_value
    state = service_state.ServiceState()
    if stored.body is not None:
        parsed = service_state.parse_service_state(stored.body)
        if parsed.is_err():
            return result.Err(
                build_report(
                    EXIT_REFUSED,
                    "refused",
                    "refused: the stored service state has faults",
                    *parsed.err_value,
                )
            )
        state = parsed.ok_value
    if settings.if_version is not None and settings.if_version != state.revision:
        return result.Err(
            build_report(
                EXIT_REFUSED,
                "conflict",
                f"conflict: expected revision {settings.if_version}, the store holds"
                f" revision {state.revision}",
                current_revision=state.revision,
            )
        )
    return result.Ok((stored.etag, state))


async def _check_change(client, settings, change, state):
    # The manifest does not list router instances, so an instance id cannot be refused
    # as unknown.
    if change.kind == "instance":
        return None
    read_result = await store.read_object(client, settings.store, publish.OBJECT_NAME)
    if read_result.is_err():
        return _build_not_accepted_report(read_result.err_value)
    if read_result.ok_value.body is None:
        reason = f"unknown failure domain {change.id!r}, no manifest is published"
        return build_report(EXIT_REFUSED, "refused", f"refused: {reason}")
    parsed = manifest.parse_manifest(read_result.ok_value.body)
    if parsed.is_err():
        return build_report(
            EXIT_REFUSED,
            "refused",
            "refused: the stored manifest has faults",
            *(str(fault) for fault in parsed.err_value),
        )
    reason = check_domain(parsed.ok_value, state, change, settings.force)
    if not reason:
        return None
    return build_report(EXIT_REFUSED, "refused", f"refused: {reason}")


def _build_not_accepted_report(reason):
    return build_report(EXIT_REFUSED, "not accepted", f"not accepted: {reason}")


def _find_superseding_revision(write_result, change):
    """Return the revision that replaced this write and has its change, or ``None``."""
    if not write_result.may_have_written or write_result.current is None:
        return None
    parsed = service_state.parse_service_state(write_result.current.body or "")
    if parsed.is_ok() and apply_change(parsed.ok_value, change) is parsed.ok_value:
        return parsed.ok_value.revision
    return None


def _build_failure_report(write_result, change):
    if write_result.outcome is store.WriteOutcome.NOT_ACCEPTED:
        return _build_not_accepted_report(write_result.reason)
    if write_result.outcome is store.WriteOutcome.UNKNOWN:
        return build_report(
            EXIT_REFUSED, "unknown", f"unknown: {write_result.reason}, run status"
        )
    body = None if write_result.current is None else write_result.current.body
    parsed = service_state.parse_service_state(body or "")
    if parsed.is_err():
        return build_report(
            EXIT_REFUSED,
            "conflict",
            f"conflict: {change}: another change was written, its revision could not"
            " be read",
        )
    current = parsed.ok_value
    has_change = apply_change(current, change) is current
    outcome = "unknown" if write_result.may_have_written else "conflict"
    return build_report(
        EXIT_REFUSED,
        outcome,
        f"{outcome}: another change was written, the store holds revision"
        f" {current.revision}, which {'has' if has_change else 'does not have'}"
        f" {change}",
        current_revision=current.revision,
        in_stored_revision=has_change,
    )


async def _wait_and_report(client, settings, change, revision, outcome):
    line = f"{outcome}: {change}, revision {revision}"
    wait_result = await daemons.wait_until_in_force(
        client, settings.daemons, "service_state_revision", revision, settings.wait_s
    )
    if wait_result.is_err():
        return build_report(
            EXIT_REFUSED,
            f"{outcome}, not in force everywhere",
            f"{line}, not in force everywhere after {settings.wait_s:g} s",
            *wait_result.err_value,
            revision=revision,
        )
    if wait_result.ok_value:
        line += f", in force on {wait_result.ok_value} daemons"
    return build_report(EXIT_SUCCESS, outcome, line, revision=revision)
