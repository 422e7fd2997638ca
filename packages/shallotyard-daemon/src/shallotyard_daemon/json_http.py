"""Decoding of JSON responses."""

import orjson


def decode_json(transfer):
    """Return the JSON object of a response, or ``{}`` if there is none.

    :param transfer: the ended `Transfer`.
    """
    if transfer.status != 200:
        return {}
    try:
        value = orjson.loads(transfer.response_body)
    except orjson.JSONDecodeError:
        return {}
    return value if isinstance(value, dict) else {}
