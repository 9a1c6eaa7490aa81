"""The command ``godwitloft-standin``, which runs stand-ins as processes."""

import dataclasses
import json
import sys
import typing

import cappa

import godwitloft
from godwitloft import clock as clocks
from godwitloft import decode
from godwitloft import errors
from godwitloft.standins import engine as engines
from godwitloft.standins import engine_http
from godwitloft.standins import http
from godwitloft.standins import lakeshore as lakeshores
from godwitloft.standins import ledger
from godwitloft.standins import platform as platforms
from godwitloft.standins import service as services

EXIT_USAGE = 2


@cappa.command(name="engine", help="Run a stand-in model engine.")
@dataclasses.dataclass(frozen=True)
class EngineCommand:
    """Runs a stand-in model engine.

    :param listen: IP address and port; port 0 selects a free one
    :param settings: JSON object with fields of ``EngineSettings``
    """

    listen: typing.Annotated[str, cappa.Arg(long=True)] = "127.0.0.1:0"
    settings: typing.Annotated[str, cappa.Arg(long=True)] = "{}"

    def __call__(self) -> None:
        """Serves until the process is stopped."""
        settings = _settings(engines.EngineSettings, self.settings)
        reactor = clocks.monotonic_reactor()
        engine = engines.Engine(settings, reactor)
        if settings.print_ledger:
            engine.on_run_ended.append(_print_run)
        address, port = _parse_address(self.listen)
        _serve(engine_http.listen(engine, reactor, address, port))


@cappa.command(name="service", help="Run a stand-in plain service.")
@dataclasses.dataclass(frozen=True)
class ServiceCommand:
    """Runs a stand-in plain service.

    :param listen: IP address and port; port 0 selects a free one
    :param settings: JSON object with fields of ``ServiceSettings``
    """

    listen: typing.Annotated[str, cappa.Arg(long=True)] = "127.0.0.1:0"
    settings: typing.Annotated[str, cappa.Arg(long=True)] = "{}"

    def __call__(self) -> None:
        """Serves until the process is stopped."""
        settings = _settings(services.ServiceSettings, self.settings)
        reactor = clocks.monotonic_reactor()
        service = services.Service(settings, reactor)
        address, port = _parse_address(self.listen)
        _serve(services.listen(service, reactor, address, port))


@cappa.command(name="platform", help="Run a stand-in platform.")
@dataclasses.dataclass(frozen=True)
class PlatformCommand:
    """Runs a stand-in platform.

    :param listen: IP address and port; port 0 selects a free one
    :param settings: JSON object with fields of ``PlatformSettings``
    """

    listen: typing.Annotated[str, cappa.Arg(long=True)] = "127.0.0.1:0"
    settings: typing.Annotated[str, cappa.Arg(long=True)] = "{}"

    def __call__(self) -> None:
        """Serves until the process is stopped."""
        settings = _settings(platforms.PlatformSettings, self.settings)
        reactor = clocks.monotonic_reactor()
        platform = platforms.Platform(settings, reactor)
        address, port = _parse_address(self.listen)
        _serve(platforms.listen(platform, reactor, address, port))


@cappa.command(name="lakeshore", help="Run a stand-in Lakeshore platform.")
@dataclasses.dataclass(frozen=True)
class LakeshoreCommand:
    """Runs a stand-in for the Lakeshore platform with its runners.

    :param listen: IP address and port of its store; port 0 selects a free
        one
    :param settings: JSON object with fields of ``LakeshoreSettings``
    """

    listen: typing.Annotated[str, cappa.Arg(long=True)] = "127.0.0.1:0"
    settings: typing.Annotated[str, cappa.Arg(long=True)] = "{}"

    def __call__(self) -> None:
        """Serves until the process is stopped."""
        settings = _settings(lakeshores.LakeshoreSettings, self.settings)
        reactor = clocks.monotonic_reactor()
        lakeshore = lakeshores.Lakeshore(settings, reactor)
        address, port = _parse_address(self.listen)
        _serve(lakeshores.listen(lakeshore, reactor, address, port))


@cappa.command(
    name="godwitloft-standin", help="Small stand-ins for tests and demos."
)
@dataclasses.dataclass(frozen=True)
class Standin:
    """The top-level command.

    :param command: which stand-in to run
    """

    command: cappa.Subcommands[
        EngineCommand | ServiceCommand | PlatformCommand | LakeshoreCommand
    ]


def main(arguments: list[str] | None = None) -> None:
    """Runs the command line.

    :param arguments: command-line arguments without the program's name;
        default: those of the process
    """
    try:
        cappa.invoke(Standin, argv=arguments, version=godwitloft.__version__)
    except errors.GodwitloftError as error:
        print(f"godwitloft-standin: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)


def _settings(kind: type, text: str) -> typing.Any:
    try:
        value = json.loads(text)
    except ValueError as error:
        raise errors.UserError(f"--settings: not JSON: {error}") from error
    return decode.decode(kind, value, "--settings")


def _parse_address(listen: str) -> tuple[str, int]:
    address, _, port = listen.rpartition(":")
    if not address or not port.isdigit():
        raise errors.UserError(f"--listen: {listen!r} is not ADDRESS:PORT")
    return address, int(port)


def _print_run(run: ledger.RunEntry) -> None:
    print(json.dumps({"run": dataclasses.asdict(run)}), flush=True)


def _serve(listener: http.Listener) -> None:
    def on_listening(where: str) -> None:
        print(json.dumps({"listening": where}), flush=True)

    def on_failure(failure: typing.Any) -> None:
        print(f"godwitloft-standin: {failure.value}", file=sys.stderr)
        listener.reactor.stop()

    listener.start().addCallbacks(on_listening, on_failure)
    listener.reactor.run()


if __name__ == "__main__":
    main()
