"""Bounds what is held of answers for callers that read slowly.

Designed for many callers that stop reading at the same moment: each answer may
wait in memory up to a size at which its upstream isn't held up, but all of
them together have to fit beside the bodies of requests.
"""

import typing

# A connection with less than this unsent is not slow.
SLOW_BYTES = 32 * 1024
# Each answer may have this much unsent, whatever the others hold.
LEAST_BYTES = 16 * 1024
# The rest is for parts that arrive before the next check.
SHARED_PART = 0.75


def most_unsent_bytes(
    free_bytes: int, unsent: typing.Collection[int], usual_bytes: int
) -> int:
    """Returns how much one answer may have unsent.

    Less is allowed only where the slow callers would otherwise hold more than
    is free. What one of them holds beyond it is not dropped.

    :param free_bytes: memory that all of them may use
    :param unsent: bytes unsent of each connection
    :param usual_bytes: how much one may have unsent at most
    :return: bytes
    """
    slow = sum(count >= SLOW_BYTES for count in unsent)
    shared_bytes = int(SHARED_PART * free_bytes)
    if slow * usual_bytes <= shared_bytes:
        return usual_bytes
    return max(LEAST_BYTES, min(usual_bytes, shared_bytes // slow))
