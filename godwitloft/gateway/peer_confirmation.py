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
from godwitloft.gateway import config_state as config_states
from godwitloft.gateway import model
from godwitloft.links import datagrams
from godwitloft.links.generated.datagrams import ttypes

MIN_FOLLOWERS = 2
# Each asks 2.5 times a second; among 2,000 gateways, ten read a list of
# 10,000 upstreams, which takes 20 calls each time.
GATEWAYS_PER_FOLLOWER = 200
ASK_INTERVAL_MS = 400
FOLLOWERS_CACHE_MS = 200
# Then the next one is asked.
ANSWER_TIMEOUT_MS = 120
# What is older is asked of the store.
MAX_VERSION_AGE_MS = 2_000
MAX_LIST_AGE_MS = 1_400
# Whoever follows the store reads the list more often than this; from one that
# doesn't, the next one takes over.
MAX_FOLLOWED_LIST_AGE_MS = 900


@dataclasses.dataclass(frozen=True)
class ListVersion:
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


class PeerConfirmation:
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
        config_state: config_states.ConfigState,
        hosts: typing.Callable[[], dict[str, str]],
    ) -> None:
        self.clock = clock
        self.send = send
        self.instance = instance
        self.port = port
        self.config_state = config_state
        self.hosts = hosts
        self.held_list: ListVersion | None = None
        self.version_outdated = False
        self.list_outdated = False
        self.last_asked_ms = 0
        self.last_answered_ms = 0
        self.follower_index = 0
        self.cached_followers: list[str] = []
        self.cached_ms = 0

    def followers(self) -> list[str]:
        """Returns the gateways that follow the store.

        :return: their names; the same at all gateways that know each other
        """
        now_ms = self.clock.monotonic_ms()
        if (
            self.cached_followers
            and now_ms - self.cached_ms < FOLLOWERS_CACHE_MS
        ):
            return self.cached_followers
        names = [self.instance, *self.hosts()]
        count = max(
            MIN_FOLLOWERS, math.ceil(len(names) / GATEWAYS_PER_FOLLOWER)
        )
        self.cached_followers = heapq.nsmallest(
            count, names, key=lambda name: (zlib.crc32(name.encode()), name)
        )
        self.cached_ms = now_ms
        return self.cached_followers

    def is_follower(self) -> bool:
        """Tells whether this gateway is one that follows the store."""
        return self.instance in self.followers()

    def needs_version(self) -> bool:
        """Tells whether the store must be asked for the configuration.

        :return: whether nobody has confirmed it lately, or it is outdated
        """
        if self.version_outdated or self.is_follower():
            return True
        return not self.is_version_fresh(self.clock.monotonic_ms())

    def is_version_fresh(self, now_ms: int) -> bool:
        """Tells whether the configuration was the newest a short time ago.

        :param now_ms: the time
        :return: whether it was
        """
        age_ms = self.config_state.proof_age_ms(now_ms)
        return age_ms is not None and age_ms <= MAX_VERSION_AGE_MS

    def is_list_fresh(self, now_ms: int) -> bool:
        """Tells whether the list was the newest a short time ago.

        :param now_ms: the time
        :return: whether it was
        """
        held = self.held_list
        return held is not None and now_ms - held.at_ms <= MAX_LIST_AGE_MS

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
        if self.list_outdated or self.is_follower():
            return True
        return not self.is_list_fresh(self.clock.monotonic_ms())

    def mark_version_read(self) -> None:
        """Notes that the store was asked for the configuration."""
        self.version_outdated = False

    def record_list(
        self, upstreams: dict[str, model.Upstream], asked_ms: int
    ) -> None:
        """Notes a list that was read from the store.

        :param upstreams: by id
        :param asked_ms: when it was asked for
        """
        self.list_outdated = False
        self.held_list = ListVersion(digest_of(upstreams), asked_ms)

    def ask_if_due(self) -> None:
        """Asks another gateway, if it is time to."""
        now_ms = self.clock.monotonic_ms()
        unanswered = self.last_answered_ms < self.last_asked_ms
        interval_ms = ANSWER_TIMEOUT_MS if unanswered else ASK_INTERVAL_MS
        if now_ms - self.last_asked_ms < interval_ms:
            return
        if self.is_follower() and self.is_fresh(now_ms):
            return
        if unanswered:
            self.follower_index += 1
        hosts = self.hosts()
        names = [name for name in self.followers() if name in hosts]
        if not names:
            return
        self.last_asked_ms = now_ms
        question = ttypes.NewsQuestion(
            gateway=self.instance, asked_ms=self.last_asked_ms
        )
        name = names[self.follower_index % len(names)]
        self.send(
            datagrams.encode(question=question), (hosts[name], self.port)
        )

    def on_question(self, question: ttypes.NewsQuestion, host: str) -> None:
        """Tells another gateway what this one holds.

        :param question: its question
        :param host: IP number of the sender
        """
        now_ms = self.clock.monotonic_ms()
        router = self.config_state.router
        age_ms = self.config_state.proof_age_ms(now_ms)
        if router is None or age_ms is None or self.held_list is None:
            return
        answer = ttypes.NewsAnswer(
            gateway=self.instance,
            asked_ms=question.asked_ms,
            version=router.configuration.version,
            version_age_ms=age_ms,
            list_digest=self.held_list.digest,
            list_age_ms=now_ms - self.held_list.at_ms,
        )
        self.send(datagrams.encode(answer=answer), (host, self.port))

    def on_answer(self, answer: ttypes.NewsAnswer) -> None:
        """Takes what another gateway holds.

        :param answer: to a question of this one
        """
        now_ms = self.clock.monotonic_ms()
        if not 0 < answer.asked_ms <= now_ms:
            return
        self.last_answered_ms = max(self.last_answered_ms, answer.asked_ms)
        self.compare_versions(answer)
        self.compare_lists(answer)
        if (
            answer.version_age_ms > MAX_VERSION_AGE_MS
            or answer.list_age_ms > MAX_FOLLOWED_LIST_AGE_MS
        ):
            self.follower_index += 1

    def compare_versions(self, answer: ttypes.NewsAnswer) -> None:
        """Takes the age of the same configuration, or notes a newer one.

        :param answer: of another gateway
        """
        router = self.config_state.router
        own = router.configuration.version if router is not None else 0
        if answer.version == own:
            age_ms = max(0, answer.version_age_ms)
            self.config_state.confirm(answer.asked_ms - age_ms)
        elif answer.version > own:
            self.version_outdated = True

    def compare_lists(self, answer: ttypes.NewsAnswer) -> None:
        """Takes the age of an equal list, or notes a newer one.

        :param answer: of another gateway
        """
        if self.held_list is None:
            return
        at_ms = answer.asked_ms - max(0, answer.list_age_ms)
        if at_ms <= self.held_list.at_ms:
            return
        if answer.list_digest == self.held_list.digest:
            self.held_list = ListVersion(self.held_list.digest, at_ms)
        else:
            self.list_outdated = True
