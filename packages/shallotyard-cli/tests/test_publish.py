"""Tests of ``shallotyard publish``."""

import concurrent.futures
import json

import pytest

from shallotyard_cli import validate
from shallotyard_core import manifest


def encode_manifest_file(path, writer):
    text, _ = validate.read_manifest_file(path).ok_value
    return manifest.encode_manifest(text, writer).encode()


def test_first_publication_creates_the_object(run, platform, manifest_file):
    """Guards against a refusal to publish while the store holds no manifest."""
    result = run("publish", manifest_file(3), f"--store={platform.url}")
    assert result.exit_code == 0, result.stderr
    stored = platform.read("manifest")
    assert stored["version"] == 3
    assert f"version 3 by writer {stored['writer']}" in result.stdout
    assert manifest.parse_manifest(json.dumps(stored)).is_ok()


def test_malformed_manifest_is_refused(run, platform, manifest_file):
    """Guards against publishing a manifest with faults, or reporting only the first."""
    run("publish", manifest_file(1), f"--store={platform.url}")
    before = dict(platform.objects_by_name)
    changes = (
        ('"store_region": "dalmacija"', '"store_region": "kvarner"'),
        ('"max_run_ms": 800', '"max_run_ms": 1000'),
        ('"prefix": "/tills/"', '"prefix": "/status/"'),
        ('"address": "127.0.1.11:9101"', '"address": "upstream-1:9101"'),
        ('"home_regions": ["slavonija"]', '"home_region": ["slavonija"]'),
    )

    def add_faults(text):
        for old, new in changes:
            assert text.count(old) == 1
            text = text.replace(old, new)
        return text

    path = manifest_file(2, change=add_faults)
    result = run("publish", path, f"--store={platform.url}")
    assert result.exit_code == 1
    assert len(result.stderr.splitlines()) == len(changes)
    for position in (
        "store_region",
        "services.bookbay.max_run_ms",
        "routes.2.prefix",
        "upstreams.statusdesk-01.address",
        "clients.osijek-hall.home_region",
    ):
        assert f"{path}: {position}: expected" in result.stderr
    assert platform.objects_by_name == before


def test_older_version_is_refused(run, platform, manifest_file):
    """Guards against replacing a manifest by an older or equal version."""
    run("publish", manifest_file(5), f"--store={platform.url}")
    result = run("publish", manifest_file(5), f"--store={platform.url}")
    assert result.exit_code == 1
    assert "expected a version above 5" in result.stderr
    assert platform.put_count == 1


def test_change_of_home_regions_is_refused(run, platform, manifest_file):
    """Guards against two owners of a key under two manifest versions."""
    run("publish", manifest_file(1), f"--store={platform.url}")
    path = manifest_file(
        2, change=lambda text: text.replace('["slavonija"]', '["istra"]')
    )
    result = run("publish", path, f"--store={platform.url}")
    assert result.exit_code == 1
    assert "clients.osijek-hall.home_regions" in result.stderr
    assert platform.read("manifest")["version"] == 1


def test_one_of_two_concurrent_publications_is_refused(run, platform, manifest_file):
    """Guards against a lost update when two operators read the same version."""
    run("publish", manifest_file(1), f"--store={platform.url}")
    platform.awaited_reader_count = 2
    paths = [manifest_file(2), manifest_file(3)]
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        results = list(
            pool.map(
                lambda path: run("publish", path, f"--store={platform.url}"), paths
            )
        )
    assert sorted(result.exit_code for result in results) == [0, 1]
    refused_result = next(result for result in results if result.exit_code == 1)
    stored = platform.read("manifest")
    assert "conflict" in refused_result.stderr
    assert (
        f"version {stored['version']} by writer {stored['writer']}"
        in refused_result.stderr
    )
    accepted_result = next(result for result in results if result.exit_code == 0)
    assert (
        f"version {stored['version']} by writer {stored['writer']}"
        in accepted_result.stdout
    )


