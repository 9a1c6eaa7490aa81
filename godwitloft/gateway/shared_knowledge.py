"""What a gateway tells its peers and saves, besides the use of allowances."""

import typing

from godwitloft import clock as clocks
from godwitloft.gateway import crash_causes
from godwitloft.gateway import fleet as fleets
from godwitloft.gateway import peer_confirmation
from godwitloft.gateway import peer_status
from godwitloft.gateway import sharing as sharings
from godwitloft.gateway import store_contact as store_contacts

# How long peers are told that an upstream is leaving; by then the list says
# so, if it ever does.
LEAVING_TOLD_MS = 3_000
MAX_LEAVING_TOLD = 20


class SharedKnowledge:
    """Collects what peers should know, and learns from what they tell.

    It owns nothing but the times at which the store was up: the rest is read
    from those who own it.

    :param clock: source of the time
    :param sharing: use of allowances, which is saved as well
    :param fleet: the upstreams
    :param confirmation: knows the version of the configuration
    :param contact: when the store is known to have been up
    :param causes: crashes of upstreams, and what is blamed for them
    :param on_leaving: called with an upstream of which a peer says that it is
        leaving
    """

    def __init__(
        self,
        clock: clocks.Clock,
        sharing: sharings.Sharing,
        fleet: fleets.Fleet,
        confirmation: peer_confirmation.PeerConfirmation,
        contact: store_contacts.StoreContact,
        causes: crash_causes.CrashCauses,
        on_leaving: typing.Callable[[fleets.UpstreamState], None],
    ) -> None:
        self.clock = clock
        self.sharing = sharing
        self.fleet = fleet
        self.confirmation = confirmation
        self.contact = contact
        self.causes = causes
        self.on_leaving = on_leaving
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
            crashes=self.causes.crash_reports(now_ms),
            sound=self.causes.sound_reports(now_ms),
            blames=self.causes.blames_to_tell(now_ms),
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
        self.causes.learn(status.crashes, status.sound, status.blames, now_ms)
        for life in status.leaving:
            state = self.fleet.state_of(life)
            if state is not None:
                self.on_leaving(state)

    def blame_reports(self) -> tuple[crash_causes.BlameReport, ...]:
        """Returns the blames to be saved."""
        return self.causes.blames_to_save(self.clock.monotonic_ms())

    def restore_blames(
        self, saved: tuple[crash_causes.BlameReport, ...], age_ms: int
    ) -> None:
        """Takes over blames from before a restart.

        :param saved: what this gateway or a peer had saved
        :param age_ms: how long ago it was saved
        """
        saved_ms = self.clock.monotonic_ms() - age_ms
        self.causes.learn((), (), saved, saved_ms)

    def needs_saving(self) -> bool:
        """Returns whether usage or blames should be saved soon."""
        return self.causes.unsaved or self.sharing.needs_saving()

    def mark_saved(self) -> None:
        """Records that usage and blames are about to be saved."""
        self.causes.unsaved = False
        self.sharing.mark_saved()


def _no_timeline() -> int | None:
    return None


def _ignore_timeline(_timeline: int | None) -> None:
    pass
