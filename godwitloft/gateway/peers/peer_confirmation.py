"""Confirms with other gateways that configuration and upstreams are current.

Only a few gateways, the pollers, poll the store; the others ask one of
them. An answer holds the age of the poller's last confirmation, and the
asking gateway counts that age from the time of its question. So no clocks of
two machines are compared, and a delayed answer never makes a confirmation
look newer than it is. A gateway that gets no fresh answer polls the store
itself, so that nothing depends on a single gateway.
"""

import dataclasses
import heapq
import math
import typing
import zlib

from godwitloft import clock as clocks
from godwitloft.gateway import config_state as config_states
from godwitloft.gateway import model
from godwitloft.gateway.peers import store_contact as store_contacts
from godwitloft.links import datagrams
from godwitloft.links.generated.datagrams import ttypes
from godwitloft.rollouts import held_rows

MIN_POLLERS = 2
# Each gateway asks 2.5 times a second. With 2,000 gateways, 10 pollers read
# the list; with 10,000 upstreams, each reading takes 20 calls.
GATEWAYS_PER_POLLER = 200
ASK_INTERVAL_MS = 400
POLLERS_CACHE_MS = 200
# Without an answer within this time, the next poller is asked.
ANSWER_TIMEOUT_MS = 120
# A gateway whose last confirmation is older polls the store itself.
MAX_VERSION_AGE_MS = 2_000
# Where the proof lasts for a limited time, this share of it and this much more
# are the limit if that is less: a call behind a full link takes 2.4 s, and the
# pollers' own confirmation is up to a fifth of that time old.
VERSION_AGE_SHARE = 0.25
VERSION_AGE_EXTRA_MS = 500
MAX_LIST_AGE_MS = 1_400
# A poller waits for changes up to 1.5 s at a time, and counts the age of what
# it holds from the start of a wait, so that it tells ages up to 3 s; gateways
# ask every 400 ms.
MAX_ROWS_AGE_MS = 3_500
# Pollers read the list more often than this. If an answer's list is older,
# the next poller is asked from then on.
MAX_POLLED_LIST_AGE_MS = 900


@dataclasses.dataclass(frozen=True)
class ListVersion:
    """Version of a list of upstreams and when it was last current.

    :param digest: digest of the list
    :param at_ms: a time at which the list was current
    """

    digest: int
    at_ms: int


class KnownRollouts(typing.Protocol):
    """The orders and roll-outs that a gateway knows.

    :ivar in_use: whether there are roll-outs at all
    :ivar rows: whether the rows that it holds are current
    """

    in_use: bool
    rows: held_rows.HeldRows


def digest_of(upstreams: dict[str, model.Upstream]) -> int:
    """Returns a digest of a list of upstreams.

    :param upstreams: upstreams by id
    :return: from 0 to 2**32 - 1, equal for equal lists
    """
    text = repr([upstreams[name] for name in sorted(upstreams)])
    return zlib.crc32(text.encode())


