"""Positions of keys in the hash space, and their slices and regions.

A full position has 64 bits. Slices, regions and messages use its leading 16 bits.
"""

import xxhash

FULL_POSITION_BITS = 64
SHORT_POSITION_BITS = 16


def compute_key_position(service_id, client_id, key):
    """Return the 64-bit position of a key.

    :param service_id: service that owns the key.
    :param client_id: id of the client account; each account has its own key space.
    :param key: the key as sent by the caller.
    """
    return _hash_text(f"{service_id}\0{client_id}\0{key}")


def compute_slice_number(position, slices):
    """Return the number of the slice that contains a 16-bit position.

    :param position: 16-bit position.
    :param slices: number of slices of the service.
    :return: a number from 0 to ``slices`` - 1.
    """
    return (position * slices) >> SHORT_POSITION_BITS


def shorten_position(position):
    """Return the leading 16 bits of a 64-bit position.

    With more bits, a reader of the store could recognise individual keys.
    """
    return position >> (FULL_POSITION_BITS - SHORT_POSITION_BITS)


def choose_region(regions, position):
    """Return the region of a position by rendezvous hashing.

    :param regions: non-empty tuple of region ids.
    :param position: 16-bit position of the key.
    """
    if len(regions) == 1:
        return regions[0]
    return max(regions, key=lambda region: _hash_text(f"{region}\0{position}"))


def _hash_text(text):
    return xxhash.xxh3_64_intdigest(text.encode("utf-8", "surrogatepass"))
