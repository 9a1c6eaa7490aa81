"""Counters and histograms of a daemon, with OpenTelemetry.

The SDK is imported only when a daemon creates its instruments, so that
library users with their own meter don't have to import it.
"""

import dataclasses
import typing

from opentelemetry import metrics

Labels = typing.Mapping[str, str]

WAIT_BUCKETS_MS = (1, 5, 10, 25, 50, 100, 250, 600, 1000, 5000, 30_000)


class Gauge(typing.Protocol):
    """A metric that is set to the present value."""

    def set(self, amount: float, attributes: Labels | None = None) -> None:
        """Sets the value.

        :param amount: the value
        :param attributes: labels
        """


@dataclasses.dataclass(frozen=True)
class Instruments:
    """The instruments of a daemon.

    :param refusals: refused requests, by ``reason`` and ``tier``
    :param hints: refusals under overload, by whether their callers were
        ``promised`` a turn and whether they were ``above_share`` of their team
    :param retries: retried calls, by ``reason``
    :param outcomes: ended requests, by ``outcome`` and ``tier``
    :param cuts: answers that were cut off, by ``reason`` and whether the
        process was ``stopping``
    :param answer_ends: ended answers of upstreams, by ``framing`` and ``end``
    :param store_restores: restores of the store, and rows that each has cut
        back, by ``what``
    :param upstream_signs: upstreams' signs that they are leaving or want a
        pause, by ``sign``
    :param version_answers: answers of upstreams during roll-outs, by
        ``service``, ``version`` and ``result``
    :param rollout_phases: phases that roll-outs have come to, by ``service``
        and ``phase``
    :param upstream_room: how many requests an ``upstream`` handles well
    :param operator_refusals: refused requests of operators, by ``reason``
    :param dropped_messages: ignored link messages, by ``reason``
    :param starts: requests sent to upstreams, by what the gateway's share is
        computed from (``share_by``)
    :param held: requests that waited while a more urgent one waited at
        another gateway, by ``service``
    :param wait_ms: time from acceptance to dispatch
    :param first_token_ms: time from acceptance to the first chunk
    """

    refusals: metrics.Counter
    hints: metrics.Counter
    retries: metrics.Counter
    outcomes: metrics.Counter
    cuts: metrics.Counter
    answer_ends: metrics.Counter
    store_restores: metrics.Counter
    upstream_signs: metrics.Counter
    version_answers: metrics.Counter
    rollout_phases: metrics.Counter
    upstream_room: Gauge
    operator_refusals: metrics.Counter
    dropped_messages: metrics.Counter
    starts: metrics.Counter
    held: metrics.Counter
    wait_ms: metrics.Histogram
    first_token_ms: metrics.Histogram


def create_instruments(meter: metrics.Meter) -> Instruments:
    """Creates the instruments on a meter.

    :param meter: any OpenTelemetry meter; a no-op one discards everything
    :return: the instruments
    """

    def counter(name: str) -> metrics.Counter:
        return meter.create_counter(f"godwitloft_{name}")

    def histogram(
        name: str, buckets: typing.Sequence[float]
    ) -> metrics.Histogram:
        return meter.create_histogram(
            f"godwitloft_{name}",
            unit="ms",
            explicit_bucket_boundaries_advisory=list(buckets),
        )

    return Instruments(
        refusals=counter("refusals"),
        hints=counter("hints"),
        retries=counter("retries"),
        outcomes=counter("outcomes"),
        cuts=counter("cuts"),
        answer_ends=counter("answer_ends"),
        store_restores=counter("store_restores"),
        upstream_signs=counter("upstream_signs"),
        version_answers=counter("version_answers"),
        rollout_phases=counter("rollout_phases"),
        upstream_room=meter.create_gauge("godwitloft_upstream_room"),
        operator_refusals=counter("operator_refusals"),
        dropped_messages=counter("dropped_messages"),
        starts=counter("starts"),
        held=counter("held"),
        wait_ms=histogram("wait", WAIT_BUCKETS_MS),
        first_token_ms=histogram("first_token", WAIT_BUCKETS_MS),
    )


def discard() -> Instruments:
    """Returns instruments that discard all values, for tests and embedders.

    :return: instruments on a no-op meter
    """
    return create_instruments(metrics.NoOpMeter("godwitloft"))


def prometheus() -> tuple[Instruments, typing.Callable[[], bytes]]:
    """Creates instruments whose values can be read as Prometheus text.

    :return: the instruments, and a function that renders them
    """
    from opentelemetry.exporter import prometheus as exporter
    from opentelemetry.sdk import metrics as sdk
    import prometheus_client

    reader = exporter.PrometheusMetricReader()
    provider = sdk.MeterProvider(metric_readers=[reader])
    instruments = create_instruments(provider.get_meter("godwitloft"))
    return instruments, prometheus_client.generate_latest
