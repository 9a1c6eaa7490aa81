"""What a gateway knows, and how fresh it is."""

from godwitloft import clock as clocks
from godwitloft import events
from godwitloft.gateway import model
from godwitloft.gateway import routing


class ConfigState:
    """The configuration in force and the proof that it is the newest.

    :param clock: tells the time, also while the machine is suspended
    :param key_proof_ms: how old the proof that a key is valid may be, 0 for
        no bound
    """

    def __init__(self, clock: clocks.Clock, key_proof_ms: int) -> None:
        self.clock = clock
        self.key_proof_ms = key_proof_ms
        self.router: routing.Router | None = None
        self.confirmed_ms: int | None = None

    def configure(self, configuration: model.Configuration) -> None:
        """Puts a configuration in force; an older one is ignored.

        :param configuration: all routes, services and teams
        """
        current = self.router
        if current is not None:
            if configuration.version <= current.configuration.version:
                return
        self.router = routing.Router(configuration)
        events.log(
            events.CONFIGURATION_IN_FORCE,
            version=configuration.version,
            routes=len(configuration.routes),
        )

    def confirm(self, asked_ms: int) -> None:
        """Notes that the configuration was the newest at some moment.

        :param asked_ms: a time before which it can't have been replaced
        """
        if self.confirmed_ms is None or asked_ms > self.confirmed_ms:
            self.confirmed_ms = asked_ms

    def is_proof_fresh(self, now_ms: int) -> bool:
        """Tells whether the keys are known to be valid.

        :param now_ms: the time
        :return: whether the last proof is young enough
        """
        limit_ms = self.key_proof_ms
        if limit_ms == 0:
            return True
        if self.confirmed_ms is None:
            return False
        return now_ms - self.confirmed_ms < limit_ms

    def proof_age_ms(self, now_ms: int) -> int | None:
        """Returns the age of the last proof.

        :param now_ms: the time
        :return: milliseconds, None if there was none
        """
        if self.confirmed_ms is None:
            return None
        return now_ms - self.confirmed_ms

    def limits(self) -> model.CallerLimits:
        """Returns the bounds on callers that are in force.

        :return: of the configuration, or the defaults
        """
        if self.router is None:
            return model.CallerLimits()
        return self.router.configuration.limits
