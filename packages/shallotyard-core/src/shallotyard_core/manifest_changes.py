"""Checks of a manifest against the one that it replaces."""

from shallotyard_core.manifest_faults import ManifestFault


def check_change(old_deployment, new_deployment):
    """Return the changes that must not be published.

    Instances apply a new manifest at different times, up to some seconds apart. A
    change that maps a key to another slice or region, or moves an upstream to another
    region, would give it two owners during that time.

    :param old_deployment: deployment of the stored manifest.
    :param new_deployment: deployment of the manifest to publish.
    :return: a list of :class:`ManifestFault`, empty if the change is allowed.
    """
    faults = []
    if new_deployment.version <= old_deployment.version:
        faults.append(
            ManifestFault(
                "version",
                f"a version above {old_deployment.version}",
                str(new_deployment.version),
            )
        )
    for client_id, old_entry, new_entry in _pair_common_entries(
        old_deployment.clients_by_id, new_deployment.clients_by_id
    ):
        faults += _check_unchanged_set(
            f"clients.{client_id}.home_regions",
            old_entry.home_regions,
            new_entry.home_regions,
        )
    for service_id, old_entry, new_entry in _pair_common_entries(
        old_deployment.services_by_id, new_deployment.services_by_id
    ):
        faults += _check_service_change(f"services.{service_id}", old_entry, new_entry)
    for upstream_id, old_entry, new_entry in _pair_common_entries(
        old_deployment.upstreams_by_id, new_deployment.upstreams_by_id
    ):
        faults += _check_upstream_change(
            f"upstreams.{upstream_id}", old_entry, new_entry
        )
    return faults


def _pair_common_entries(old_by_id, new_by_id):
    """Return id, old entry and new entry for each id that both mappings contain."""
    return [
        (entry_id, old_entry, new_by_id[entry_id])
        for entry_id, old_entry in old_by_id.items()
        if entry_id in new_by_id
    ]


def _check_service_change(path, old_service, new_service):
    return [
        *_check_unchanged(f"{path}.keyed", old_service.keyed, new_service.keyed),
        # Unkeyed services use slices for requests with an Idempotency-Key.
        *_check_unchanged_set(
            f"{path}.regions", old_service.regions, new_service.regions
        ),
        *_check_unchanged(f"{path}.slices", old_service.slices, new_service.slices),
    ]


def _check_unchanged_set(path, old_value, new_value):
    return _check_unchanged(path, sorted(set(old_value)), sorted(set(new_value)))


def _check_unchanged(path, old_value, new_value):
    if old_value == new_value:
        return []
    return [ManifestFault(path, f"{old_value} as published", str(new_value))]


def _check_upstream_change(path, old_upstream, new_upstream):
    if old_upstream.region == new_upstream.region:
        return []
    return [
        ManifestFault(
            f"{path}.domain",
            f"a failure domain of region {old_upstream.region!r} as published",
            f"{new_upstream.domain!r} of region {new_upstream.region!r}",
        )
    ]
