"""When the store is known to have been up.

A gateway whose calls fail can't tell whether the store is away or only its own
path to it is broken. Only in the first case can upstreams have been unable to
renew their registrations.
"""

import dataclasses

# Longer than the time between two proofs that reach a gateway as long as the
# store is up.
MIN_OUTAGE_MS = 1_800


@dataclasses.dataclass(frozen=True)
class Span:
    """A time in which the store was up.

    :param since_ms: its start
    :param until_ms: its end
    """

    since_ms: int
    until_ms: int


class StoreContact:
    """The last span in which the store was up without an outage.

    :param outage_ms: the shortest absence of the store in which the
        registration of a live upstream can expire
    """

    def __init__(self, outage_ms: int) -> None:
        self.outage_ms = max(MIN_OUTAGE_MS, outage_ms)
        # What this gateway tells its peers. Their word is not in it, so that
        # none goes round and looks newer each time.
        self.own: Span | None = None
        # The same with the word of peers.
        self.up: Span | None = None

    def record(self, at_ms: int) -> None:
        """Records that the store was up.

        :param at_ms: a time at or after which it answered
        """
        span = Span(at_ms, at_ms)
        self.own = join(self.own, span, self.outage_ms)
        self.up = join(self.up, span, self.outage_ms)

    def record_peer(self, span: Span) -> None:
        """Records when a peer knew the store to be up.

        :param span: the peer's own knowledge, on this gateway's clock
        """
        self.up = join(self.up, span, self.outage_ms)

    def was_up_since(self, at_ms: int) -> bool:
        """Returns whether there was no outage since a point in time.

        :param at_ms: a time at which the store was up
        :return: whether the last span covers it
        """
        return self.up is not None and self.up.since_ms <= at_ms


def join(known: Span | None, span: Span, outage_ms: int) -> Span:
    """Joins two spans unless an outage lies between them.

    :param known: the span known so far, None for none
    :param span: another one
    :param outage_ms: the shortest outage
    :return: both as one, or else the later one
    """
    if known is None or span.since_ms - known.until_ms >= outage_ms:
        return span
    if known.since_ms - span.until_ms >= outage_ms:
        return known
    return Span(
        min(known.since_ms, span.since_ms), max(known.until_ms, span.until_ms)
    )