class PeerConfirmation:
    """Asks pollers whether its data is current, and answers other gateways.

    :param clock: clock that also advances while the system is suspended
    :param send: sends a datagram to an address
    :param instance: name of this gateway
    :param port: UDP port on which gateways listen
    :param config_state: the configuration in force
    :param hosts: returns the IP numbers of the other gateways, by instance
    :param store_contact: gets the times at which a poller found the store up
    """

    def __init__(
        self,
        clock: clocks.Clock,
        send: typing.Callable[[bytes, datagrams.Address], None],
        instance: str,
        port: int,
        config_state: config_states.ConfigState,
        hosts: typing.Callable[[], dict[str, str]],
        store_contact: store_contacts.StoreContact,
    ) -> None:
        self.clock = clock
        self.send = send
        self.instance = instance
        self.port = port
        self.config_state = config_state
        self.hosts = hosts
        self.store_contact = store_contact
        # Set where there are roll-outs.
        self.rollouts: KnownRollouts | None = None
        self.held_list: ListVersion | None = None
        self.version_outdated = False
        self.list_outdated = False
        self.last_asked_ms = 0
        self.last_answered_ms = 0
        self.poller_index = 0
        self.cached_pollers: list[str] = []
        self.cached_ms = 0

    def pollers(self) -> list[str]:
        """Returns the gateways that poll the store.

        :return: their names, the same at all gateways that know the same
            other gateways
        """
        now_ms = self.clock.monotonic_ms()
        if self.cached_pollers and now_ms - self.cached_ms < POLLERS_CACHE_MS:
            return self.cached_pollers
        names = [self.instance, *self.hosts()]
        count = max(MIN_POLLERS, math.ceil(len(names) / GATEWAYS_PER_POLLER))
        self.cached_pollers = heapq.nsmallest(
            count, names, key=lambda name: (zlib.crc32(name.encode()), name)
        )
        self.cached_ms = now_ms
        return self.cached_pollers

    def is_poller(self) -> bool:
        """Returns whether this gateway is one that polls the store."""
        return self.instance in self.pollers()

    def needs_version(self) -> bool:
        """Returns whether the configuration must be read from the store.

        :return: whether this gateway is a poller, its configuration is
            outdated, or no gateway has confirmed it lately
        """
        if self.version_outdated or self.is_poller():
            return True
        return not self.is_version_fresh(self.clock.monotonic_ms())

    def is_version_fresh(self, now_ms: int) -> bool:
        """Returns whether the configuration was confirmed lately.

        :param now_ms: the current time
        :return: whether its confirmation is at most
            :meth:`max_version_age_ms` old
        """
        age_ms = self.config_state.confirmation_age_ms(now_ms)
        return age_ms is not None and age_ms <= self.max_version_age_ms()

    def max_version_age_ms(self) -> float:
        """Returns the age of a confirmation from which the store is polled."""
        proof_ms = self.config_state.key_proof_ms
        if proof_ms <= 0:
            return MAX_VERSION_AGE_MS
        return min(
            MAX_VERSION_AGE_MS,
            VERSION_AGE_SHARE * proof_ms + VERSION_AGE_EXTRA_MS,
        )

    def proof_age_ms(self) -> int | None:
        """Returns the age of the configuration's last confirmation.

        :return: milliseconds, None if there was none
        """
        return self.config_state.confirmation_age_ms(self.clock.monotonic_ms())

    def is_list_fresh(self, now_ms: int) -> bool:
        """Returns whether the list of upstreams was confirmed lately.

        :param now_ms: the current time
        :return: whether its confirmation is at most :data:`MAX_LIST_AGE_MS`
            old
        """
        held = self.held_list
        return held is not None and now_ms - held.at_ms <= MAX_LIST_AGE_MS

    def are_rows_fresh(self, now_ms: int) -> bool:
        """Returns whether orders and roll-outs were confirmed lately.

        :param now_ms: the current time
        :return: whether their confirmation is at most
            :data:`MAX_ROWS_AGE_MS` old, or none are needed
        """
        if self.rollouts is None or not self.rollouts.in_use:
            return True
        at_ms = self.rollouts.rows.current_ms
        return at_ms is not None and now_ms - at_ms <= MAX_ROWS_AGE_MS

    def needs_rows(self) -> bool:
        """Returns whether orders and roll-outs must be read from the store.

        :return: whether this gateway is a poller, its rows are outdated, or no
            gateway has confirmed them lately
        """
        if self.rollouts is None or not self.rollouts.in_use:
            return False
        if self.rollouts.rows.outdated or self.is_poller():
            return True
        return not self.are_rows_fresh(self.clock.monotonic_ms())

    def list_confirmed_ms(self) -> int | None:
        """Returns when the list of upstreams was last known to be current.

        :return: the time in milliseconds, None without a list
        """
        return self.held_list.at_ms if self.held_list is not None else None

    def is_fresh(self, now_ms: int) -> bool:
        """Returns whether all that this gateway holds was confirmed lately.

        :param now_ms: the current time
        :return: whether configuration, list and orders were
        """
        return (
            self.is_version_fresh(now_ms)
            and self.is_list_fresh(now_ms)
            and self.are_rows_fresh(now_ms)
        )

    def needs_list(self) -> bool:
        """Returns whether the list of upstreams must be read from the store.

        :return: whether this gateway is a poller, its list is outdated, or
            no gateway has confirmed it lately
        """
        if self.list_outdated or self.is_poller():
            return True
        return not self.is_list_fresh(self.clock.monotonic_ms())

    def mark_list_outdated(self) -> None:
        """Records that a newer list of upstreams may exist and is needed."""
        self.list_outdated = True

    def mark_version_read(self) -> None:
        """Records that the configuration was read from the store."""
        self.version_outdated = False

    def record_list(
        self, upstreams: dict[str, model.Upstream], asked_ms: int
    ) -> None:
        """Records a list that was read from the store.

        :param upstreams: upstreams by id
        :param asked_ms: when the read was started
        """
        self.list_outdated = False
        self.held_list = ListVersion(digest_of(upstreams), asked_ms)

    def ask_if_due(self) -> None:
        """Sends a question to a poller if one is due."""
        now_ms = self.clock.monotonic_ms()
        unanswered = self.last_answered_ms < self.last_asked_ms
        interval_ms = ANSWER_TIMEOUT_MS if unanswered else ASK_INTERVAL_MS
        if now_ms - self.last_asked_ms < interval_ms:
            return
        if self.is_poller() and self.is_fresh(now_ms):
            return
        if unanswered:
            self.poller_index += 1
        hosts = self.hosts()
        names = [name for name in self.pollers() if name in hosts]
        if not names:
            return
        self.last_asked_ms = now_ms
        question = ttypes.NewsQuestion(
            gateway=self.instance, asked_ms=self.last_asked_ms
        )
        name = names[self.poller_index % len(names)]
        self.send(
            datagrams.encode(question=question), (hosts[name], self.port)
        )

    def on_question(self, question: ttypes.NewsQuestion, host: str) -> None:
        """Answers another gateway's question.

        :param question: the received question
        :param host: IP number of the sender
        """
        now_ms = self.clock.monotonic_ms()
        router = self.config_state.router
        age_ms = self.config_state.confirmation_age_ms(now_ms)
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
        if (
            self.rollouts is not None
            and self.rollouts.rows.current_ms is not None
        ):
            answer.rows_digest = self.rollouts.rows.digest
            answer.rows_age_ms = now_ms - self.rollouts.rows.current_ms
        self.send(datagrams.encode(answer=answer), (host, self.port))

    def on_answer(self, answer: ttypes.NewsAnswer) -> None:
        """Handles the answer to a question of this gateway.

        :param answer: the received answer
        """
        now_ms = self.clock.monotonic_ms()
        if not 0 < answer.asked_ms <= now_ms:
            return
        self.last_answered_ms = max(self.last_answered_ms, answer.asked_ms)
        self.store_contact.record(list_read_ms(answer))
        self.compare_versions(answer)
        self.compare_lists(answer)
        self.compare_rows(answer)
        if (
            answer.version_age_ms > MAX_VERSION_AGE_MS
            or answer.list_age_ms > MAX_POLLED_LIST_AGE_MS
        ):
            self.poller_index += 1

    def compare_versions(self, answer: ttypes.NewsAnswer) -> None:
        """Confirms the configuration, or records that a newer version exists.

        :param answer: another gateway's answer
        """
        own = self.config_state.version
        if answer.version == own:
            self.config_state.confirm_stored(
                time_before(answer.asked_ms, answer.version_age_ms),
                answer.version,
            )
        elif answer.version > own:
            self.note_version(answer.version)

    def compare_rows(self, answer: ttypes.NewsAnswer) -> None:
        """Confirms orders and roll-outs, or learns that newer ones exist.

        :param answer: another gateway's answer; that of an older release tells
            nothing of them
        """
        digest, age_ms = answer.rows_digest, answer.rows_age_ms
        if self.rollouts is None or digest is None or age_ms is None:
            return
        self.rollouts.rows.confirm(
            digest, time_before(answer.asked_ms, age_ms)
        )

    def note_version(self, version: int) -> None:
        """Records that a peer has a version of the configuration in force.

        :param version: the version, 0 if the peer has none
        """
        self.config_state.note_version(version)
        if version > self.config_state.version:
            self.version_outdated = True

    def compare_lists(self, answer: ttypes.NewsAnswer) -> None:
        """Confirms the list, or records that a newer one exists.

        :param answer: another gateway's answer
        """
        if self.held_list is None:
            return
        at_ms = list_read_ms(answer)
        if at_ms <= self.held_list.at_ms:
            return
        if answer.list_digest == self.held_list.digest:
            self.held_list = ListVersion(self.held_list.digest, at_ms)
        else:
            self.list_outdated = True


def list_read_ms(answer: ttypes.NewsAnswer) -> int:
    """Returns when the answering gateway's list was read, on this clock.

    :param answer: another gateway's answer
    :return: a time that isn't later than it was
    """
    return time_before(answer.asked_ms, answer.list_age_ms)


def time_before(at_ms: int, age_ms: int) -> int:
    """Returns the time that lies an age before another.

    :param at_ms: a time of this gateway's clock
    :param age_ms: what another process states, any number
    :return: a time of this gateway's clock, 0 at the least
    """
    return max(0, at_ms - max(0, age_ms))
