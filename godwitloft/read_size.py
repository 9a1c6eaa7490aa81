"""Decides how many bytes of a connection are read at once.

To parse many small parts, such as chunks of two bytes, takes far longer than
to read them. Connections take turns after each read, so that one which brings
small parts must be read in small pieces lest it delays all others.
"""

FIRST_BYTES = 4 * 1024
LEAST_BYTES = 512
MOST_PARTS = 64


def next_bytes(
    size_bytes: int, received_bytes: int, parts: int, most_bytes: int
) -> int:
    """Returns how many bytes to read at once from now on.

    :param size_bytes: how many were to be read so far
    :param received_bytes: how many were read last
    :param parts: number of parts of the protocol in them
    :param most_bytes: how many are read at once of a connection with large
        parts
    :return: fewer than so far if the last read had too many parts, otherwise
        more, within bounds
    """
    if parts > MOST_PARTS:
        return max(LEAST_BYTES, received_bytes * MOST_PARTS // parts)
    return min(most_bytes, 2 * size_bytes)
