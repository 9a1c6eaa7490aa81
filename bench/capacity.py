"""Computes docs/CAPACITY.md from the measured slopes.

Every figure of the page is a required size, a constant of the code, or a
slope of docs/capacity.json. The arithmetic is printed with each result.
"""

import dataclasses
import pathlib
import string
import typing

from bench import slope_fit
from bench import slope_rest
from bench import slopes as slopes_module
from godwitloft.agent import http_upstream
from godwitloft.coordination import feed
from godwitloft.coordination import subset
from godwitloft.entry import daemon as entry_daemon
from godwitloft.entry import step_recorder
from godwitloft.links import hub
from godwitloft.policy import bid_targets
from godwitloft.runtime import discovery
from godwitloft.store import guard

ROOT = pathlib.Path(__file__).resolve().parents[1]
FIGURES = ROOT / "docs" / "capacity.json"
PAGE = ROOT / "docs" / "CAPACITY.md"
NOTES = pathlib.Path(__file__).with_name("capacity_notes.md")

# Required size of the system.
ENTRIES = 2_000
AGENTS = 10_000
REQUESTS_PER_S = 170_000
TOKENS_PER_S = 35_000_000
MS_BETWEEN_TOKENS = 62
TEAMS = 10_000
MODELS = 28
ZONES = 22
CHANGES_PER_DAY = 19_000
RESTARTS_PER_DAY = 1_200
STORE_READS_PER_S = 2_000

# Targets for the cost of control traffic in a daemon.
TARGET_CORES = 0.037
TARGET_MB = 32.0
TARGET_BYTES_PER_S = 5_000.0

S_PER_DAY = 86_400
MS_PER_S = 1000
US_PER_S = 1_000_000
BYTES_PER_MB = 1_000_000
KB_PER_MB = 1_000_000 / 1024
PUBLISH_WRITES = 3

PROCESSES = ENTRIES + AGENTS
ENTRY_REQUESTS = REQUESTS_PER_S / ENTRIES
ENTRY_TOKENS = TOKENS_PER_S / ENTRIES
AGENT_REQUESTS = REQUESTS_PER_S / AGENTS
AGENT_TOKENS = TOKENS_PER_S / AGENTS
STREAMS = TOKENS_PER_S * MS_BETWEEN_TOKENS / MS_PER_S
ENTRY_STREAMS = STREAMS / ENTRIES
AGENT_STREAMS = STREAMS / AGENTS
POOL_AGENTS = round(AGENTS / MODELS)
AGENT_BIDS = REQUESTS_PER_S * bid_targets.SUBSET_AGENTS / AGENTS
CHANGES_PER_S = CHANGES_PER_DAY / S_PER_DAY
HEARTBEATS_PER_S = MS_PER_S / hub.HEARTBEAT_INTERVAL_MS
SUBSET_ENTRY_LINKS = (
    MODELS * subset.agents_per_entry(POOL_AGENTS, ENTRIES)
    + subset.SubsetSettings().entries_per_agent * AGENTS // ENTRIES
)
SUBSET_AGENT_LINKS = SUBSET_ENTRY_LINKS * ENTRIES / AGENTS
ENTRY_TICKS_PER_S = 1 / entry_daemon.TICK_INTERVAL_S
AGENT_TICKS_PER_S = MS_PER_S / http_upstream.TICK_INTERVAL_MS
LIST_INTERVAL_S = max(
    discovery.MIN_READ_INTERVAL_MS / MS_PER_S,
    PROCESSES / discovery.FLEET_READS_PER_S,
)
ANNOUNCE_INTERVAL_S = max(
    discovery.MIN_ANNOUNCE_INTERVAL_MS / MS_PER_S,
    PROCESSES / discovery.FLEET_ANNOUNCEMENTS_PER_S,
)


@dataclasses.dataclass(frozen=True)
class Need:
    """One line of the page: a resource need and its target.

    :param role: role that needs the resource
    :param what: what it is needed for
    :param arithmetic: how the value was computed
    :param value: needed amount
    :param unit: unit of the value
    :param target: upper limit, or None
    :param carrier: dotted path of the code that does the work
    """

    role: str
    what: str
    arithmetic: str
    value: float
    unit: str
    target: float | None
    carrier: str

    @property
    def ratio(self) -> float:
        """Value divided by target; 0 if there is no target."""
        return self.value / self.target if self.target else 0.0


