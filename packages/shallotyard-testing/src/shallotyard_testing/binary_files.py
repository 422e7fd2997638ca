"""Refuses binary files in the repository, which are downloads or build results."""

import pathlib
import subprocess
import sys

# Binary files start with a byte of this value mostly within this many bytes.
NUL = b"\0"
CHECKED_BYTES = 8192
# Folders below the root whose tests or pages need binary files.
ALLOWED_FOLDERS = frozenset()


def list_tracked_files(root):
    """Return the paths that git tracks below a folder, relative to it.

    :raises OSError: if there is no git.
    :raises subprocess.CalledProcessError: if the folder is no checkout.
    """
    command = ["git", "ls-files", "-z"]
    result = subprocess.run(command, cwd=root, capture_output=True, check=True)
    return [pathlib.PurePath(name) for name in result.stdout.decode().split("\0")[:-1]]


def find_binary_files(root, paths):
    """Return the paths of binary files outside `ALLOWED_FOLDERS`.

    :param root: folder of the repository.
    :param paths: paths relative to it.
    """
    return [
        path
        for path in paths
        if path.parts[0] not in ALLOWED_FOLDERS and _is_binary(root / path)
    ]


def _is_binary(path):
    if not path.is_file():
        # Deleted and not committed yet, or a link to a folder.
        return False
    with path.open("rb") as file:
        return NUL in file.read(CHECKED_BYTES)


def run(root):
    """Print the binary files of a checkout.

    :return: exit status: 1 if there are any.
    """
    try:
        paths = list_tracked_files(root)
    except (OSError, subprocess.CalledProcessError):
        print("binary files: not checked, as this is no git checkout")
        return 0
    found = find_binary_files(root, paths)
    for path in found:
        print(f"{path}: binary file; remove it, or build it where it is needed")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(run(pathlib.Path.cwd()))
