"""Works out how long after its start a stream may be taken up again."""

import typing

from godwitloft import clock as clocks
from godwitloft.gateway import model
from godwitloft.gateway.callers import routing

MIN_STREAM_LIFE_MS = 20_000
# A caller may wait for longer than one of its attempts may last.
TIMEOUTS_PER_STREAM = 1.5


def life_ms(configuration: model.Configuration) -> int:
    """Returns the life of streams under one configuration.

    :param configuration: any configuration
    :return: milliseconds
    """
    longest_ms = max(
        (
            route.timeout_ms
            for route in configuration.routes
            if route.kind is model.Kind.STREAM and route.resumable
        ),
        default=0,
    )
    return max(MIN_STREAM_LIFE_MS, round(TIMEOUTS_PER_STREAM * longest_ms))


class StreamLife:
    """The life of streams, also of those that began under earlier settings.

    :param clock: source of the time
    :param router: returns the router of the configuration in force
    """

    def __init__(
        self,
        clock: clocks.Clock,
        router: typing.Callable[[], routing.Router | None],
    ) -> None:
        self.clock = clock
        self.find_router = router
        self.router: routing.Router | None = None
        self.current_ms = MIN_STREAM_LIFE_MS
        # Lives under earlier configurations, and until when each counts.
        self.former: list[tuple[int, int]] = []

    def longest_ms(self) -> int:
        """Returns how long after its start any stream may be taken up.

        :return: milliseconds
        """
        router = self.find_router()
        if router is not self.router and router is not None:
            now_ms = self.clock.monotonic_ms()
            self.former.append((self.current_ms, now_ms + self.current_ms))
            self.router = router
            self.current_ms = life_ms(router.configuration)
        if not self.former:
            return self.current_ms
        now_ms = self.clock.monotonic_ms()
        self.former = [
            (life, until_ms)
            for life, until_ms in self.former
            if until_ms >= now_ms and life > self.current_ms
        ]
        return max([self.current_ms, *(life for life, _ in self.former)])
