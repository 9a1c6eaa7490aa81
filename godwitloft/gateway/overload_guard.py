"""Decides which part of the new requests a saturated gateway refuses unread.

Designed for a processor or a link that callers fill for some seconds, at two
to four times what the gateway can do. The proof of the configuration, grants
and datagrams share the process and the link with callers' work; they fail once
the process answers late or bytes wait in it for seconds.

The part grows while there is pressure and shrinks when there is none, by an
amount that depends on the time passed, as a busy process looks rarely.
"""

import dataclasses

# A process whose timers are later than this has too much to do. One slow
# request or a collection of garbage takes less.
LATE_LIMIT_MS = 60.0
# Bytes that the system doesn't take, of all callers together: a fifth of a
# second of a link of 10 Mbit/s. Slow readers leave as much, so that it counts
# only with a proof that grows old.
UNSENT_LIMIT_BYTES = 256 * 1024
# Without that, as many times the bytes.
UNSENT_ALONE_FACTOR = 32
# Part of its time after which the proof of the configuration is old. As a rule
# it is renewed before a third of that has passed.
OLD_PROOF_SHARE = 0.4
# Change of the part per second with twice the allowed pressure, and with none.
GROWTH_PER_S = 1.5
FALL_PER_S = 0.5
MAX_EXCESS = 3.0
# Some requests are always let in, to find out when there is room again.
MAX_SHARE = 0.95
# From this part on the gateway counts as busy, until nothing is refused.
BUSY_SHARE = 0.05
# Longest time between two looks that counts, as for a process that was
# suspended.
MAX_PASSED_MS = 500
# Weight of a new delay of the timers: three late ones in a row are pressure.
LATE_WEIGHT = 0.4
# More counts as this much: a process that was suspended for seconds has one
# timer that is very late, and isn't busy.
MAX_LATE_MS = LATE_LIMIT_MS / LATE_WEIGHT


@dataclasses.dataclass(frozen=True)
class Load:
    """What a gateway sees of its own load.

    :param late_ms: how late its timer was
    :param unsent_bytes: what callers' connections hold unsent
    :param proof_share: age of the proof of the configuration as a part of the
        time that it lasts; 0 if it lasts for ever
    """

    late_ms: float
    unsent_bytes: int
    proof_share: float


class OverloadGuard:
    """The part of new requests that is refused before any check.

    :param now_ms: the current time
    """

    def __init__(self, now_ms: int) -> None:
        self.share = 0.0
        self.busy = False
        self.late_ms = 0.0
        self.load = Load(0.0, 0, 0.0)
        self.observed_ms = now_ms

    def observe(self, load: Load, now_ms: int) -> None:
        """Adapts the part to the load.

        :param load: the present load
        :param now_ms: the current time
        """
        passed_s = min(MAX_PASSED_MS, now_ms - self.observed_ms) / 1000
        self.observed_ms = now_ms
        self.load = load
        late_ms = min(MAX_LATE_MS, load.late_ms)
        self.late_ms += LATE_WEIGHT * (late_ms - self.late_ms)
        excess = self.pressure() - 1.0
        if excess > 0:
            change = GROWTH_PER_S * min(MAX_EXCESS, excess) * passed_s
        else:
            change = FALL_PER_S * excess * passed_s
        self.share = max(0.0, min(MAX_SHARE, self.share + change))
        self.busy = self.share >= (0.001 if self.busy else BUSY_SHARE)

    def pressure(self) -> float:
        """Returns the load as a multiple of what is allowed."""
        load = self.load
        unsent_limit = UNSENT_LIMIT_BYTES
        if load.proof_share < OLD_PROOF_SHARE:
            unsent_limit *= UNSENT_ALONE_FACTOR
        return max(
            self.late_ms / LATE_LIMIT_MS, load.unsent_bytes / unsent_limit
        )

    def sheds(self, draw: float) -> bool:
        """Returns whether a new request is refused.

        :param draw: random number from 0 to 1
        """
        return draw < self.share
