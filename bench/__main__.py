"""The command ``python -m bench``: experiments on real processes."""

import dataclasses
import json
import subprocess
import sys
import tempfile
import typing

import cappa

from bench import burst
from bench import capacity
from bench import config
from bench import faults
from bench import overhead
from bench import processes
from bench import slopes
from bench.soak import soak

OptionalFile = typing.Annotated[
    str, cappa.Arg(long=True, help="File for the figures.")
]


@cappa.command(name="burst", help="A burst under one policy.")
@dataclasses.dataclass(frozen=True)
class Burst:
    """Runs one burst.

    :param deployment: ``lakeshore`` or ``kuldiga``
    :param policy: ``late`` or ``push``
    :param seed: of the random number generators
    :param overload: offered engine time as a multiple of the capacity
    :param agent_settings: JSON object of further settings of the agents
    :param json: file for the figures
    """

    deployment: typing.Annotated[str, cappa.Arg(long=True)] = "lakeshore"
    policy: typing.Annotated[str, cappa.Arg(long=True)] = "late"
    seed: typing.Annotated[int, cappa.Arg(long=True)] = 1
    overload: typing.Annotated[float, cappa.Arg(long=True)] = 2.0
    agent_settings: typing.Annotated[str, cappa.Arg(long=True)] = "{}"
    json: OptionalFile = ""

    def __call__(self) -> None:
        """Runs it and prints the figures."""
        experiment = burst.Experiment(
            deployment=self.deployment,
            policy=self.policy,
            seed=self.seed,
            overload=self.overload,
            agent_settings=json.loads(self.agent_settings),
        )
        burst.write(self.json, burst.run(experiment))


@cappa.command(name="compare", help="Both policies, paired by seed.")
@dataclasses.dataclass(frozen=True)
class Compare:
    """Runs a burst under both policies for several seeds.

    :param deployment: ``lakeshore`` or ``kuldiga``
    :param seeds: number of seeds, starting at 1
    :param overload: offered engine time as a multiple of the capacity
    :param json: file for the figures
    """

    deployment: typing.Annotated[str, cappa.Arg(long=True)] = "lakeshore"
    seeds: typing.Annotated[int, cappa.Arg(long=True)] = 3
    overload: typing.Annotated[float, cappa.Arg(long=True)] = 2.0
    json: OptionalFile = ""

    def __call__(self) -> None:
        """Runs the pairs and prints the figures."""
        pairs = [
            {
                policy: run_burst(self.deployment, policy, seed, self.overload)
                for policy in ("late", "push")
            }
            for seed in range(1, self.seeds + 1)
        ]
        burst.write(self.json, pairs)


def run_burst(
    deployment: str, policy: str, seed: int, overload: float
) -> typing.Any:
    """Runs one burst in a process of its own.

    :param deployment: name of the deployment
    :param policy: ``late`` or ``push``
    :param seed: of the random number generators
    :param overload: offered engine time as a multiple of the capacity
    :return: the figures
    """
    with tempfile.NamedTemporaryFile("r", suffix=".json") as output:
        subprocess.run(
            [
                sys.executable,
                "-m",
                "bench",
                "burst",
                f"--deployment={deployment}",
                f"--policy={policy}",
                f"--seed={seed}",
                f"--overload={overload}",
                f"--json={output.name}",
            ],
            cwd=processes.ROOT,
            check=True,
            stdout=subprocess.DEVNULL,
        )
        return json.load(output)


@cappa.command(name="config", help="Propagation of configurations.")
@dataclasses.dataclass(frozen=True)
class Config:
    """Measures how fast a configuration is in force everywhere.

    :param daemons: number of daemons, all in this process
    :param seed: of the random number generators
    :param publishes: number of publishes with a healthy store
    :param json: file for the figures
    """

    daemons: typing.Annotated[int, cappa.Arg(long=True)] = 32
    seed: typing.Annotated[int, cappa.Arg(long=True)] = 1
    publishes: typing.Annotated[int, cappa.Arg(long=True)] = 20
    json: OptionalFile = ""

    def __call__(self) -> None:
        """Runs it and prints the figures."""
        config.run(self.daemons, self.seed, self.publishes, self.json)


