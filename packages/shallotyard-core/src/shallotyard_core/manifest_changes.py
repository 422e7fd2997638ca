"""Which manifest may be published after another."""

from shallotyard_core.manifest_faults import ManifestFault


def check_change(old, new):
    """Return what forbids publishing one deployment after another.

    Two manifest versions can be in force at once for some seconds, so a change
    that gives a key or an upstream another place would give it two owners.

    :param old: deployment of the stored manifest.
    :param new: deployment of the manifest to publish.
    :return: a list of :class:`ManifestFault`, empty if the change is allowed.
    """
    faults = []
    if new.version <= old.version:
        faults.append(
            ManifestFault("version", f"a version above {old.version}", str(new.version))
        )
    for client_id, before, after in _common(old.clients_by_id, new.clients_by_id):
        faults += _check_unchanged_set(
            f"clients.{client_id}.home_regions", before.home_regions, after.home_regions
        )
    for service_id, before, after in _common(old.services_by_id, new.services_by_id):
        faults += _check_service_change(f"services.{service_id}", before, after)
    for upstream_id, before, after in _common(old.upstreams_by_id, new.upstreams_by_id):
        faults += _check_upstream_change(f"upstreams.{upstream_id}", before, after)
    return faults


def _common(before_by_id, after_by_id):
    return [
        (entry_id, before, after_by_id[entry_id])
        for entry_id, before in before_by_id.items()
        if entry_id in after_by_id
    ]


def _check_service_change(path, before, after):
    return [
        *_check_unchanged(f"{path}.keyed", before.keyed, after.keyed),
        # Unkeyed services have slices too, for requests with an Idempotency-Key.
        *_check_unchanged_set(f"{path}.regions", before.regions, after.regions),
        *_check_unchanged(f"{path}.slices", before.slices, after.slices),
    ]


def _check_unchanged_set(path, before, after):
    return _check_unchanged(path, sorted(set(before)), sorted(set(after)))


def _check_unchanged(path, before, after):
    if before == after:
        return []
    return [ManifestFault(path, f"{before} as published", str(after))]


def _check_upstream_change(path, before, after):
    if before.region == after.region:
        return []
    return [
        ManifestFault(
            f"{path}.domain",
            f"a failure domain of region {before.region!r} as published",
            f"{after.domain!r} of region {after.region!r}",
        )
    ]
