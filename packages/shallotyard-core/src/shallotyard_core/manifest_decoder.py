"""Decoder of JSON with comments that reports the positions of errors."""

import collections
import re

import jsonc
import result

from shallotyard_core.manifest_faults import ManifestFault

_STRING = r'"(?:\\.|[^"\\\n])*"'
_COMMENT_OR_STRING = re.compile(rf"{_STRING}|//[^\n]*|/\*[\s\S]*?\*/")
_TRAILING_COMMA_OR_STRING = re.compile(rf"{_STRING}|,(?=\s*[\]}}])")


def decode_jsonc(text):
    """Decode JSON with comments.

    :param text: ``str``, or ``bytes`` in UTF-8.
    :return: ``Ok`` with the decoded value and a list with a :class:`ManifestFault` for
        each duplicate field, or ``Err`` with a list of the one syntax error.
    """
    duplicate_keys = []

    def build_object(pairs):
        counts = collections.Counter(key for key, _ in pairs)
        duplicate_keys.extend(key for key, count in counts.items() if count > 1)
        return dict(pairs)

    try:
        if isinstance(text, bytes):
            text = text.decode("utf-8")
        decoded = jsonc.loads(_blank_comments(text), object_pairs_hook=build_object)
    except jsonc.JSONDecodeError as error:
        fault = ManifestFault(
            f"line {error.lineno} column {error.colno}",
            "JSON with comments",
            error.msg,
        )
        return result.Err([fault])
    except (ValueError, RecursionError) as error:
        return result.Err([ManifestFault("manifest", "JSON in UTF-8", str(error))])
    faults = [
        ManifestFault(key, "each field once in its object", f"{key!r} more than once")
        for key in duplicate_keys
    ]
    return result.Ok((decoded, faults))


def _blank_comments(text):
    # jsonc removes comments and trailing commas before it decodes, which shifts the
    # positions in its error messages. Replacing them by as many blanks avoids that.
    def replace_with_blanks(match):
        token = match.group()
        return token if token[0] == '"' else re.sub(r"[^\n]", " ", token)

    return _TRAILING_COMMA_OR_STRING.sub(
        replace_with_blanks, _COMMENT_OR_STRING.sub(replace_with_blanks, text)
    )