def show(value: float) -> str:
    """Formats a number with three significant digits.

    :param value: the number
    :return: for example ``1,230`` or ``0.0123``
    """
    if value == 0:
        return "0"
    if abs(value) >= 100:
        return f"{float(f'{value:.3g}'):,.0f}"
    return f"{float(f'{value:.3g}'):g}"


class Costs:
    """The measured costs in the units of the computation.

    :param measured: the figures
    """

    def __init__(self, measured: slopes_module.Measured) -> None:
        self.measured = measured
        self.heartbeat_us = self.slope("heartbeat") / 10 / 2
        self.heartbeat_bytes = measured.frame_bytes["heartbeat"]
        self.link_bytes = self.slope("connection") / 2
        self.change_us = self.cost_at("snapshot_change", TEAMS)
        self.snapshot_bytes = self.cost_at("snapshot_bytes", TEAMS)
        self.list_bytes = self.cost_at("list_bytes", PROCESSES)

    def slope(self, name: str) -> float:
        """Returns a slope.

        :param name: name of the slope
        :return: marginal cost
        """
        return self.measured.slopes[name].slope

    def cost_at(self, name: str, size: int) -> float:
        """Returns the fitted cost at a size.

        :param name: name of the slope
        :param size: the size
        :return: base plus slope times size
        """
        fitted = self.measured.slopes[name]
        return fitted.base + fitted.slope * size

    def codec_us(self, *names: str) -> float:
        """Returns the cost of encoding or decoding some messages.

        :param names: such as ``encode_bid``
        :return: microseconds
        """
        return sum(self.slope(name) for name in names)


def link_needs(costs: Costs, role: str, kind: str, links: float) -> list[Need]:
    """Computes the cost of a number of links.

    :param costs: measured costs
    :param role: role that has the links
    :param kind: how the peers are chosen
    :param links: number of links
    :return: processor time, traffic and memory
    """
    heartbeats = f"{show(links)} links x {show(HEARTBEATS_PER_S)}/s"
    return [
        Need(
            role,
            f"heartbeats, {kind}",
            f"{heartbeats} x {show(costs.heartbeat_us)} us",
            links * HEARTBEATS_PER_S * costs.heartbeat_us / US_PER_S,
            "core",
            TARGET_CORES,
            "godwitloft.links.hub.Hub.send_heartbeats",
        ),
        Need(
            role,
            f"heartbeats sent, {kind}",
            f"{heartbeats} x {costs.heartbeat_bytes} bytes",
            links * HEARTBEATS_PER_S * costs.heartbeat_bytes,
            "bytes/s",
            TARGET_BYTES_PER_S,
            "godwitloft.links.hub.Hub.send_heartbeats",
        ),
        Need(
            role,
            f"links, {kind}",
            f"{show(links)} links x {show(costs.link_bytes)} bytes",
            links * costs.link_bytes / BYTES_PER_MB,
            "MB",
            TARGET_MB,
            "godwitloft.links.link.Link",
        ),
    ]


def with_core_total(parts: list[Need], role: str, carrier: str) -> list[Need]:
    """Adds up the processor time of requests and tokens.

    :param parts: lines of one role
    :param role: the role
    :param carrier: dotted path of the class that does the work
    :return: the lines, followed by their total
    """
    cores = [need.value for need in parts if need.unit == "core"]
    arithmetic = " + ".join(show(value) for value in cores)
    total = sum(cores)
    what = "requests and tokens together"
    return [*parts, Need(role, what, arithmetic, total, "core", 1.0, carrier)]