def test_if_version_is_checked_before_the_write(run, platform, manifest_file):
    """Guards against overwriting a version that --if_version does not name."""
    run("publish", manifest_file(4), f"--store={platform.url}")
    path = manifest_file(5)
    result = run("publish", path, f"--store={platform.url}", "--if_version=3")
    assert result.exit_code == 1
    writer = platform.read("manifest")["writer"]
    assert (
        f"conflict: expected version 3, the store holds version 4 by writer {writer}"
        in result.stderr
    )
    assert platform.put_count == 1
    result = run("publish", path, f"--store={platform.url}", "--if_version=4")
    assert result.exit_code == 0


def test_if_version_0_means_absent(run, platform, manifest_file):
    """Guards against a first publication that replaces an existing manifest."""
    path = manifest_file(1)
    result = run("publish", path, f"--store={platform.url}", "--if_version=0")
    assert result.exit_code == 0
    result = run(
        "publish", manifest_file(2), f"--store={platform.url}", "--if_version=0"
    )
    assert result.exit_code == 1


@pytest.mark.parametrize("fault", ["lose", "silent"])
def test_lost_response_to_a_write_that_took_effect(
    run, platform, manifest_file, short_timeout, fault
):
    """Guards against an accepted manifest that is reported as refused."""
    platform.put_faults.append(fault)
    result = run("publish", manifest_file(1), f"--store={platform.url}")
    assert result.exit_code == 0, result.stderr
    assert platform.read("manifest")["writer"] in result.stdout


def test_connection_closed_before_the_write(run, platform, manifest_file):
    """Guards against a report of success for a write that had no effect."""
    platform.put_faults.append("drop")
    result = run("publish", manifest_file(1), f"--store={platform.url}")
    assert result.exit_code == 0
    assert platform.put_count == 2
    assert platform.objects_by_name["manifest"][0] == 1


def test_lost_response_and_failed_read_back(run, platform, manifest_file):
    """Guards against reporting success or refusal when the effect is not known."""
    platform.put_faults.extend(["lose", "drop", "drop"])
    platform.get_faults.extend(["", "down", "drop", "down"])
    result = run("publish", manifest_file(1), f"--store={platform.url}")
    assert result.exit_code == 1
    assert result.stderr == "unknown: read back failed, run status\n"


def test_repeated_write_that_took_effect_before(run, platform, manifest_file):
    """Guards against reporting the command's own write as a conflict.

    The first write takes effect, its response is lost and the read-back fails. The
    condition of the repeated write then fails.
    """
    platform.put_faults.append("lose")
    platform.get_faults.extend(["", "down"])
    result = run("publish", manifest_file(1), f"--store={platform.url}")
    assert result.exit_code == 0, result.stderr
    assert platform.objects_by_name["manifest"][0] == 1


def test_closed_connections_without_effect_stay_unknown(run, platform, manifest_file):
    """Guards against "not accepted" while the store may still apply the write."""
    platform.put_faults.extend(["drop"] * 3)
    result = run("publish", manifest_file(1), f"--store={platform.url}")
    assert result.exit_code == 1
    assert result.stderr == "unknown: the write may still take effect, run status\n"


def test_refusal_after_an_unclear_response_stays_unknown(run, platform, manifest_file):
    """Guards against "not accepted" when only a repeated write was refused.

    The first write may have taken effect, since its response was lost.
    """
    platform.put_faults.extend(["lose", "down", "down"])
    platform.get_faults.extend(["", "down", "down", "down"])
    result = run("publish", manifest_file(1), f"--store={platform.url}")
    assert result.exit_code == 1
    assert result.stderr.startswith("unknown: ")


def test_newer_version_of_another_writer_leaves_the_outcome_unknown(
    run, platform, manifest_file
):
    """Guards against "not accepted" for a version that took effect and was replaced."""
    run("publish", manifest_file(1), f"--store={platform.url}")
    newer = encode_manifest_file(manifest_file(9), "other")
    platform.put_faults.append("lose")
    platform.after_put = lambda: platform.write("manifest", newer)
    result = run("publish", manifest_file(2), f"--store={platform.url}")
    assert result.exit_code == 1
    assert result.stderr.startswith(
        "unknown: the store holds version 9 by writer other"
    )
    assert platform.read("manifest")["version"] == 9


