"""Shows the state of a deployment on one screen."""

from __future__ import annotations

from shallotyard_cli import daemons
from shallotyard_cli import publish
from shallotyard_cli import service
from shallotyard_cli import store
from shallotyard_cli.report import EXIT_REFUSED
from shallotyard_cli.report import EXIT_SUCCESS
from shallotyard_cli.report import build_report
from shallotyard_core import service_state
from shallotyard_core import summary


async def show_status(client, settings):
    """Read the status of every daemon, and the store if its URL is given.

    :param client: HTTP client.
    :param settings: the command's settings.
    :return: the report; its exit code is 1 only if no daemon returned a status.
    """
    replies = await daemons.read_statuses(client, settings.daemons)
    stored = (
        await _read_stored_versions(client, settings.store) if settings.store else None
    )
    summary_data = summary.summarise(replies, stored)
    has_status = any(reply.status is not None for reply in replies)
    return build_report(
        EXIT_SUCCESS if has_status else EXIT_REFUSED,
        "well" if not summary_data["attention"] else "attention",
        *summary.format_summary(summary_data),
        **summary_data,
    )


async def _read_stored_versions(client, store_url):
    manifest_read = await store.read_object(client, store_url, publish.OBJECT_NAME)
    state_read = await store.read_object(client, store_url, service.OBJECT_NAME)
    if manifest_read.is_err() or state_read.is_err():
        reads = (manifest_read, state_read)
        return {"unreadable": next(r.err_value for r in reads if r.is_err())}
    version, writer, _ = publish.describe_stored_manifest(manifest_read.ok_value.body)
    revision = 0
    if state_read.ok_value.body is not None:
        parsed = service_state.parse_service_state(state_read.ok_value.body)
        revision = parsed.ok_value.revision if parsed.is_ok() else None
    return {
        "manifest_version": version,
        "writer": writer,
        "service_state_revision": revision,
    }
