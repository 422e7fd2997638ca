"""A backend closes the connection of a grant, carries it out late, and is emptied."""

import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import keyed  # noqa: E402

keyed.run(FOLDER, read_instead=None)
