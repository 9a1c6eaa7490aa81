"""Identifies requests that crash the upstreams that run them."""

import dataclasses
import enum
import typing

SUSPECT_MS = 600_000
POISONOUS_MS = 900_000
MAX_FINGERPRINTS = 10_000


class Verdict(enum.Enum):
    """Verdict on a request body, identified by its fingerprint."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    POISONOUS = "poisonous"


VERDICT_TTL_MS: typing.Mapping[Verdict, int] = {
    Verdict.CLEAR: 0,
    Verdict.SUSPECT: SUSPECT_MS,
    Verdict.POISONOUS: POISONOUS_MS,
}


@dataclasses.dataclass(frozen=True)
class Record:
    """A verdict with its expiry.

    :param verdict: suspect or poisonous
    :param expires_ms: when the verdict expires
    """

    verdict: Verdict
    expires_ms: int


class Suspects:
    """Verdicts on request bodies that may crash an upstream.

    :param max_fingerprints: maximum number kept; the oldest are evicted
    """

    def __init__(self, max_fingerprints: int = MAX_FINGERPRINTS) -> None:
        self.max_fingerprints = max_fingerprints
        self.records: dict[str, Record] = {}

    def verdict(self, fingerprint: str, now_ms: int) -> Verdict:
        """Returns the current verdict on a request body.

        :param fingerprint: hash of the body
        :param now_ms: the time
        :return: its verdict
        """
        record = self.records.get(fingerprint)
        if record is None or record.expires_ms <= now_ms:
            return Verdict.CLEAR
        return record.verdict

    def apply_verdict(
        self,
        fingerprint: str,
        verdict: Verdict,
        expires_in_ms: int,
        now_ms: int,
    ) -> bool:
        """Applies a verdict, such as one that another process sent.

        A poisonous verdict is replaced by no other; a clear verdict removes
        only a suspect one.

        :param fingerprint: hash of the body
        :param verdict: the verdict
        :param expires_in_ms: time until the verdict expires
        :param now_ms: the time
        :return: whether anything changed
        """
        current = self.verdict(fingerprint, now_ms)
        if current is Verdict.POISONOUS or current is verdict:
            return False
        if verdict is Verdict.CLEAR:
            self.records.pop(fingerprint, None)
            return True
        self.records[fingerprint] = Record(verdict, now_ms + expires_in_ms)
        self._evict_oldest()
        return True

    def record_crash(
        self, in_flight: typing.Collection[str], now_ms: int
    ) -> dict[str, Verdict]:
        """Updates the verdicts on the bodies in flight at a crash.

        If exactly one of them is a suspect already, it becomes poisonous.
        That is wrong if the suspect was merely in flight at an earlier
        crash and a body not seen before caused this one. So the others
        become suspects in this case too, and the body at fault is found at
        its next crash.

        :param in_flight: fingerprints of the bodies in flight
        :param now_ms: the time
        :return: the new verdicts, to be sent to the other processes
        """
        fingerprints = sorted(set(in_flight))
        suspects = [
            fingerprint
            for fingerprint in fingerprints
            if self.verdict(fingerprint, now_ms) is Verdict.SUSPECT
        ]
        changed = {}
        if len(suspects) == 1:
            self.apply_verdict(
                suspects[0], Verdict.POISONOUS, POISONOUS_MS, now_ms
            )
            changed[suspects[0]] = Verdict.POISONOUS
        for fingerprint in fingerprints:
            if self.apply_verdict(
                fingerprint, Verdict.SUSPECT, SUSPECT_MS, now_ms
            ):
                changed[fingerprint] = Verdict.SUSPECT
        return changed

    def record_completion(self, fingerprint: str, now_ms: int) -> bool:
        """Clears a suspect that completed without a crash.

        :param fingerprint: hash of the body
        :param now_ms: the time
        :return: whether it was a suspect until now
        """
        if self.verdict(fingerprint, now_ms) is not Verdict.SUSPECT:
            return False
        del self.records[fingerprint]
        return True

    def _evict_oldest(self) -> None:
        while len(self.records) > self.max_fingerprints:
            del self.records[next(iter(self.records))]