def common_needs(costs: Costs, role: str) -> list[Need]:
    """Computes what every daemon needs for control traffic.

    :param costs: measured costs
    :param role: ``entry`` or ``agent``
    :return: the lines
    """
    rest = costs.measured.rest_kb[role]
    total = sum(rest.values())
    own = rest["godwitloft modules"] + rest["godwitloft daemon"]
    libraries = total - own - rest["interpreter"]
    changes = f"{show(CHANGES_PER_S)} changes/s"
    return [
        Need(
            role,
            "memory at rest",
            f"interpreter {show(rest['interpreter'] / KB_PER_MB)}"
            f" + libraries {show(libraries / KB_PER_MB)}"
            f" + godwitloft {show(own / KB_PER_MB)} MB",
            total / KB_PER_MB,
            "MB",
            TARGET_MB,
            f"godwitloft.{role}.main",
        ),
        Need(
            role,
            "configuration held",
            f"{show(TEAMS)} teams x"
            f" {show(costs.slope('snapshot_held'))} bytes",
            costs.cost_at("snapshot_held", TEAMS) / BYTES_PER_MB,
            "MB",
            TARGET_MB,
            "godwitloft.objects.lookup.build",
        ),
        Need(
            role,
            "configuration changes",
            f"{changes} x ({show(costs.slope('feed_change'))} us of the feed"
            f" + {show(costs.change_us)} us at {show(TEAMS)} teams)",
            CHANGES_PER_S
            * (costs.slope("feed_change") + costs.change_us)
            / US_PER_S,
            "core",
            TARGET_CORES,
            "godwitloft.coordination.feed.Feed.on_snapshot",
        ),
        Need(
            role,
            "configuration changes sent",
            f"{changes} x {show(costs.slope('feed_bytes'))} bytes",
            CHANGES_PER_S * costs.slope("feed_bytes"),
            "bytes/s",
            TARGET_BYTES_PER_S,
            "godwitloft.coordination.feed.Feed.on_snapshot_wanted",
        ),
        Need(
            role,
            "instance list read",
            f"{show(PROCESSES)} instances x"
            f" {show(costs.slope('list_bytes'))} bytes"
            f" / {show(LIST_INTERVAL_S)} s",
            costs.list_bytes / LIST_INTERVAL_S,
            "bytes/s",
            TARGET_BYTES_PER_S,
            "godwitloft.runtime.discovery.Discovery.read",
        ),
    ]


def entry_needs(costs: Costs) -> list[Need]:
    """Computes the cost of requests at an entry.

    :param costs: measured costs
    :return: the lines
    """
    bid_us = costs.codec_us("encode_bid", "encode_withdraw")
    dispatch_us = costs.codec_us("encode_dispatch")
    request_us = (
        costs.slope("desk_request") + bid_targets.SUBSET_AGENTS * bid_us
    )
    request_us += dispatch_us
    chunk_us = costs.slope("decode_chunks") / 8
    token_us = costs.slope("desk_token") + chunk_us
    tick_us = costs.slope("desk_tick") / 100
    return [
        Need(
            "entry",
            "requests",
            f"{show(ENTRY_REQUESTS)}/s x"
            f" ({show(costs.slope('desk_request'))} us"
            f" + {bid_targets.SUBSET_AGENTS} bids x {show(bid_us)} us"
            f" + dispatch {show(dispatch_us)} us)",
            ENTRY_REQUESTS * request_us / US_PER_S,
            "core",
            1.0,
            "godwitloft.entry.request_manager.RequestManager.accept",
        ),
        Need(
            "entry",
            "tokens, one a chunk",
            f"{show(ENTRY_TOKENS)}/s x ({show(costs.slope('desk_token'))} us"
            f" + decode {show(chunk_us)} us)",
            ENTRY_TOKENS * token_us / US_PER_S,
            "core",
            1.0,
            "godwitloft.entry.request_manager.RequestManager.on_chunks",
        ),
        Need(
            "entry",
            "periodic work",
            f"{show(ENTRY_TICKS_PER_S)}/s x {show(ENTRY_STREAMS)} open x"
            f" {show(tick_us)} us",
            ENTRY_TICKS_PER_S * ENTRY_STREAMS * tick_us / US_PER_S,
            "core",
            1.0,
            "godwitloft.entry.request_manager.RequestManager.tick",
        ),
        Need(
            "entry",
            "requests remembered or waiting",
            f"{show(step_recorder.MAX_REQUESTS)} x"
            f" {show(costs.slope('desk_waiting'))} bytes (waiting, body of"
            " 2,000 bytes among them)",
            step_recorder.MAX_REQUESTS
            * costs.slope("desk_waiting")
            / BYTES_PER_MB,
            "MB",
            None,
            "godwitloft.entry.step_recorder.StepRecorder.record",
        ),
    ]


