"""Holds the configuration in force and when it was last confirmed."""

from godwitloft import clock as clocks
from godwitloft import events
from godwitloft.gateway import model
from godwitloft.gateway.callers import routing

# After a restore of the store, operators get this long to write again what it
# has undone; no gateway may have seen it.
SETTLE_MS = 1_000
# The same for a gateway that has started since: it doesn't know which version
# was in force.
START_SETTLE_MS = 4_000
# A gateway that has started hears of its peers' versions within this time.
START_MS = 3_000


class ConfigState:
    """The configuration in force and when it was last known to be current.

    :param clock: clock that also advances while the system is suspended
    :param key_proof_ms: maximum age of the last confirmation with which keys
        are accepted, 0 for no bound
    """

    def __init__(self, clock: clocks.Clock, key_proof_ms: int) -> None:
        self.clock = clock
        self.key_proof_ms = key_proof_ms
        self.router: routing.Router | None = None
        self.confirmed_ms: int | None = None
        # Newest version that this gateway or a peer has ever had in force.
        self.known_version = 0
        # When it became known.
        self.known_since_ms = 0
        # When the first configuration was confirmed.
        self.first_confirmed_ms: int | None = None
        # Confirmations that were requested before this time don't count.
        self.settled_ms = 0
        # Version in the store for which was logged that it is outdated.
        self.outdated_version: int | None = None

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 without one."""
        return self.router.configuration.version if self.router else 0

    def configure(self, configuration: model.Configuration) -> None:
        """Puts a configuration in force unless it is older.

        :param configuration: all routes, services and teams
        """
        current = self.router
        if current is not None:
            if configuration.version <= current.configuration.version:
                return
        self.router = routing.Router(configuration)
        self.note_version(configuration.version)
        events.log(
            events.CONFIGURATION_IN_FORCE,
            version=configuration.version,
            routes=len(configuration.routes),
        )

    def note_version(self, version: int) -> None:
        """Records that a version of the configuration exists.

        What a gateway has read since it started may come from before a restore
        of the store that it can't know of. If a peer has a newer version, that
        is confirmed only once it is read again.

        :param version: version that this gateway or a peer has in force
        """
        if version <= self.known_version:
            return
        now_ms = self.clock.monotonic_ms()
        self.known_version = version
        self.known_since_ms = now_ms
        first_ms = self.first_confirmed_ms
        has_started = first_ms is not None and now_ms - first_ms < START_MS
        if self.is_outdated() and has_started:
            self.confirmed_ms = None

    def is_outdated(self) -> bool:
        """Returns whether a newer configuration than that in force exists."""
        return self.known_version > self.version

    def mark_restored(self, now_ms: int) -> None:
        """Records that the store was restored from a copy.

        :param now_ms: the current time
        """
        self.settled_ms = now_ms + SETTLE_MS

    def mark_restored_before(self, age_ms: int) -> None:
        """Records that the store was restored before this process started.

        :param age_ms: how long ago that was noticed
        """
        now_ms = self.clock.monotonic_ms()
        settled_ms = now_ms - age_ms + START_SETTLE_MS
        self.settled_ms = max(self.settled_ms, settled_ms)

    def settle_left_ms(self) -> int:
        """Returns how long confirmations don't count after a restore."""
        return max(0, self.settled_ms - self.clock.monotonic_ms())

    def confirm_stored(self, asked_ms: int, stored_version: int) -> None:
        """Confirms the configuration if the store has the newest version.

        After the store was restored from a copy, it may hold an older one,
        until the operators write theirs again. What a newer version took away
        must not be allowed meanwhile.

        :param asked_ms: when the confirmation was requested
        :param stored_version: version that the store holds, 0 for none
        """
        if stored_version >= self.known_version:
            self.outdated_version = None
            if asked_ms >= self.settled_ms:
                self.confirm(asked_ms)
            return
        if self.is_outdated() and asked_ms >= self.known_since_ms:
            self.confirmed_ms = None
        if self.outdated_version != stored_version:
            self.outdated_version = stored_version
            events.log(
                events.STORED_CONFIGURATION_OUTDATED,
                stored=stored_version,
                known=self.known_version,
                in_force=self.version,
            )

    def confirm(self, asked_ms: int) -> None:
        """Records that the configuration was current at a point in time.

        :param asked_ms: when the confirmation was requested; a replacement
            before this time would have been noticed
        """
        if self.first_confirmed_ms is None:
            self.first_confirmed_ms = self.clock.monotonic_ms()
        if self.confirmed_ms is None or asked_ms > self.confirmed_ms:
            self.confirmed_ms = asked_ms

    def is_confirmation_fresh(self, now_ms: int) -> bool:
        """Returns whether the confirmation is new enough to accept keys.

        :param now_ms: the current time
        :return: whether its age is below ``key_proof_ms``, or that is 0
        """
        limit_ms = self.key_proof_ms
        if limit_ms == 0:
            return True
        if self.confirmed_ms is None:
            return False
        return now_ms - self.confirmed_ms < limit_ms

    def confirmation_age_ms(self, now_ms: int) -> int | None:
        """Returns the age of the last confirmation.

        :param now_ms: the current time
        :return: milliseconds, None if there was none
        """
        if self.confirmed_ms is None:
            return None
        return now_ms - self.confirmed_ms

    def is_engine(self, service: str) -> bool:
        """Returns whether a service's upstreams are model engines.

        :param service: name of the service
        """
        services = self.router.configuration.services if self.router else {}
        found = services.get(service)
        return found is not None and found.is_engine

    def limits(self) -> model.CallerLimits:
        """Returns the limits on callers that are in force.

        :return: those of the configuration, or the defaults without one
        """
        if self.router is None:
            return model.CallerLimits()
        return self.router.configuration.limits
