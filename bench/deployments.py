"""The two example deployments, sized for a single computer."""

import dataclasses
import json
import pathlib
import typing

from bench import cluster
from bench import processes
from bench import workload

EXAMPLES = processes.ROOT / "examples"

# The prompt tokens of a step are bounded so that running outputs continue.
PREFILL_STEP_MS = 30


@dataclasses.dataclass(frozen=True)
class Deployment:
    """A deployment for experiments and the requests sent to it.

    :param name: name of the deployment
    :param model: name of the model service
    :param zones: availability zones of the entries
    :param engines: settings of the engines, which differ in speed
    :param engine_pool: name of their pool
    :param engine_zones: availability zones of the engines, in turn
    :param services: number of plain services
    :param service_pool: name of their pool
    :param shapes: kinds of model requests
    """

    name: str
    model: str
    zones: tuple[str, ...]
    engines: tuple[typing.Mapping[str, typing.Any], ...]
    engine_pool: str
    engine_zones: tuple[str, ...]
    services: int
    service_pool: str
    shapes: tuple[workload.Shape, ...]

    def objects(self) -> dict[str, list[dict[str, typing.Any]]]:
        """Returns the example's published objects.

        :return: as JSON
        """
        merged: dict[str, list[dict[str, typing.Any]]] = {}
        directory = EXAMPLES / self.name / "objects"
        for path in sorted(directory.glob("*.json")):
            merged.update(read_json(path))
        return merged

    def plan(self, services: bool = False) -> cluster.Plan:
        """Returns the processes of the deployment.

        :param services: whether to run the plain services too
        :return: plan of the cluster
        """
        engines = [
            cluster.UpstreamPlan(
                name=f"engine-{index}",
                pool=self.engine_pool,
                kind="model",
                availability_zone=pick(self.engine_zones, index),
                settings=settings,
            )
            for index, settings in enumerate(self.engines)
        ]
        plain = [
            cluster.UpstreamPlan(
                name=f"service-{index}",
                pool=self.service_pool,
                kind="plain",
                availability_zone=pick(self.engine_zones, index),
                settings={},
            )
            for index in range(self.services if services else 0)
        ]
        return cluster.Plan(
            objects=self.objects(),
            zones=self.zones,
            upstreams=(*engines, *plain),
        )

    def speeds(self) -> list[workload.EngineSpeed]:
        """Returns the speeds of the engines.

        :return: one for each engine
        """
        return [workload.engine_speed(settings) for settings in self.engines]


def read_json(path: pathlib.Path) -> dict[str, typing.Any]:
    """Reads a JSON file that holds an object.

    :param path: the file
    :return: the object
    """
    return typing.cast(
        dict[str, typing.Any], json.loads(path.read_text(encoding="utf-8"))
    )


def pick(names: typing.Sequence[str], index: int) -> str:
    """Returns a name by index, in rotation.

    :param names: at least one
    :param index: any number from 0
    :return: one of the names
    """
    return names[index % len(names)]


def engine(
    model: str, prefill: float, decode_ms: float, batch: int
) -> dict[str, typing.Any]:
    """Returns the settings of a stand-in engine.

    :param model: name of its model
    :param prefill: prompt tokens per second
    :param decode_ms: milliseconds for a token when only one run is active
    :param batch: maximum number of concurrent runs
    :return: keys of ``EngineSettings``
    """
    return {
        "model": model,
        "prefill_tokens_per_s": prefill,
        "decode_ms": decode_ms,
        "batch_slowdown": 0.03,
        "max_batch": batch,
        "chunk_tokens": int(prefill * PREFILL_STEP_MS / 1000),
        "kv_tokens": 40_000,
        "cache_tokens": 30_000,
    }


LAKESHORE = Deployment(
    name="lakeshore",
    model="bean-model",
    zones=("duluth", "milwaukee", "cleveland"),
    engines=tuple(
        engine("bean-model", prefill, decode_ms, batch)
        for prefill, decode_ms, batch in (
            (6000.0, 20.0, 12),
            (6000.0, 20.0, 12),
            (4500.0, 25.0, 12),
            (4500.0, 25.0, 12),
            (3500.0, 30.0, 8),
            (3500.0, 30.0, 8),
            (2500.0, 30.0, 8),
            (2500.0, 30.0, 8),
            (1500.0, 30.0, 6),
            (1500.0, 30.0, 6),
        )
    ),
    engine_pool="bean-runners",
    engine_zones=("duluth", "milwaukee", "cleveland", "toledo"),
    services=5,
    service_pool="release-desks",
    shapes=(
        workload.Shape(
            tier="declarations",
            team="customs-desk",
            share=0.30,
            timeout_ms=15_000,
            prompt_words=(800, 2600),
            shared_words=512,
            shared_by=4,
            output_tokens=(20, 60),
        ),
        workload.Shape(
            tier="questions",
            team="brokers",
            share=0.25,
            timeout_ms=5_000,
            prompt_words=(20, 120),
            shared_words=0,
            shared_by=1,
            output_tokens=(8, 32),
        ),
        workload.Shape(
            tier="classification",
            team="container-intake",
            share=0.45,
            timeout_ms=12_000,
            prompt_words=(100, 400),
            shared_words=256,
            shared_by=40,
            output_tokens=(4, 8),
        ),
    ),
)

KULDIGA = Deployment(
    name="kuldiga",
    model="lm-pool",
    zones=("riga-a", "riga-b", "riga-c"),
    engines=tuple(
        engine("lm-pool", prefill, decode_ms, batch)
        for prefill, decode_ms, batch in (
            (7000.0, 20.0, 12),
            (5000.0, 25.0, 12),
            (5000.0, 25.0, 8),
            (3000.0, 30.0, 8),
            (2000.0, 30.0, 6),
        )
    ),
    engine_pool="lm-runners",
    engine_zones=("riga-a", "riga-b", "riga-c"),
    services=3,
    service_pool="registry-apps",
    shapes=(
        workload.Shape(
            tier="summaries",
            team="registrars",
            share=0.35,
            timeout_ms=18_000,
            prompt_words=(1500, 5000),
            shared_words=1024,
            shared_by=3,
            output_tokens=(30, 80),
        ),
        workload.Shape(
            tier="questions",
            team="gallery-staff",
            share=0.25,
            timeout_ms=5_000,
            prompt_words=(20, 150),
            shared_words=0,
            shared_by=1,
            output_tokens=(8, 32),
        ),
        workload.Shape(
            tier="classification",
            team="intake-tool",
            share=0.40,
            timeout_ms=12_000,
            prompt_words=(200, 600),
            shared_words=128,
            shared_by=40,
            output_tokens=(4, 8),
        ),
    ),
)

DEPLOYMENTS = {
    deployment.name: deployment for deployment in (LAKESHORE, KULDIGA)
}
