"""Publishes a manifest by a conditional write to the store."""

from __future__ import annotations

import secrets

import result

from shallotyard_cli import daemons
from shallotyard_cli import store
from shallotyard_cli import validate
from shallotyard_cli.report import EXIT_REFUSED
from shallotyard_cli.report import EXIT_SUCCESS
from shallotyard_cli.report import build_report
from shallotyard_core import manifest
from shallotyard_core import manifest_changes

OBJECT_NAME = "manifest"


async def publish(client, settings, path):
    """Check a manifest file and publish it.

    :param client: HTTP client.
    :param settings: the command's settings.
    :param path: path of the file.
    :return: the report.
    """
    checked = validate.read_manifest_file(path)
    if checked.is_err():
        return checked.err_value
    text, deployment = checked.ok_value
    writer = secrets.token_hex(16)
    body = manifest.encode_manifest(text, writer)
    if len(body.encode()) > store.MAX_OBJECT_BYTES:
        return build_report(
            EXIT_REFUSED,
            "refused",
            f"refused: the manifest has {len(body.encode())} bytes as JSON, the store"
            f" accepts {store.MAX_OBJECT_BYTES}",
        )
    read = await store.read_object(client, settings.store, OBJECT_NAME)
    if read.is_err():
        return _build_not_accepted_report(read.err_value)
    stored = read.ok_value
    checked = _check_against_stored(settings, path, stored, deployment)
    if checked.is_err():
        return checked.err_value
    written = await store.write_object(
        client,
        settings.store,
        OBJECT_NAME,
        body,
        stored.etag,
        lambda content: manifest.read_writer(content) == writer,
    )
    if written.outcome is not store.WriteOutcome.ACCEPTED:
        return _build_failure_report(written, deployment.version)
    return await _wait_and_report(client, settings, deployment.version, writer)


def describe_stored_manifest(body):
    """Describe a manifest that the store holds.

    :param body: content of the store object, or ``None`` if it is absent.
    :return: tuple of the version (0 if the object is absent, ``None`` if the content
        has faults), the writer or ``None``, and a description of both.
    """
    if body is None:
        return 0, None, "no manifest"
    writer = manifest.read_writer(body)
    parsed = manifest.parse_manifest(body)
    if parsed.is_err():
        return None, writer, f"a manifest with faults by writer {writer}"
    version = parsed.ok_value.version
    return version, writer, f"version {version} by writer {writer}"


def _check_against_stored(settings, path, stored, deployment):
    version, writer, description = describe_stored_manifest(stored.body)
    if settings.if_version is not None and settings.if_version != version:
        return result.Err(
            build_report(
                EXIT_REFUSED,
                "conflict",
                f"conflict: expected version {settings.if_version}, the store holds"
                f" {description}",
                current_version=version,
                current_writer=writer,
            )
        )
    if stored.body is None:
        return result.Ok(None)
    parsed = manifest.parse_manifest(stored.body)
    if parsed.is_err():
        return result.Err(
            build_report(
                EXIT_REFUSED,
                "refused",
                f"refused: the change cannot be checked, the store holds {description}",
                *(f"stored manifest: {fault}" for fault in parsed.err_value),
            )
        )
    faults = manifest_changes.check_change(parsed.ok_value, deployment)
    if not faults:
        return result.Ok(None)
    refusal = validate.build_fault_report(path, faults)
    context = f"refused: the store holds {description}"
    return result.Err(
        build_report(
            EXIT_REFUSED,
            "refused",
            *refusal.lines,
            context,
            faults=refusal.data["faults"],
            current_version=version,
            current_writer=writer,
        )
    )


def _build_not_accepted_report(reason):
    return build_report(EXIT_REFUSED, "not accepted", f"not accepted: {reason}")


def _build_failure_report(written, version):
    if written.outcome is store.WriteOutcome.NOT_ACCEPTED:
        return _build_not_accepted_report(written.reason)
    if written.outcome is store.WriteOutcome.UNKNOWN:
        return build_report(
            EXIT_REFUSED, "unknown", f"unknown: {written.reason}, run status"
        )
    if written.current is None:
        return build_report(
            EXIT_REFUSED,
            "conflict",
            "conflict: another manifest was published, its version could not be read",
        )
    current_version, writer, description = describe_stored_manifest(
        written.current.body
    )
    data = {"current_version": current_version, "current_writer": writer}
    # Versions only increase. If the response to the write was lost, a newer stored
    # version may have replaced this one. If the stored version is not newer, this one
    # was never stored.
    if written.may_have_written and (
        current_version is None or current_version > version
    ):
        return build_report(
            EXIT_REFUSED,
            "unknown",
            f"unknown: the store holds {description}, version {version} may have been"
            " in force before it, run status",
            **data,
        )
    return build_report(
        EXIT_REFUSED,
        "conflict",
        f"conflict: version {version} not accepted, the store holds {description}",
        **data,
    )


async def _wait_and_report(client, settings, version, writer):
    line = f"accepted: version {version} by writer {writer}"
    data = {"version": version, "writer": writer}
    waited = await daemons.wait_until_in_force(
        client, settings.daemons, "manifest_version", version, settings.wait_s
    )
    if waited.is_err():
        return build_report(
            EXIT_REFUSED,
            "accepted, not in force everywhere",
            f"{line}, not in force everywhere after {settings.wait_s:g} s",
            *waited.err_value,
            **data,
        )
    if waited.ok_value:
        line += f", in force on {waited.ok_value} daemons"
    return build_report(EXIT_SUCCESS, "accepted", line, **data)
