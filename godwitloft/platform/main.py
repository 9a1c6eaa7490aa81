"""The program that runs an entry or an agent on the platform."""

import argparse
import dataclasses
import functools
import gc
import random
import signal
import sys
import typing

from godwitloft import attempt as attempts
from godwitloft import bounded_log
from godwitloft import clock as clocks
from godwitloft import connection_check
from godwitloft import errors
from godwitloft import events
from godwitloft import incarnation as incarnations
from godwitloft import metrics
from godwitloft.gateway import checked_attempt
from godwitloft.gateway import daemon
from godwitloft.gateway import gateway as gateways
from godwitloft.gateway import model
from godwitloft.gateway import options
from godwitloft.gateway.allowances import sharing as sharings
from godwitloft.gateway.placing import grant_hosts
from godwitloft.gateway.placing import slot_client as slot_clients
from godwitloft.links import datagrams
from godwitloft.platform import agent
from godwitloft.platform import headers
from godwitloft.platform import lease_keeper
from godwitloft.platform import life_check
from godwitloft.platform import rollout_watch
from godwitloft.platform import row_decoder
from godwitloft.platform import settings
from godwitloft.platform import store as stores
from godwitloft.platform import stream_table
from godwitloft.platform import watch as watches
from godwitloft.runtime import process

EXIT_USAGE = 2
GRANTS_BY_AGENTS = "agents"
GRANTS_BY_GATEWAYS = "gateways"
# Names on the command line and fields of LoadPolicies.
POLICIES: typing.Final = {
    field.name.replace("_", "-"): field.name
    for field in dataclasses.fields(options.LoadPolicies)
}
# The store removes an upstream's row after this many intervals of silence.
HEARTBEATS_TO_EXPIRY = 3
EXPIRY_SLACK_MS = 1_000
# Few reference cycles are created, and a full collection takes long because
# it traverses the objects of all modules.
GC_YOUNG_OBJECTS = 20_000


