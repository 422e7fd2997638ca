"""Helpers shared by several modules."""


def pick_least(items, cost_by_item):
    """Return the item with the lowest cost; ties are broken by the order of the items.

    :param items: iterable of comparable items, not empty.
    :param cost_by_item: mapping from item to a number; a missing item costs 0.
    """
    return min(items, key=lambda item: (cost_by_item.get(item, 0), item))


def format_etag(version):
    """Return the ETag header value of a store version."""
    return f'"{version}"'


def parse_etag(header):
    """Return the version in an ETag header value, ``""`` if the header is missing."""
    return header.strip().strip('"') if header else ""
