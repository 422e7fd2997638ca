"""Tests of the check for binary files."""

from pathlib import PurePath

from shallotyard_testing.binary_files import find_binary_files


def test_binary_file_stays_unnoticed(tmp_path):
    """Guards against downloads, such as a wheel, that are committed by mistake."""
    (tmp_path / "tool.whl").write_bytes(b"PK\3\4\0\0")
    (tmp_path / "page.md").write_bytes("žarulja\n".encode())
    paths = [PurePath("tool.whl"), PurePath("page.md"), PurePath("deleted.py")]
    assert find_binary_files(tmp_path, paths) == [PurePath("tool.whl")]
