"""Learns from other gateways that what this one holds is still the newest.

Few gateways follow the store themselves; the others ask one of these. An
answer tells how old its proof is, and the asker counts that from the moment
at which it asked: no clocks are compared, and an answer that was long on its
way proves no more than it should. Whoever gets no fresh answer asks the
store itself, so that nothing depends on a single gateway.
"""

import dataclasses
import heapq
import math
import typing
import zlib

from godwitloft import clock as clocks
from godwitloft.gateway import knowledge as knowledges
from godwitloft.gateway import model
from godwitloft.links import datagrams
from godwitloft.links.generated.datagrams import ttypes

LEAST_FOLLOWERS = 2
# Each asks 2.5 times a second; among 2,000 gateways, ten read a list of
# 10,000 upstreams, which takes 20 calls each time.
GATEWAYS_OF_A_FOLLOWER = 200
ASK_INTERVAL_MS = 400
CHOICE_LIFE_MS = 200
# Then the next one is asked.
ANSWER_LIMIT_MS = 120
# What is older is asked of the store.
LONGEST_VERSION_AGE_MS = 2_000
LONGEST_LIST_AGE_MS = 1_400
# Whoever follows the store reads the list more often than this; from one that
# doesn't, the next one takes over.
FOLLOWED_LIST_AGE_MS = 900


@dataclasses.dataclass(frozen=True)
class Held:
    """The list of upstreams as a gateway last read it.

    :param digest: equal for equal lists
    :param at_ms: a time at which it was the newest
    """

    digest: int
    at_ms: int


def digest_of(upstreams: dict[str, model.Upstream]) -> int:
    """Returns a number that equal lists share.

    :param upstreams: by id
    :return: from 0 to 2**32
    """
    text = repr([upstreams[name] for name in sorted(upstreams)])
    return zlib.crc32(text.encode())


