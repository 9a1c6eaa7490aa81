"""Decides when a gateway announces its use of allowances to its peers."""

ANNOUNCE_INTERVAL_MS = 250
# Above this number, gateways announce less often, as the number of datagrams
# grows with the square of the number of gateways.
GATEWAYS_AT_FULL_RATE = 16
MAX_ANNOUNCE_INTERVAL_MS = 600
# Early announcements are sent before the regular time when a gateway uses more
# than it reserved or learns of a new gateway. They are limited to a burst of
# this many, refilled by one after each interval.
MAX_EARLY_ANNOUNCEMENTS = 4
EARLY_ANNOUNCE_INTERVAL_MS = 50


def interval_ms(gateways: int) -> int:
    """Returns the time between regular announcements.

    :param gateways: number of gateways
    """
    scaled_ms = ANNOUNCE_INTERVAL_MS * gateways // GATEWAYS_AT_FULL_RATE
    return min(MAX_ANNOUNCE_INTERVAL_MS, max(ANNOUNCE_INTERVAL_MS, scaled_ms))


class EarlyAnnouncements:
    """Limits how often announcements are sent before the regular time."""

    def __init__(self) -> None:
        # When a full burst is available again.
        self.until_ms = 0

    def may_send(self, now_ms: int) -> bool:
        """Returns whether one may be sent.

        :param now_ms: the current time
        :return: whether the burst isn't used up
        """
        most_ms = (MAX_EARLY_ANNOUNCEMENTS - 1) * EARLY_ANNOUNCE_INTERVAL_MS
        return self.until_ms - now_ms <= most_ms

    def record_sent(self, now_ms: int) -> None:
        """Counts one that is sent.

        :param now_ms: the current time
        """
        begin_ms = max(now_ms, self.until_ms)
        self.until_ms = begin_ms + EARLY_ANNOUNCE_INTERVAL_MS
