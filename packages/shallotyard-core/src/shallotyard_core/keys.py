"""Positions of keys in the hash space, and what follows from a position."""

import xxhash

POSITION_BITS = 64
HOT_BITS = 16


def key_position(service_id, client_id, key):
    """Return the 64-bit position of a key.

    :param service_id: service that owns the key.
    :param client_id: client account; each account has its own key space.
    :param key: the key as sent by the caller.
    """
    return _hash_text(f"{service_id}\0{client_id}\0{key}")


def slice_number(position, slices):
    """Return the slice that contains a 16-bit position, from 0 to ``slices`` - 1."""
    return (position * slices) >> HOT_BITS


def hot_position(position):
    """Return the leading 16 bits of a position.

    More bits would let a reader of the store recognise single keys.
    """
    return position >> (POSITION_BITS - HOT_BITS)


def choose_region(regions, position):
    """Return the region of a position by rendezvous hashing.

    :param regions: non-empty tuple of region ids.
    :param position: 64-bit position of the key.
    """
    if len(regions) == 1:
        return regions[0]
    return max(regions, key=lambda region: _hash_text(f"{region}\0{position}"))


def _hash_text(text):
    return xxhash.xxh3_64_intdigest(text.encode("utf-8", "surrogatepass"))