def build(
    reactor: typing.Any,
    boot: settings.Boot,
    metrics_port: int | None = None,
    grants_by: str = GRANTS_BY_AGENTS,
) -> daemon.GatewayDaemon:
    """Builds a gateway from the platform's settings.

    :param reactor: the Twisted reactor
    :param boot: checked settings
    :param metrics_port: port on which to serve metrics, None for no metrics
    :param grants_by: who grants the slots of engines, ``agents`` or
        ``gateways``
    :return: the gateway
    :raises SettingsError: if the settings lack the callers' address
    """
    if boot.front is None:
        raise settings.SettingsError(
            settings.PATH_VARIABLE, "listen.front", "is missing"
        )
    clock = clocks.boottime_clock()
    instruments, render = metrics.prometheus()

    def send(
        upstream: model.Upstream,
        outgoing: attempts.Outgoing,
        callbacks: attempts.AttemptCallbacks,
    ) -> attempts.Attempt:
        address = (upstream.host, upstream.port)
        sent_wall_ms = clock.wall_ms()

        def find_restart(
            on_checked: typing.Callable[[bool | None], None],
        ) -> None:
            life_check.find_restart(
                reactor, upstream, boot.host, sent_wall_ms, on_checked
            )

        is_engine = gateway.config_state.is_engine(upstream.service)
        return attempts.start(
            reactor,
            address,
            outgoing,
            callbacks,
            boot.host,
            check_process=find_restart if is_engine else None,
        )

    def check_connection(
        upstream: model.Upstream,
        on_checked: typing.Callable[[bool | None], None],
    ) -> None:
        address = (upstream.host, upstream.port)
        connection_check.start(reactor, address, on_checked, boot.host)

    def check_life(
        upstream: model.Upstream,
        on_checked: checked_attempt.OnChecked,
    ) -> None:
        life_check.start(reactor, upstream, boot.host, on_checked)

    incarnation = incarnations.new_incarnation(boot.instance)

    own_address = (boot.host, boot.first_port)

    def send_datagram(data: bytes, address: datagrams.Address) -> None:
        if address == own_address:
            reactor.callLater(0, port.datagramReceived, data, address)
        else:
            port.send(data, address)

    def call_later(
        delay_ms: int, callback: typing.Callable[[], None]
    ) -> object:
        return reactor.callLater(delay_ms / clocks.MS_PER_S, callback)

    sharing = sharings.Sharing(
        clock,
        send_datagram,
        boot.instance,
        boot.first_port,
        boot.options.tolerance,
    )
    grant_host = None
    if grants_by == GRANTS_BY_GATEWAYS:
        grant_host = grant_hosts.GrantHosts(
            clock, sharing, own_address
        ).address
    gateway = gateways.Gateway(
        boot.options,
        headers.DIALECT,
        gateways.Dependencies(
            clock=clock,
            send=send,
            check_connection=check_connection,
            check_life=check_life,
            rng=random.Random(),
            instruments=instruments,
            slot_client=slot_clients.SlotClient(
                clock,
                send_datagram,
                incarnation,
                boot.first_port,
                boot.zone,
                grant_host,
            ),
            sharing=sharing,
            call_later=call_later,
        ),
    )
    port = datagrams.Port(gateway.on_datagram)
    listening = datagrams.listen(reactor, boot.first_port, port, boot.host)

    def on_store_restored(before: int, now: int) -> None:
        rollouts.on_restored()
        watch.on_store_restored(before, now)

    timeline = stores.Timeline(on_store_restored)
    gateway.knowledge.store_timeline = lambda: timeline.current
    gateway.knowledge.on_peer_timeline = timeline.observe
    store = stores.Store(
        stores.Client(
            reactor,
            boot.store.host,
            boot.store.port,
            boot.host,
            timeline.on_headers,
        ),
        timeline,
    )

    def configuration() -> model.Configuration | None:
        router = gateway.config_state.router
        return router.configuration if router is not None else None

    def listed() -> list[model.Upstream] | None:
        if gateway.confirmation.held_list is None:
            return None
        return [state.upstream for state in gateway.fleet.listed.values()]

    decoder = row_decoder.RowDecoder()
    gateway.rollouts.in_use = boot.options.has_rollouts
    gateway.confirmation.rollouts = gateway.rollouts
    rollouts = rollout_watch.RolloutWatch(
        clock,
        store,
        gateway.rollouts,
        gateway.confirmation,
        decoder.decode,
        configuration,
        listed,
        watches.MAX_CHANGES_WAIT_MS,
        lambda: lease.usage_restored,
    )

    def on_restored_before(age_ms: int) -> None:
        gateway.config_state.mark_restored_before(age_ms)
        rollouts.mark_restored_before(age_ms)

    def count_cut_back(what: str, number: int) -> None:
        instruments.store_restores.add(number, {"what": what})

    lease = lease_keeper.LeaseKeeper(
        clock,
        store,
        lease_keeper.LeaseCallbacks(
            on_gateways=gateway.update_gateways,
            on_usage_restored=sharing.start.restore,
            on_usage_found=sharing.start.restore_newer,
            on_peer_usage_restored=sharing.start.restore_peer,
            on_registered=sharing.start.join,
            on_blames_restored=gateway.knowledge.restore_blames,
            on_versions_restored=gateway.versions.restore,
            usage=sharing.own.usage,
            blames=gateway.knowledge.blame_reports,
            versions=gateway.versions.to_save,
            needs_saving=gateway.knowledge.needs_saving,
            must_save=lambda: sharing.own.unsaved.must_save,
            before_save=gateway.knowledge.mark_saved,
            on_saved=gateway.versions.record_saved,
            on_restored_before=on_restored_before,
            count_cut_back=count_cut_back,
        ),
        gateway.confirmation.store_contact,
        gateway.confirmation.hosts,
        boot.instance,
        boot.host,
        decoder.decode,
        random.Random(),
    )
    watch = watches.Watch(
        reactor,
        clock,
        store,
        watches.WatchCallbacks(
            on_configuration=gateway.config_state.configure,
            on_confirmed=gateway.config_state.confirm_stored,
            on_upstreams=gateway.update_upstreams,
            on_answered=gateway.knowledge.on_store_answered,
            on_restored=gateway.on_store_restored,
            settle_left_ms=gateway.config_state.settle_left_ms,
            count_cut_back=count_cut_back,
            on_operator_rows=rollouts.on_operator_rows,
            needs_operator_rows=rollouts.needs_orders,
        ),
        gateway.confirmation,
        lease,
        decoder.decode,
        boot.options.key_proof_ms,
        HEARTBEATS_TO_EXPIRY * boot.heartbeat_ms + EXPIRY_SLACK_MS,
    )
    streams = stream_table.StreamTable(
        clock, store, gateway.continuations, incarnation, decoder.decode
    )

    def start_watching() -> None:
        watch.start()
        watch.start_loop("streams", streams.needs_reading, streams.read)
        watch.start_loop("records", streams.needs_writing, streams.write)
        watch.start_loop("roll-outs", rollouts.needs_reading, rollouts.read)
        watch.start_loop("steps", rollouts.needs_writing, rollouts.write)

    listen = daemon.ListenOptions(
        host=boot.front.host,
        caller_port=boot.front.port,
        ready_port=boot.ready.port if boot.ready else None,
        metrics_port=metrics_port,
        render_metrics=render,
    )
    source = daemon.ConfigurationSource(start=start_watching, stop=watch.stop)
    entry = daemon.GatewayDaemon(reactor, clock, gateway, source, listen)
    entry.on_busy = functools.partial(datagrams.read_many, listening)
    return entry


