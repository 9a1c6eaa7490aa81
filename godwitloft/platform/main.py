"""The program that runs on the platform's machines."""

import dataclasses
import gc
import random
import signal
import sys
import typing

from godwitloft import clock as clocks
from godwitloft import errors
from godwitloft import events
from godwitloft import metrics
from godwitloft import process
from godwitloft.gateway import attempt as attempts
from godwitloft.gateway import daemon
from godwitloft.gateway import gateway as gateways
from godwitloft.gateway import model
from godwitloft.platform import headers
from godwitloft.platform import settings
from godwitloft.platform import store as stores
from godwitloft.platform import watch as watches

EXIT_USAGE = 2
# Few cycles are made, and a full collection of all modules takes long.
GC_YOUNG_OBJECTS = 20_000


@dataclasses.dataclass(frozen=True)
class Parts:
    """What a gateway's process consists of.

    :param daemon: listeners and timers
    :param watch: follows the store
    """

    daemon: daemon.GatewayDaemon
    watch: watches.Watch


def build(reactor: typing.Any, boot: settings.Boot) -> Parts:
    """Builds a gateway from the platform's settings.

    :param reactor: the twisted reactor
    :param boot: checked settings
    :return: its parts
    """
    if boot.front is None:
        raise settings.SettingsError(
            settings.PATH_VARIABLE, "listen.front", "is missing"
        )
    clock = clocks.suspend_clock()

    def send(
        upstream: model.Upstream,
        outgoing: attempts.Outgoing,
        owner: attempts.AttemptOwner,
    ) -> attempts.Attempt:
        return attempts.start(reactor, upstream, outgoing, owner, boot.host)

    gateway = gateways.Gateway(
        boot.options,
        headers.DIALECT,
        gateways.Surroundings(
            clock=clock,
            send=send,
            rng=random.Random(),
            instruments=metrics.discard(),
        ),
    )
    store = stores.Store(reactor, boot.store.host, boot.store.port, boot.host)
    watch = watches.Watch(
        reactor,
        clock,
        store,
        watches.Listener(
            configuration=gateway.configure,
            confirmed=gateway.confirm,
            upstreams=gateway.list_upstreams,
            gateways=gateway.count_gateways,
        ),
        boot.instance,
    )
    listen = daemon.Listen(
        host=boot.front.host,
        front_port=boot.front.port,
        ready_port=boot.ready.port if boot.ready else None,
    )
    source = daemon.Source(start=watch.start, stop=watch.stop)
    return Parts(
        daemon.GatewayDaemon(reactor, clock, gateway, source, listen), watch
    )


def on_hangup(_number: int, _frame: object) -> None:
    """Reads the settings again and reports whether they are valid.

    Nothing in them may change while a process runs, so a wrong file changes
    nothing either.

    :param _number: of the signal
    :param _frame: unused
    """
    try:
        boot = settings.load()
    except errors.UserError as problem:
        events.log(events.SETTINGS_LOADED, valid=False, reason=str(problem))
    else:
        events.log(events.SETTINGS_LOADED, valid=True, instance=boot.instance)


def main() -> None:
    """Runs a gateway with the settings that the environment names."""
    from twisted.internet import reactor

    events.configure(stream=sys.stdout)
    try:
        parts = build(reactor, settings.load())
    except errors.UserError as problem:
        print(f"{sys.argv[0]}: {problem}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    signal.signal(signal.SIGHUP, on_hangup)
    gc.freeze()
    gc.set_threshold(GC_YOUNG_OBJECTS, 20, 100)
    process.run_daemon(reactor, parts.daemon)


if __name__ == "__main__":
    main()
