"""What a gateway tells its peers and saves, besides the use of allowances."""

import typing

from godwitloft import clock as clocks
from godwitloft.gateway import rollouts as rollout_module
from godwitloft.gateway.allowances import sharing as sharings
from godwitloft.gateway.crashes import crash_reports
from godwitloft.gateway.crashes import crash_tracker
from godwitloft.gateway.peers import peer_confirmation
from godwitloft.gateway.peers import peer_status
from godwitloft.gateway.peers import store_contact as store_contacts
from godwitloft.gateway.streams import service_versions
from godwitloft.gateway.upstreams import fleet as fleets
from godwitloft.gateway.upstreams import learned_room
from godwitloft.gateway.upstreams import named_limit

# How long peers are told that an upstream is leaving; by then the list says
# so, if it ever does.
LEAVING_TOLD_MS = 3_000
MAX_LEAVING_TOLD = 20
# How long peers are told that an upstream has taken its limit back.
LIMIT_END_TOLD_MS = 3_000


class SharedKnowledge:
    """Collects what peers should know, and learns from what they tell.

    It owns nothing but the times at which the store was up: the rest is read
    from those who own it.

    :param clock: source of the time
    :param sharing: use of allowances, which is saved as well
    :param fleet: the upstreams
    :param confirmation: knows the version of the configuration
    :param contact: when the store is known to have been up
    :param crashes: crashes of upstreams, and what is blamed for them
    :param versions: software versions that streams may have begun at
    :param rooms: learns the room of upstreams
    :param on_leaving: called with an upstream of which a peer says that it is
        leaving
    :param on_limit: called with an upstream and what a peer says of its limit,
        if that is newer than what is known
    :param rollouts: roll-outs, and how versions have answered
    """

    def __init__(
        self,
        clock: clocks.Clock,
        sharing: sharings.Sharing,
        fleet: fleets.Fleet,
        confirmation: peer_confirmation.PeerConfirmation,
        contact: store_contacts.StoreContact,
        crashes: crash_tracker.CrashTracker,
        versions: service_versions.ServiceVersions,
        rooms: learned_room.LearnedRooms,
        on_leaving: typing.Callable[[fleets.UpstreamState], None],
        on_limit: typing.Callable[
            [fleets.UpstreamState, named_limit.Statement], None
        ],
        rollouts: rollout_module.Rollouts,
    ) -> None:
        self.clock = clock
        self.wall_ms = clocks.steady_wall(clock)
        self.sharing = sharing
        self.fleet = fleet
        self.confirmation = confirmation
        self.contact = contact
        self.crashes = crashes
        self.causes = crashes.causes
        self.versions = versions
        self.rooms = rooms
        self.on_leaving = on_leaving
        self.on_limit = on_limit
        self.rollouts = rollouts
        # Set by an adapter whose store has timelines.
        self.store_timeline: typing.Callable[[], int | None] = _no_timeline
        self.on_peer_timeline: typing.Callable[[int | None], None] = (
            _ignore_timeline
        )

    def status(self) -> peer_status.PeerStatus:
        """Returns what this gateway tells its peers.

        :return: the present status
        """
        now_ms = self.clock.monotonic_ms()
        leaving = self.fleet.lately_leaving(now_ms - LEAVING_TOLD_MS)
        return peer_status.PeerStatus(
            version=self.confirmation.config_state.version,
            timeline=self.store_timeline(),
            leaving=leaving[:MAX_LEAVING_TOLD],
            store_up=self.store_up(now_ms),
            crashes=self.causes.crashes_to_tell(now_ms),
            sound=self.causes.proofs_to_tell(now_ms),
            blames=self.causes.blames_to_tell(now_ms),
            limits=self.limit_reports(now_ms),
            rollouts=self.rollouts.status_for_peers(),
            capacities=self.rooms.reports(),
        )

    def limit_reports(
        self, now_ms: int
    ) -> tuple[peer_status.LimitReport, ...]:
        """Returns what upstreams have said of their limits.

        :param now_ms: the current time
        """
        since_ms = now_ms - LIMIT_END_TOLD_MS
        return tuple(
            peer_status.LimitReport(
                life, statement.per_s, now_ms - statement.at_ms
            )
            for life, statement in self.fleet.limit_statements(since_ms)
        )

    def store_up(self, now_ms: int) -> peer_status.StoreUp | None:
        """Returns when this gateway knew the store to be up.

        :param now_ms: the current time
        :return: the last span, None if it never was
        """
        own = self.contact.own
        if own is None:
            return None
        return peer_status.StoreUp(
            now_ms - own.until_ms, own.until_ms - own.since_ms
        )

    def on_store_answered(self, is_back: bool) -> None:
        """Tells peers at once that the store is back, for what they save.

        :param is_back: whether it didn't answer before
        """
        self.sharing.start.record_contact()
        if is_back:
            self.sharing.must_announce = True

    def on_peer_status(self, status: peer_status.PeerStatus) -> None:
        """Learns from what a peer tells.

        :param status: the peer's status
        """
        now_ms = self.clock.monotonic_ms()
        self.confirmation.note_version(status.version)
        self.on_peer_timeline(status.timeline)
        if status.store_up is not None:
            until_ms = now_ms - status.store_up.age_ms
            since_ms = until_ms - status.store_up.length_ms
            self.contact.record_peer(store_contacts.Span(since_ms, until_ms))
        for crash in status.crashes:
            if self.crashes.record_told(crash.id, now_ms - crash.age_ms):
                self.sharing.must_announce = True
        self.causes.learn(status.crashes, status.sound, status.blames, now_ms)
        for life in status.leaving:
            state = self.fleet.state_of(life)
            if state is not None:
                self.on_leaving(state)
        for report in status.limits:
            self.learn_limit(report, now_ms)
        if status.rollouts is not None:
            self.rollouts.on_peer(status.rollouts)
        if status.capacities:
            self.rooms.learn(status.sender, status.capacities)

    def learn_limit(
        self, report: peer_status.LimitReport, now_ms: int
    ) -> None:
        """Learns from a peer what an upstream has said of its limit.

        :param report: what the peer tells
        :param now_ms: the current time
        """
        state = self.fleet.state_of(report.life)
        if state is None:
            return
        at_ms = now_ms - report.age_ms
        known = state.limit_statement
        if known is not None and known.at_ms >= at_ms:
            return
        wall_ms = self.wall_ms() - report.age_ms
        self.on_limit(
            state,
            named_limit.Statement(report.per_s, at_ms, wall_ms, own=False),
        )

    def blame_reports(self) -> tuple[crash_reports.BlameReport, ...]:
        """Returns the blames to be saved."""
        return self.causes.blames_to_save(self.clock.monotonic_ms())

    def restore_blames(
        self, saved: tuple[crash_reports.BlameReport, ...], age_ms: int
    ) -> None:
        """Takes over blames from before a restart.

        :param saved: what this gateway or a peer had saved
        :param age_ms: how long ago it was saved
        """
        saved_ms = self.clock.monotonic_ms() - age_ms
        self.causes.learn((), (), saved, saved_ms)

    def needs_saving(self) -> bool:
        """Returns whether usage, blames or versions should be saved soon."""
        return (
            self.causes.unsaved
            or self.versions.unsaved
            or self.sharing.own.needs_saving(self.sharing.gateways)
        )

    def mark_saved(self) -> typing.Callable[[], None]:
        """Records that usage, blames and versions are about to be saved.

        :return: takes that back; to be called if they could not be saved
        """
        blames, versions = self.causes.unsaved, self.versions.unsaved
        self.causes.unsaved = False
        self.versions.mark_saved()
        take_back_usage = self.sharing.own.unsaved.mark_saved()

        def take_back() -> None:
            self.causes.unsaved = self.causes.unsaved or blames
            self.versions.unsaved = self.versions.unsaved or versions
            take_back_usage()

        return take_back


def _no_timeline() -> int | None:
    return None


def _ignore_timeline(_timeline: int | None) -> None:
    pass