ROLES: typing.Final[dict[str, typing.Callable[..., process.Daemon]]] = {
    "entry": build,
    "agent": agent.build,
}


def on_hangup(_number: int, _frame: object) -> None:
    """Handles SIGHUP: reads the settings and logs whether they are valid.

    The settings of a running process can't change, so the file has no other
    effect, whether it is valid or not.

    :param _number: unused, the signal's number
    :param _frame: unused
    """
    try:
        boot = settings.load()
    except errors.UserError as error:
        events.log(events.SETTINGS_LOADED, valid=False, reason=str(error))
    else:
        events.log(events.SETTINGS_LOADED, valid=True, instance=boot.instance)


def parse_args(arguments: list[str] | None = None) -> argparse.Namespace:
    """Parses the command line.

    :param arguments: arguments after the program's name, by default those of
        the process
    :return: a namespace with ``role``, ``metrics_port``, ``grants_by`` and
        ``policy``
    """
    parser = argparse.ArgumentParser(
        prog="python3 -m godwitloft.platform.main",
        description="Run a role of godwitloft on the Lakeshore platform.",
    )
    parser.add_argument(
        "role",
        choices=sorted(ROLES),
        help="entry: accept and place requests; agent: grant the slots of"
        " the upstream on the same machine",
    )
    parser.add_argument(
        "--metrics-port",
        type=int,
        help="serve metrics of an entry at /metrics on this port",
    )
    parser.add_argument(
        "--grants-by",
        choices=(GRANTS_BY_AGENTS, GRANTS_BY_GATEWAYS),
        default=GRANTS_BY_AGENTS,
        help="who grants the slots of engines to the entries: the agent on"
        " each engine's machine, or the entries themselves (all entries of a"
        " deployment alike)",
    )
    parser.add_argument(
        "--policy",
        action="append",
        default=[],
        choices=sorted(POLICIES),
        help="switch on a decision under load (docs/OVERLOAD.md); may be"
        " repeated; all entries of a deployment alike",
    )
    return parser.parse_args(arguments)


def with_policies(
    boot: settings.Boot, names: typing.Iterable[str]
) -> settings.Boot:
    """Returns settings with decisions under load switched on.

    :param boot: the settings
    :param names: keys of :data:`POLICIES`
    """
    policies = options.LoadPolicies(**{POLICIES[name]: True for name in names})
    return dataclasses.replace(
        boot, options=dataclasses.replace(boot.options, policies=policies)
    )


def main() -> None:
    """Runs a role with the settings file that the environment names."""
    args = parse_args()
    reactor = clocks.monotonic_reactor()
    handler = bounded_log.BoundedHandler(sys.stdout.fileno())
    events.configure(handler=handler)
    try:
        boot = with_policies(settings.load(), args.policy)
        daemon_of_role = ROLES[args.role](
            reactor, boot, args.metrics_port, args.grants_by
        )
    except errors.UserError as error:
        print(f"{sys.argv[0]}: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    signal.signal(signal.SIGHUP, on_hangup)
    gc.freeze()
    gc.set_threshold(GC_YOUNG_OBJECTS, 20, 100)
    process.run_daemon(reactor, daemon_of_role)


if __name__ == "__main__":
    main()