def agent_needs(costs: Costs) -> list[Need]:
    """Computes the cost of requests at an agent.

    :param costs: measured costs
    :return: the lines
    """
    decode_us = costs.codec_us("decode_bid", "decode_withdraw")
    lost_us = costs.slope("dispatcher_lost_bid")
    bid_running_us = costs.slope("dispatcher_full_bid") / 100
    bid_us = lost_us + decode_us + AGENT_STREAMS * bid_running_us
    running_us = costs.slope("dispatcher_running") / 100
    request_us = costs.slope("dispatcher_request") + AGENT_STREAMS * running_us
    tick_us = costs.slope("dispatcher_tick") / 100
    chunk_us = costs.slope("encode_chunks") / 8
    token_us = costs.slope("dispatcher_token") + chunk_us
    return [
        Need(
            "agent",
            "bids",
            f"{show(AGENT_BIDS)}/s x ({show(lost_us)} us + decode"
            f" {show(decode_us)} us + {show(AGENT_STREAMS)} running x"
            f" {show(bid_running_us)} us)",
            AGENT_BIDS * bid_us / US_PER_S,
            "core",
            1.0,
            "godwitloft.agent.dispatcher.Dispatcher.on_bid",
        ),
        Need(
            "agent",
            "requests",
            f"{show(AGENT_REQUESTS)}/s x"
            f" ({show(costs.slope('dispatcher_request'))} us"
            f" + {show(AGENT_STREAMS)} running x {show(running_us)} us)",
            AGENT_REQUESTS * request_us / US_PER_S,
            "core",
            1.0,
            "godwitloft.agent.dispatcher.Dispatcher.schedule",
        ),
        Need(
            "agent",
            "periodic work",
            f"{show(AGENT_TICKS_PER_S)}/s x {show(AGENT_STREAMS)} running x"
            f" {show(tick_us)} us",
            AGENT_TICKS_PER_S * AGENT_STREAMS * tick_us / US_PER_S,
            "core",
            1.0,
            "godwitloft.agent.dispatcher.Dispatcher.tick",
        ),
        Need(
            "agent",
            "tokens, one a chunk",
            f"{show(AGENT_TOKENS)}/s x"
            f" ({show(costs.slope('dispatcher_token'))} us"
            f" + encode {show(chunk_us)} us)",
            AGENT_TOKENS * token_us / US_PER_S,
            "core",
            1.0,
            "godwitloft.agent.dispatcher.Dispatcher.upstream_data",
        ),
    ]


def command_needs(costs: Costs) -> list[Need]:
    """Computes the cost of a publish.

    :param costs: measured costs
    :return: the lines
    """
    names = ("snapshot_parse", "snapshot_check", "snapshot_encode")
    parts = [costs.cost_at(name, TEAMS) for name in names]
    return [
        Need(
            "operators' command",
            "one publish",
            f"at {show(TEAMS)} teams: parse {show(parts[0])}"
            f" + check {show(parts[1])} + encode and hash"
            f" {show(parts[2])} us",
            sum(parts) / US_PER_S,
            "s of a core",
            None,
            "godwitloft.coordination.publish.Publisher.publish",
        ),
        Need(
            "operators' command",
            "snapshot written by each publish",
            f"{show(TEAMS)} teams x"
            f" {show(costs.slope('snapshot_bytes'))} bytes",
            costs.snapshot_bytes / BYTES_PER_MB,
            "MB",
            None,
            "godwitloft.objects.canonical.encode",
        ),
    ]


