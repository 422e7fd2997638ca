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
    check_result = validate.read_manifest_file(path)
    if check_result.is_err():
        return check_result.err_value
    text, deployment = check_result.ok_value
    writer = secrets.token_hex(16)
    body = manifest.encode_manifest(text, writer)
    if len(body.encode()) > store.MAX_OBJECT_BYTES:
        return build_report(
            EXIT_REFUSED,
            "refused",
            f"refused: the manifest has {len(body.encode())} bytes as JSON, the store"
            f" accepts {store.MAX_OBJECT_BYTES}",
        )
    read_result = await store.read_object(client, settings.store, OBJECT_NAME)
    if read_result.is_err():
        return _build_not_accepted_report(read_result.err_value)
    stored = read_result.ok_value
    check_result = _check_against_stored(settings, path, stored, deployment)
    if check_result.is_err():
        return check_result.err_value
    write_result = await store.write_object(
        client,
        settings.store,
        OBJECT_NAME,
        body,
        stored.etag,
        lambda content: manifest.read_writer_nonce(content) == writer,
    )
    if write_result.outcome is not store.WriteOutcome.ACCEPTED:
        return _build_failure_report(write_result, deployment.version)
    return await _wait_and_report(client, settings, deployment.version, writer)


def describe_stored_manifest(body):
    """Describe a manifest that the store holds.

    :param body: content of the store object, or ``None`` if it is absent.
    :return: tuple of the version (0 if the object is absent, ``None`` if the content
        has faults), the writer or ``None``, and a description of both.
    """
    if body is None:
        return 0, None, "no manifest"
    writer = manifest.read_writer_nonce(body)
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
    stored_line = f"refused: the store holds {description}"
    return result.Err(
        build_report(
            EXIT_REFUSED,
            "refused",
            *refusal.lines,
            stored_line,
            faults=refusal.data["faults"],
            current_version=version,
            current_writer=writer,
        )
    )


def _build_not_accepted_report(reason):
    return build_report(EXIT_REFUSED, "not accepted", f"not accepted: {reason}")


def _build_failure_report(write_result, version):
    if write_result.outcome is store.WriteOutcome.NOT_ACCEPTED:
        return _build_not_accepted_report(write_result.reason)
    if write_result.outcome is store.WriteOutcome.UNKNOWN:
        return build_report(
            EXIT_REFUSED, "unknown", f"unknown: {write_result.reason}, run status"
        )
    if write_result.current is None:
        return build_report(
            EXIT_REFUSED,
            "conflict",
            "conflict: another manifest was published, its version could not be read",
        )
    current_version, writer, description = describe_stored_manifest(
        write_result.current.body
    )
    data = {"current_version": current_version, "current_writer": writer}
    # Versions only increase. If the response to the write was lost and the stored
    # version is newer, it may have replaced this one. If the stored version is not
    # newer, this one was never stored.
    if write_result.may_have_written and (
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
    wait_result = await daemons.wait_until_in_force(
        client, settings.daemons, "manifest_version", version, settings.wait_s
    )
    if wait_result.is_err():
        return build_report(
            EXIT_REFUSED,
            "accepted, not in force everywhere",
            f"{line}, not in force everywhere after {settings.wait_s:g} s",
            *wait_result.err_value,
            **data,
        )
    if wait_result.ok_value:
        line += f", in force on {wait_result.ok_value} daemons"
    return build_report(EXIT_SUCCESS, "accepted", line, **data)
