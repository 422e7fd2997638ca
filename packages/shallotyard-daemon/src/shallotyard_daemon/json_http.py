"""Decoding of JSON responses from the platform."""

import orjson


def decode_json(response):
    """Return the JSON object of a response, or ``{}`` if there is none.

    :param response: a tornado ``HTTPResponse``.
    """
    if response.code != 200 or not response.body:
        return {}
    try:
        value = orjson.loads(response.body)
    except orjson.JSONDecodeError:
        return {}
    return value if isinstance(value, dict) else {}
