"""Checks the heads of HTTP/1 responses, for clients that leave the parsing to libcurl.

libcurl accepts heads that RFC 9112 does not allow. What it makes of them is not always
what the sender meant, and other clients read them in other ways.
"""

import re

# Status lines of RFC 9112 with a status of 100 to 599. libcurl reads three digits and
# takes what follows for the reason, so that 2000 passes for 200.
_STATUS_LINE = re.compile(
    rb"HTTP/1\.[01] [1-5][0-9]{2}(?: [^\x00-\x08\x0a-\x1f\x7f]*)?\r?\n?"
)
_STATUS_LINE_START = b"HTTP/"
# Field lines of RFC 9110. libcurl also takes control characters and names that are no
# tokens, which cannot be passed on. A group matches the name of a field that tells
# where the body ends.
_FIELD_LINE = re.compile(
    rb"(?:(content-length)|[!#$%&'*+\-.^_`|~0-9a-z]+):[^\x00-\x08\x0a-\x1f\x7f]*\r?\n?",
    re.IGNORECASE,
)
_LENGTH_GROUP = 1
# RFC 9110 allows lists of equal lengths. libcurl ignores a length of 2**63 or more and
# reads until the connection closes; 18 digits are always less.
_LENGTH = re.compile(rb"[ \t]*([0-9]{1,18})[ \t]*")
MALFORMED_STATUS_LINE = "malformed status line"
MALFORMED_FIELD = "malformed header line"
MALFORMED_LENGTH = "malformed length"


class ResponseHead:
    """Head of a response, checked line by line, after those of interim responses.

    :ivar is_complete: whether the empty line after the latest head has arrived.
    :ivar count: number of heads that have begun, interim ones included.
    :ivar length: length that the latest head states, in bytes, None without one.
    """

    __slots__ = ("count", "is_complete", "length")

    def __init__(self):
        self.is_complete = False
        self.count = 0
        self.length = None

    def add_line(self, line):
        """Check the next line.

        :param line: line as bytes, with its end.
        :return: why the response must not be used, ``""`` if nothing is wrong so far.
        """
        if is_status_line(line):
            return self._begin(line)
        if not line.strip(b"\r\n"):
            self.is_complete = True
            return ""
        match = _FIELD_LINE.fullmatch(line)
        if match is None:
            return MALFORMED_FIELD
        is_trailer = self.is_complete
        if match.lastindex == _LENGTH_GROUP and not is_trailer:
            return self._add_lengths(line)
        return ""

    def _begin(self, line):
        self.is_complete = False
        self.count += 1
        self.length = None
        return MALFORMED_STATUS_LINE if is_malformed_status_line(line) else ""

    def _add_lengths(self, line):
        value = line.partition(b":")[2].rstrip(b"\r\n")
        matches = [_LENGTH.fullmatch(element) for element in value.split(b",")]
        if not all(matches):
            return MALFORMED_LENGTH
        lengths = {int(match[1]) for match in matches}
        if self.length is not None:
            lengths.add(self.length)
        if len(lengths) > 1:
            return MALFORMED_LENGTH
        (self.length,) = lengths
        return ""


def is_status_line(line):
    """Return whether a line begins a head. No field name contains a slash."""
    return line[:5] == _STATUS_LINE_START


def is_malformed_status_line(line):
    """Return whether a line of a response begins like a status line and is none.

    :param line: line as bytes, with its end.
    """
    return is_status_line(line) and not _STATUS_LINE.fullmatch(line)