def platform_needs(costs: Costs) -> list[Need]:
    """Computes the load on the platform's service.

    :param costs: measured costs
    :return: the lines
    """
    bounds = guard.GuardSettings()
    writes = bounds.fleet_writes_per_s
    per_claim = costs.slope("claim_writes")
    reads = feed.FeedSettings().fleet_reads_per_s
    lists = discovery.FLEET_READS_PER_S
    starts = RESTARTS_PER_DAY / S_PER_DAY
    return [
        Need(
            "platform service",
            "announcements on the instance list",
            f"{show(PROCESSES)} processes / {show(ANNOUNCE_INTERVAL_S)} s",
            PROCESSES / ANNOUNCE_INTERVAL_S,
            "writes/s",
            writes,
            "godwitloft.runtime.discovery.Discovery.announce",
        ),
        Need(
            "platform service",
            "reads of the head and of the list",
            f"{show(reads)} + {show(lists)}/s, whatever the fleet",
            reads + lists,
            "reads/s",
            STORE_READS_PER_S,
            "godwitloft.coordination.feed.Feed.poll_interval_ms",
        ),
        Need(
            "platform service",
            "publishes",
            f"{show(CHANGES_PER_S)}/s x {PUBLISH_WRITES} writes",
            CHANGES_PER_S * PUBLISH_WRITES,
            "writes/s",
            writes,
            "godwitloft.coordination.publish.Publisher.publish",
        ),
        Need(
            "platform service",
            "starts of daemons",
            f"{show(RESTARTS_PER_DAY)} / {show(S_PER_DAY)} s x 1 write",
            starts,
            "writes/s",
            writes,
            "godwitloft.coordination.feed.Feed.start",
        ),
        Need(
            "platform service",
            "a claim a second at every entry",
            f"{show(ENTRIES)} entries x {show(per_claim)} writes",
            ENTRIES * per_claim,
            "writes/s",
            writes,
            "godwitloft.coordination.claims.Claims.claim",
        ),
        Need(
            "platform service",
            "that claim at one entry, against its even share",
            f"{show(per_claim)} writes/s; share {show(writes)} /"
            f" {show(PROCESSES)}",
            per_claim,
            "writes/s",
            writes / PROCESSES,
            "godwitloft.store.guard.Guard",
        ),
    ]


def balancer_needs() -> list[Need]:
    """Computes the load on the balancer.

    :return: the lines
    """
    return [
        Need(
            "balancer",
            "open streams to one entry",
            f"{show(TOKENS_PER_S)} tokens/s x {MS_BETWEEN_TOKENS} ms"
            f" / {show(ENTRIES)} entries",
            ENTRY_STREAMS,
            "connections",
            4096,
            "godwitloft.runtime.bounded_http",
        ),
        Need(
            "balancer",
            "requests to one entry",
            f"{show(REQUESTS_PER_S)} / {show(ENTRIES)}",
            ENTRY_REQUESTS,
            "requests/s",
            None,
            "godwitloft.entry.caller_http",
        ),
    ]


def needs(measured: slopes_module.Measured) -> list[Need]:
    """Computes all lines of the page.

    :param measured: the figures
    :return: the lines of the page
    """
    costs = Costs(measured)
    meshes = (
        ("entry", "all peers (as it is)", float(AGENTS)),
        ("entry", "subset (not wired yet)", float(SUBSET_ENTRY_LINKS)),
        ("agent", "all peers (as it is)", float(ENTRIES)),
        ("agent", "subset (not wired yet)", SUBSET_AGENT_LINKS),
    )
    linked = {
        role: [
            need
            for owner, kind, count in meshes
            if owner == role
            for need in link_needs(costs, role, kind, count)
        ]
        for role in slope_rest.ROLES
    }
    return [
        *common_needs(costs, "entry"),
        *linked["entry"],
        *with_core_total(
            entry_needs(costs),
            "entry",
            "godwitloft.entry.request_manager.RequestManager",
        ),
        *common_needs(costs, "agent"),
        *linked["agent"],
        *with_core_total(
            agent_needs(costs),
            "agent",
            "godwitloft.agent.dispatcher.Dispatcher",
        ),
        *command_needs(costs),
        *platform_needs(costs),
        *balancer_needs(),
    ]


def table(
    header: typing.Sequence[str], rows: typing.Iterable[typing.Any]
) -> str:
    """Formats a Markdown table.

    :param header: names of the columns
    :param rows: cells of each row
    :return: its lines
    """
    lines = [header, ["---"] * len(header), *rows]
    return "\n".join(f"| {' | '.join(cells)} |" for cells in lines)


