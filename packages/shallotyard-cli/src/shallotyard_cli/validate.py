"""Checks a manifest file."""

from __future__ import annotations

import pathlib

import result

from shallotyard_cli.report import EXIT_REFUSED
from shallotyard_cli.report import EXIT_SUCCESS
from shallotyard_cli.report import build_report
from shallotyard_core import manifest


def read_manifest_file(path):
    """Read and check a manifest file.

    :param path: path of the file.
    :return: ``Ok`` with the text and the deployment that it describes, or ``Err`` with
        the report of the refusal.
    """
    try:
        content = pathlib.Path(path).read_bytes()
    except OSError as error:
        line = f"refused: cannot read {path}: {error.strerror}"
        return result.Err(build_report(EXIT_REFUSED, "refused", line, faults=[]))
    parsed = manifest.parse_manifest(content)
    if parsed.is_err():
        return result.Err(build_fault_report(path, parsed.err_value))
    return result.Ok((content.decode("utf-8"), parsed.ok_value))


def build_fault_report(path, faults):
    """Build the report of a refused manifest, with one line for each fault.

    :param path: path of the manifest file.
    :param faults: list of :class:`shallotyard_core.manifest_faults.ManifestFault`.
    :return: the report.
    """
    return build_report(
        EXIT_REFUSED,
        "refused",
        *(f"{path}: {fault}" for fault in faults),
        faults=[
            {"path": fault.path, "expected": fault.expected, "found": fault.found}
            for fault in faults
        ],
    )


def validate(path):
    """Check a manifest file without reading the store.

    :param path: path of the file.
    :return: the report.
    """
    check_result = read_manifest_file(path)
    if check_result.is_err():
        return check_result.err_value
    _, deployment = check_result.ok_value
    return build_report(
        EXIT_SUCCESS,
        "valid",
        f"valid: {path}: version {deployment.version},"
        f" {len(deployment.services_by_id)} services,"
        f" {len(deployment.upstreams_by_id)} upstreams,"
        f" {len(deployment.clients_by_id)} clients",
        version=deployment.version,
    )