class News:
    """What this gateway holds, and who else may confirm it.

    :param clock: tells the time, also while the machine is suspended
    :param send: sends a datagram to an address
    :param instance: name of this gateway
    :param port: on which gateways listen
    :param knowledge: the configuration in force
    :param hosts: returns the IP numbers of the other gateways, by instance
    """

    def __init__(
        self,
        clock: clocks.Clock,
        send: typing.Callable[[bytes, datagrams.Address], None],
        instance: str,
        port: int,
        knowledge: knowledges.Knowledge,
        hosts: typing.Callable[[], dict[str, str]],
    ) -> None:
        self.clock = clock
        self.send = send
        self.instance = instance
        self.port = port
        self.knowledge = knowledge
        self.hosts = hosts
        self.listed: Held | None = None
        self.version_outdated = False
        self.list_outdated = False
        self.asked_ms = 0
        self.answered_ms = 0
        self.turn = 0
        self.chosen: list[str] = []
        self.chosen_ms = 0

    def followers(self) -> list[str]:
        """Returns the gateways that follow the store.

        :return: their names; the same at all gateways that know each other
        """
        now_ms = self.clock.monotonic_ms()
        if self.chosen and now_ms - self.chosen_ms < CHOICE_LIFE_MS:
            return self.chosen
        names = [self.instance, *self.hosts()]
        count = max(
            LEAST_FOLLOWERS, math.ceil(len(names) / GATEWAYS_OF_A_FOLLOWER)
        )
        self.chosen = heapq.nsmallest(
            count, names, key=lambda name: (zlib.crc32(name.encode()), name)
        )
        self.chosen_ms = now_ms
        return self.chosen

    def follows(self) -> bool:
        """Tells whether this gateway is one that follows the store."""
        return self.instance in self.followers()

    def needs_version(self) -> bool:
        """Tells whether the store must be asked for the configuration.

        :return: whether nobody has confirmed it lately, or it is outdated
        """
        if self.version_outdated or self.follows():
            return True
        return not self.is_version_fresh(self.clock.monotonic_ms())

    def is_version_fresh(self, now_ms: int) -> bool:
        """Tells whether the configuration was the newest a short time ago.

        :param now_ms: the time
        :return: whether it was
        """
        age_ms = self.knowledge.proof_age_ms(now_ms)
        return age_ms is not None and age_ms <= LONGEST_VERSION_AGE_MS

    def is_list_fresh(self, now_ms: int) -> bool:
        """Tells whether the list was the newest a short time ago.

        :param now_ms: the time
        :return: whether it was
        """
        held = self.listed
        return held is not None and now_ms - held.at_ms <= LONGEST_LIST_AGE_MS

    def is_fresh(self, now_ms: int) -> bool:
        """Tells whether all that this gateway holds was confirmed lately.

        :param now_ms: the time
        :return: whether it was
        """
        return self.is_version_fresh(now_ms) and self.is_list_fresh(now_ms)

    def needs_list(self) -> bool:
        """Tells whether the store must be asked for the list of upstreams.

        :return: whether nobody has confirmed it lately, or it is outdated
        """
        if self.list_outdated or self.follows():
            return True
        return not self.is_list_fresh(self.clock.monotonic_ms())

    def read_version(self) -> None:
        """Notes that the store was asked for the configuration."""
        self.version_outdated = False

    def read_list(
        self, upstreams: dict[str, model.Upstream], asked_ms: int
    ) -> None:
        """Notes a list that was read from the store.

        :param upstreams: by id
        :param asked_ms: when it was asked for
        """
        self.list_outdated = False
        self.listed = Held(digest_of(upstreams), asked_ms)

    def tick(self) -> None:
        """Asks another gateway, if it is time to."""
        now_ms = self.clock.monotonic_ms()
        unanswered = self.answered_ms < self.asked_ms
        interval_ms = ANSWER_LIMIT_MS if unanswered else ASK_INTERVAL_MS
        if now_ms - self.asked_ms < interval_ms:
            return
        if self.follows() and self.is_fresh(now_ms):
            return
        if unanswered:
            self.turn += 1
        hosts = self.hosts()
        names = [name for name in self.followers() if name in hosts]
        if not names:
            return
        self.asked_ms = now_ms
        question = ttypes.NewsQuestion(
            gateway=self.instance, asked_ms=self.asked_ms
        )
        name = names[self.turn % len(names)]
        self.send(
            datagrams.encode(question=question), (hosts[name], self.port)
        )

    def on_question(self, question: ttypes.NewsQuestion, host: str) -> None:
        """Tells another gateway what this one holds.

        :param question: its question
        :param host: IP number of the sender
        """
        now_ms = self.clock.monotonic_ms()
        router = self.knowledge.router
        age_ms = self.knowledge.proof_age_ms(now_ms)
        if router is None or age_ms is None or self.listed is None:
            return
        answer = ttypes.NewsAnswer(
            gateway=self.instance,
            asked_ms=question.asked_ms,
            version=router.configuration.version,
            version_age_ms=age_ms,
            list_digest=self.listed.digest,
            list_age_ms=now_ms - self.listed.at_ms,
        )
        self.send(datagrams.encode(answer=answer), (host, self.port))

    def on_answer(self, answer: ttypes.NewsAnswer) -> None:
        """Takes what another gateway holds.

        :param answer: to a question of this one
        """
        now_ms = self.clock.monotonic_ms()
        if not 0 < answer.asked_ms <= now_ms:
            return
        self.answered_ms = max(self.answered_ms, answer.asked_ms)
        self.compare_versions(answer)
        self.compare_lists(answer)
        if (
            answer.version_age_ms > LONGEST_VERSION_AGE_MS
            or answer.list_age_ms > FOLLOWED_LIST_AGE_MS
        ):
            self.turn += 1

    def compare_versions(self, answer: ttypes.NewsAnswer) -> None:
        """Takes the age of the same configuration, or notes a newer one.

        :param answer: of another gateway
        """
        router = self.knowledge.router
        own = router.configuration.version if router is not None else 0
        if answer.version == own:
            age_ms = max(0, answer.version_age_ms)
            self.knowledge.confirm(answer.asked_ms - age_ms)
        elif answer.version > own:
            self.version_outdated = True

    def compare_lists(self, answer: ttypes.NewsAnswer) -> None:
        """Takes the age of an equal list, or notes a newer one.

        :param answer: of another gateway
        """
        if self.listed is None:
            return
        at_ms = answer.asked_ms - max(0, answer.list_age_ms)
        if at_ms <= self.listed.at_ms:
            return
        if answer.list_digest == self.listed.digest:
            self.listed = Held(self.listed.digest, at_ms)
        else:
            self.list_outdated = True