def test_same_version_of_another_writer_is_a_conflict(run, platform, manifest_file):
    """Guards against "unknown" when the stored version shows that the write failed.

    The connection of the first attempt is closed. Before the second one, another
    writer stores the same version.
    """
    run("publish", manifest_file(1), f"--store={platform.url}")
    other = encode_manifest_file(manifest_file(2), "other")
    platform.before_put = lambda: platform.write("manifest", other)
    platform.put_faults.extend(["drop", ""])
    result = run("publish", manifest_file(2), f"--store={platform.url}")
    assert result.exit_code == 1
    assert result.stderr == (
        "conflict: version 2 not accepted, the store holds version 2 by writer other\n"
    )


def test_store_down(run, platform, manifest_file):
    """Guards against "unknown" when nothing can have been written."""
    platform.get_faults.append("down")
    result = run("publish", manifest_file(1), f"--store={platform.url}")
    assert (result.exit_code, result.stderr[:13]) == (1, "not accepted:")
    platform.put_faults.append("down")
    result = run("publish", manifest_file(1), f"--store={platform.url}")
    assert (result.exit_code, result.stderr[:13]) == (1, "not accepted:")
    assert platform.objects_by_name == {}


def test_store_not_listening(run, manifest_file):
    """Guards against a traceback when the connection to the store is refused."""
    result = run("publish", manifest_file(1), "--store=http://127.0.0.1:1")
    assert (result.exit_code, result.stderr[:13]) == (1, "not accepted:")


def test_stored_manifest_with_faults_is_not_replaced(run, platform, manifest_file):
    """Guards against replacing a manifest that cannot be parsed.

    Whether the change from it is allowed cannot be checked.
    """
    platform.write("manifest", b'{"version": 1, "writer": "other"}')
    result = run("publish", manifest_file(2), f"--store={platform.url}")
    assert result.exit_code == 1
    assert "refused: the change cannot be checked" in result.stderr
    assert platform.put_count == 0


def test_writer_in_the_file_is_replaced(run, platform, manifest_file):
    """Guards against a repeated writer nonce when a stored manifest is reused."""
    path = manifest_file(
        1,
        change=lambda text: text.replace('"version"', '"writer": "old", "version"', 1),
    )
    result = run("publish", path, f"--store={platform.url}")
    assert result.exit_code == 0, result.stderr
    assert platform.read("manifest")["writer"] != "old"


def test_wait_until_in_force(run, platform, manifest_file):
    """Guards against reporting success before every daemon reports the version."""
    platform.statuses_by_index = {
        0: [{"manifest_version": 1}, {}, {"manifest_version": 2}],
        1: [{"manifest_version": 3}],
    }
    addresses = f"{platform.daemon_address(0)},{platform.daemon_address(1)}"
    path = manifest_file(2)
    result = run("publish", path, f"--store={platform.url}", f"--daemons={addresses}")
    assert result.exit_code == 0, result.stderr
    assert "in force on 2 daemons" in result.stdout
    assert platform.statuses_by_index[0] == [{"manifest_version": 2}]


def test_wait_names_the_lagging_daemons(run, platform, manifest_file):
    """Guards against hiding which daemons lack the version after the wait.

    The manifest was accepted, so the report must not say "not accepted".
    """
    platform.statuses_by_index = {0: [{"manifest_version": 1}], 1: [{}], 2: ["no JSON"]}
    addresses = ",".join(platform.daemon_address(index) for index in range(3))
    result = run(
        "publish",
        manifest_file(2),
        f"--store={platform.url}",
        f"--daemons={addresses},127.0.0.1:1",
        "--wait_s=0.1",
    )
    assert result.exit_code == 1
    lines = result.stderr.splitlines()
    assert lines[0].startswith("accepted: version 2")
    assert "not in force everywhere" in lines[0]
    assert lines[1] == f"{platform.daemon_address(0)} reports manifest_version 1"
    assert lines[2] == f"{platform.daemon_address(1)} reports no manifest_version"
    assert lines[3].startswith(f"{platform.daemon_address(2)} did not answer: ")
    assert lines[4].startswith("127.0.0.1:1 did not answer: ")


def test_wait_of_0_polls_no_daemon(run, platform, manifest_file):
    """Guards against polling daemons although --wait_s=0 disables the wait."""
    result = run(
        "publish",
        manifest_file(2),
        f"--store={platform.url}",
        "--daemons=127.0.0.1:1",
        "--wait_s=0",
    )
    assert result.exit_code == 0
