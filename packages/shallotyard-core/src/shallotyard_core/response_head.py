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
# tokens, which cannot be passed on.
_FIELD_LINE = re.compile(
    rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[^\x00-\x08\x0a-\x1f\x7f]*\r?\n?"
)
MALFORMED_STATUS_LINE = "malformed status line"
MALFORMED_FIELD = "malformed header line"


class ResponseHead:
    """Head of a response, checked line by line, after those of interim responses.

    :ivar is_complete: whether the empty line after the latest head has arrived.
    :ivar count: number of heads that have begun, interim ones included.
    """

    __slots__ = ("count", "is_complete")

    def __init__(self):
        self.is_complete = False
        self.count = 0

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
        return "" if _FIELD_LINE.fullmatch(line) else MALFORMED_FIELD

    def _begin(self, line):
        self.is_complete = False
        self.count += 1
        return MALFORMED_STATUS_LINE if is_malformed_status_line(line) else ""


def is_status_line(line):
    """Return whether a line begins a head. No field name contains a slash."""
    return line[:5] == _STATUS_LINE_START


def is_malformed_status_line(line):
    """Return whether a line of a response begins like a status line and is none.

    :param line: line as bytes, with its end.
    """
    return is_status_line(line) and not _STATUS_LINE.fullmatch(line)