def need_table(found: typing.Iterable[Need]) -> str:
    """Formats the table of all needs.

    :param found: the needs
    :return: Markdown
    """
    header = (
        "role",
        "for",
        "arithmetic",
        "need",
        "target",
        "ratio",
        "carrier",
    )
    return table(
        header,
        (
            (
                need.role,
                need.what,
                need.arithmetic,
                f"{show(need.value)} {need.unit}",
                show(need.target) if need.target else "-",
                show(need.ratio) if need.target else "-",
                f"`{need.carrier}`",
            )
            for need in found
        ),
    )


def over_table(found: typing.Iterable[Need]) -> str:
    """Formats the needs above their targets, the highest ratio first.

    :param found: the needs
    :return: Markdown
    """
    over = sorted(
        (need for need in found if need.ratio > 1),
        key=lambda need: -need.ratio,
    )
    return table(
        ("ratio", "role", "for", "need", "target"),
        (
            (
                show(need.ratio),
                need.role,
                need.what,
                f"{show(need.value)} {need.unit}",
                show(need.target or 0.0),
            )
            for need in over
        ),
    )


def slope_table(slopes: typing.Iterable[slope_fit.Slope]) -> str:
    """Formats the table of the measured slopes.

    :param slopes: all of them
    :return: Markdown
    """
    return table(
        ("slope", "per", "at sizes", "unit", "slope", "error", "at 0"),
        (
            (
                fitted.name,
                fitted.per,
                ", ".join(f"{size:,}" for size in fitted.sizes),
                fitted.unit,
                show(fitted.slope),
                show(fitted.error),
                show(fitted.base),
            )
            for fitted in slopes
        ),
    )


def rest_table(
    rest_kb: typing.Mapping[str, typing.Mapping[str, float]],
) -> str:
    """Formats the breakdown of the memory of idle daemons.

    :param rest_kb: kibibytes that each step adds, by role
    :return: Markdown
    """
    roles = tuple(rest_kb)
    steps = tuple(rest_kb[roles[0]])
    return table(
        ("step", *(f"{role}, MB" for role in roles)),
        (
            (
                step,
                *(show(rest_kb[role][step] / KB_PER_MB) for role in roles),
            )
            for step in steps
        ),
    )


def render(measured: slopes_module.Measured) -> str:
    """Renders the page.

    :param measured: the figures
    :return: Markdown
    """
    found = needs(measured)
    text = string.Template(NOTES.read_text(encoding="utf-8"))
    return text.substitute(
        needs=need_table(found),
        over=over_table(found),
        slopes=slope_table(measured.slopes.values()),
        rest=rest_table(measured.rest_kb),
        python=measured.python,
        processors=measured.processors,
        streams=show(STREAMS),
        entry_streams=show(ENTRY_STREAMS),
        agent_streams=show(AGENT_STREAMS),
        entry_requests=show(ENTRY_REQUESTS),
        entry_tokens=show(ENTRY_TOKENS),
        agent_requests=show(AGENT_REQUESTS),
        agent_tokens=show(AGENT_TOKENS),
        processes=show(PROCESSES),
        pool_agents=show(POOL_AGENTS),
        zone_agents=show(AGENTS / ZONES),
        zone_entries=show(ENTRIES / ZONES),
        zone_growth=show(ZONES / (ZONES - 1)),
        zone_starts_s=show(
            PROCESSES / ZONES / guard.GuardSettings().fleet_writes_per_s
        ),
        claims_per_s=show(
            guard.GuardSettings().fleet_writes_per_s
            / measured.slopes["claim_writes"].slope
        ),
        announce_s=show(ANNOUNCE_INTERVAL_S),
        listed_s=show(ANNOUNCE_INTERVAL_S * discovery.TIME_TO_LIVE_INTERVALS),
        silence_ms=show(hub.SILENCE_TIMEOUT_MS),
        spread_ms=show(max(measured.slopes["feed_spread"].costs)),
        spread_daemons=show(max(measured.slopes["feed_spread"].sizes)),
    )