@cappa.command(name="faults", help="Faults on real processes.")
@dataclasses.dataclass(frozen=True)
class Faults:
    """Runs the experiment with faults.

    :param seed: of the random number generators
    :param seconds: how long faults are injected
    :param json: file for the figures
    """

    seed: typing.Annotated[int, cappa.Arg(long=True)] = 1
    seconds: typing.Annotated[float, cappa.Arg(long=True)] = 30.0
    json: OptionalFile = ""

    def __call__(self) -> None:
        """Runs it and prints the figures."""
        burst.write(self.json, faults.run(self.seed, self.seconds))


@cappa.command(name="soak", help="Random faults on the adapter's programs.")
@dataclasses.dataclass(frozen=True)
class Soak:
    """Runs a soak test; exits with 1 when a promise was broken.

    :param seed: of the random number generators
    :param seconds: how long requests are sent
    :param processes: number of entries and agents, at least 6
    :param mistakes: JSON object of options of the stand-in runners, to check
        that the soak test detects their faults
    :param json: file for the figures
    :param keep: directory that is made for the logs, the settings and the
        history, to trace what failed; nothing is kept without it
    :param restarts_only: whether the only faults are restarts and stops of
        gateways, of which others excuse most losses, and unframed answers
    :param rollouts: whether operators order roll-outs, some of them to bad
        versions, beside kills, stops and pauses of gateways and outages of
        the store
    """

    seed: typing.Annotated[int, cappa.Arg(long=True)] = 1
    seconds: typing.Annotated[float, cappa.Arg(long=True)] = 40.0
    processes: typing.Annotated[int, cappa.Arg(long=True)] = soak.MIN_PROCESSES
    mistakes: typing.Annotated[str, cappa.Arg(long=True)] = "{}"
    json: OptionalFile = ""
    keep: typing.Annotated[str, cappa.Arg(long=True)] = ""
    restarts_only: typing.Annotated[bool, cappa.Arg(long=True)] = False
    rollouts: typing.Annotated[bool, cappa.Arg(long=True)] = False

    def __call__(self) -> None:
        """Runs it and prints the figures."""
        figures = soak.run(
            soak.Soak(
                self.seed,
                self.seconds,
                self.processes,
                json.loads(self.mistakes),
                self.keep,
                self.restarts_only,
                self.rollouts,
            )
        )
        burst.write(self.json, figures)
        if figures["breaches"]:
            raise cappa.Exit(code=1)


@cappa.command(name="slopes", help="Marginal costs in time and memory.")
@dataclasses.dataclass(frozen=True)
class Slopes:
    """Measures slopes.

    :param json: file for the figures
    """

    json: typing.Annotated[str, cappa.Arg(long=True)] = "docs/capacity.json"

    def __call__(self) -> None:
        """Measures them and writes the file."""
        slopes.write(self.json, slopes.measure())


@cappa.command(name="capacity", help="Write docs/CAPACITY.md.")
@dataclasses.dataclass(frozen=True)
class Capacity:
    """Writes the page from the measured slopes."""

    def __call__(self) -> None:
        """Reads docs/capacity.json and writes docs/CAPACITY.md."""
        measured = slopes.read(capacity.FIGURES)
        capacity.PAGE.write_text(capacity.render(measured), encoding="utf-8")


@cappa.command(name="overhead", help="Overhead of entry and agent.")
@dataclasses.dataclass(frozen=True)
class Overhead:
    """Measures added latency, processor time and memory.

    :param json: file for the figures
    """

    json: OptionalFile = ""

    def __call__(self) -> None:
        """Runs it and prints the figures."""
        burst.write(self.json, overhead.run())


@cappa.command(name="bench", help="Experiments on real processes.")
@dataclasses.dataclass(frozen=True)
class Command:
    """The whole command.

    :param command: which experiment
    """

    command: cappa.Subcommands[
        Burst | Compare | Config | Faults | Soak | Slopes | Capacity | Overhead
    ]


if __name__ == "__main__":
    cappa.invoke(Command)
