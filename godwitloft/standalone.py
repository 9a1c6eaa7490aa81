"""The command ``godwitloft-standalone``: all parts in one process.

An entry and one agent beside each engine run on one reactor and talk over
loopback links, as they would on instances of their own. Without a settings
file the objects are a small default: three tiers, one model service and one
team whose key is ``demo``.
"""

import collections
import dataclasses
import hashlib
import json
import sys
import typing

import cappa
import treq
from twisted.internet import defer
from twisted.web import http_headers

from godwitloft import clock as clocks
from godwitloft import decode
from godwitloft import defaults
from godwitloft import errors
from godwitloft import events
from godwitloft import metrics
from godwitloft import settings as settings_module
from godwitloft.agent import daemon as agent_daemons
from godwitloft.entry import daemon as entry_daemons
from godwitloft.objects import parse
from godwitloft.objects import types
from godwitloft.runtime import node as nodes
from godwitloft.runtime import polling
from godwitloft.runtime import process
from godwitloft.standins import engine as engines
from godwitloft.standins import engine_http

DEMO_KEY = "demo"
DEMO_TIERS = ("urgent", "normal", "batch")
DEMO_ENGINES = 3
DEMO_REQUESTS_A_TIER = 8
DEMO_TOKENS = 12
DEMO_PROMPT_WORDS = 40
LINK_WAIT_LIMIT_MS = 5_000
MODEL = "bean-model"
POOL = "engines"


def default_objects() -> types.ObjectSet:
    """Returns the objects that are in force without a settings file.

    :return: a whole set
    """
    return types.ObjectSet(
        tiers=tuple(
            types.Tier(name=name, rank=rank)
            for rank, name in enumerate(DEMO_TIERS)
        ),
        services=(
            types.Service(
                name=MODEL,
                kind=types.ServiceKind.MODEL,
                pools=(POOL,),
                tier="normal",
            ),
        ),
        teams=(
            types.Team(
                name="demo",
                key_hashes=(hashlib.sha256(DEMO_KEY.encode()).hexdigest(),),
                tiers=DEMO_TIERS,
            ),
        ),
        pools=(
            types.Pool(name=POOL, kind=types.ServiceKind.MODEL, max_running=8),
        ),
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class StandaloneSettings:
    """What a standalone process is told in a file.

    :param listen: where callers reach it
    :param objects: files or directories of objects; empty: a small default
    :param engines: URLs of the engines, with IP numbers
    :param pool: name of the pool that the engines belong to
    :param log: what is logged and how
    """

    listen: settings_module.Listen = settings_module.Listen()
    objects: tuple[str, ...] = ()
    engines: tuple[str, ...] = ()
    pool: str = POOL
    log: settings_module.Log = settings_module.Log()


class Standalone:
    """An entry and its agents on one reactor.

    :param reactor: the twisted reactor
    :param settings: checked settings
    """

    def __init__(
        self, reactor: typing.Any, settings: StandaloneSettings
    ) -> None:
        self.reactor = reactor
        self.settings = settings
        self.clock = clocks.system_clock()
        instruments, render_metrics = metrics.prometheus()
        self.dependencies = nodes.Dependencies(
            reactor=reactor,
            clock=self.clock,
            instruments=instruments,
            render_metrics=render_metrics,
            objects=(
                parse.from_files(settings.objects)
                if settings.objects
                else default_objects()
            ),
        )
        self.agents: list[agent_daemons.AgentDaemon] = []
        self.entry: entry_daemons.EntryDaemon | None = None

    def add_standin_engines(self, count: int) -> tuple[str, ...]:
        """Starts stand-in engines of unlike speed in this process.

        :param count: how many
        :return: their URLs
        """
        urls = []
        for index in range(count):
            engine = engines.Engine(
                engines.EngineSettings(
                    model=MODEL, decode_ms=10.0 * (index + 1)
                ),
                self.reactor,
            )
            port = self.reactor.listenTCP(
                0,
                engine_http.site(engine, self.reactor),
                interface=defaults.LOOPBACK_ADDRESS,
            )
            urls.append(
                f"http://{defaults.LOOPBACK_ADDRESS}:{port.getHost().port}"
            )
        return tuple(urls)

    def start(self, engine_urls: typing.Sequence[str]) -> int:
        """Starts the agents and the entry.

        :param engine_urls: where the engines answer
        :return: the port that callers reach it on
        """
        peers = [
            self.start_agent(index, url)
            for index, url in enumerate(engine_urls, 1)
        ]
        entry_settings = settings_module.EntrySettings(
            instance="entry",
            availability_zone="local",
            caller_listen=self.settings.listen,
            peers=tuple(peers),
        )
        self.entry = entry_daemons.EntryDaemon(
            entry_settings, self.dependencies
        )
        return self.entry.start()

    def start_agent(self, number: int, url: str) -> settings_module.Peer:
        """Starts the agent beside one engine.

        :param number: number of the engine, from 1
        :param url: where the engine answers
        :return: how the entry reaches the agent
        """
        name = f"agent-{number}"
        daemon = agent_daemons.AgentDaemon(
            settings_module.AgentSettings(
                instance=name,
                availability_zone="local",
                pool=self.settings.pool,
                upstream=settings_module.Upstream(
                    name=f"engine-{number}", url=url
                ),
            ),
            self.dependencies,
        )
        port = daemon.start()
        self.agents.append(daemon)
        return settings_module.Peer(
            instance=name,
            role=settings_module.PeerRole.AGENT,
            address=defaults.LOOPBACK_ADDRESS,
            port=port,
            availability_zone="local",
            pool=self.settings.pool,
        )

    def drain(self, done: typing.Callable[[], None]) -> None:
        """Refuses new requests and finishes those it has.

        :param done: called once nothing is left or the limit is over
        """
        if self.entry is None:
            done()
        else:
            self.entry.drain(done)

    def stop(self) -> None:
        """Closes everything at once."""
        for agent in self.agents:
            agent.stop()
        if self.entry is not None:
            self.entry.stop()


def read_settings(path: str) -> StandaloneSettings:
    """Reads a settings file.

    :param path: name of a JSON file, or empty for the defaults
    :return: the settings
    :raises errors.UserError: naming the file, the key and the reason
    """
    if not path:
        return StandaloneSettings()
    try:
        with open(path, "rb") as stream:
            content = stream.read(settings_module.MAX_FILE_BYTES + 1)
    except OSError as error:
        raise errors.UserError(f"{path}: {error.strerror}") from error
    try:
        value = decode.parse_json(
            content, path, settings_module.MAX_FILE_BYTES
        )
        return typing.cast(
            StandaloneSettings, decode.decode(StandaloneSettings, value, path)
        )
    except decode.DecodeError as error:
        raise errors.UserError(str(error)) from error


def parse_listen(text: str) -> settings_module.Listen:
    """Reads an address and a port.

    :param text: ``ADDRESS:PORT``
    :return: both
    :raises errors.UserError: when the text is anything else
    """
    address, _, port = text.rpartition(":")
    if not address or not port.isdigit():
        raise errors.UserError(f"--listen: {text!r} is not ADDRESS:PORT")
    return settings_module.Listen(address, int(port))


@cappa.command(name="serve", help="Serve callers.")
@dataclasses.dataclass(frozen=True)
class Serve:
    """Serves callers until a signal ends it.

    :param listen: where callers reach it, instead of the settings' place
    :param engine: URL of an engine; may be given any number of times
    :param standin_engines: how many stand-in engines to start besides
    :param settings: name of a settings file
    """

    listen: typing.Annotated[
        str, cappa.Arg(long=True, help="ADDRESS:PORT for callers.")
    ] = ""
    engine: typing.Annotated[
        list[str], cappa.Arg(long=True, help="URL of an engine.")
    ] = dataclasses.field(default_factory=list)
    standin_engines: typing.Annotated[
        int, cappa.Arg(long=True, help="Stand-in engines to start.")
    ] = 0
    settings: typing.Annotated[
        str, cappa.Arg(long=True, help="Settings file (JSON).")
    ] = ""

    def __call__(self) -> None:
        """Runs the process."""
        settings = read_settings(self.settings)
        if self.listen:
            settings = dataclasses.replace(
                settings, listen=parse_listen(self.listen)
            )
        urls = (*settings.engines, *self.engine)
        if not urls and not self.standin_engines:
            raise errors.UserError("no engine is named: use --engine URL")
        process.configure_log(settings.log)
        reactor = clocks.monotonic_reactor()
        standalone = Standalone(reactor, settings)

        def start() -> None:
            standin_urls = standalone.add_standin_engines(self.standin_engines)
            port = standalone.start(urls + standin_urls)
            address = f"{settings.listen.address}:{port}"
            print(json.dumps({"listening": address}), flush=True)

        process.run(
            reactor,
            process.Program(
                start=start, drain=standalone.drain, stop=standalone.stop
            ),
        )


@dataclasses.dataclass(frozen=True)
class DemoAnswer:
    """One answer of the demonstration.

    :param tier: tier of the request
    :param stream: whether it was streamed
    :param status: HTTP status
    :param text: the text of the answer
    :param elapsed_ms: how long it took
    """

    tier: str
    stream: bool
    status: int
    text: str
    elapsed_ms: int


def answer_text(content: bytes, stream: bool) -> str:
    """Returns the text of an answer in the style of OpenAI.

    :param content: body of the answer
    :param stream: whether it is a stream of events
    :return: the text
    """
    if not stream:
        message = json.loads(content)["choices"][0]["message"]
        return str(message["content"])
    parts = []
    for line in content.decode().splitlines():
        if line.startswith("data: ") and line != "data: [DONE]":
            choice = json.loads(line.removeprefix("data: "))["choices"][0]
            parts.append(choice["delta"].get("content", ""))
    return "".join(parts)


async def send_request(
    url: str, tier: str, number: int, clock: clocks.Clock
) -> DemoAnswer:
    """Sends one request of the demonstration.

    :param url: of the entry
    :param tier: tier of the request
    :param number: number of the request; odd ones are streamed
    :param clock: tells the time
    :return: the answer
    """
    stream = number % 2 == 1
    words = " ".join(["beans"] * DEMO_PROMPT_WORDS)
    started_ms = clock.monotonic_ms()
    response = await treq.post(
        f"{url}/v1/chat/completions",
        json={
            "model": MODEL,
            "stream": stream,
            "max_tokens": DEMO_TOKENS,
            "messages": [
                {"role": "user", "content": f"lot {tier} {number}: {words}"}
            ],
        },
        headers=http_headers.Headers(
            {"Authorization": [f"Bearer {DEMO_KEY}"], "X-Tier": [tier]}
        ),
    )
    content = await treq.content(response)
    elapsed_ms = clock.monotonic_ms() - started_ms
    ok = response.code == 200
    text = answer_text(content, stream) if ok else content.decode()
    return DemoAnswer(tier, stream, response.code, text, elapsed_ms)


def print_summary(answers: typing.Sequence[DemoAnswer]) -> None:
    """Prints the answers and a summary by tier.

    :param answers: the answers
    """
    for answer in answers:
        mode = "stream" if answer.stream else "whole"
        print(f"{answer.tier:8} {mode:6} {answer.status} {answer.text[:50]}")
    by_tier: dict[str, list[DemoAnswer]] = collections.defaultdict(list)
    for answer in answers:
        by_tier[answer.tier].append(answer)
    print(f"\n{'tier':8} {'asked':>6} {'answered':>9} {'median ms':>10}")
    for tier in DEMO_TIERS:
        members = by_tier[tier]
        answered = [answer for answer in members if answer.status == 200]
        times = sorted(answer.elapsed_ms for answer in answered) or [0]
        median_ms = times[len(times) // 2]
        print(f"{tier:8} {len(members):6} {len(answered):9} {median_ms:10}")


@cappa.command(name="demo", help="Serve a burst on stand-in engines.")
@dataclasses.dataclass(frozen=True)
class Demo:
    """Sends a burst of all tiers to stand-in engines and shows the answers."""

    def __call__(self) -> None:
        """Runs the demonstration; exit status 1 when an answer is missing."""
        events.configure("warning", "text")
        reactor = clocks.monotonic_reactor()
        standalone = Standalone(reactor, StandaloneSettings())
        answers: list[DemoAnswer] = []

        async def burst() -> None:
            urls = standalone.add_standin_engines(DEMO_ENGINES)
            port = standalone.start(urls)
            url = f"http://{defaults.LOOPBACK_ADDRESS}:{port}"
            await wait_for_links(reactor, standalone)
            requests = [
                defer.ensureDeferred(
                    send_request(url, tier, number, standalone.clock)
                )
                for number in range(DEMO_REQUESTS_A_TIER)
                for tier in reversed(DEMO_TIERS)
            ]
            answers.extend(await defer.gatherResults(requests))

        def finish(result: object) -> None:
            standalone.stop()
            typing.cast(typing.Any, reactor).callLater(0, reactor_stop)
            if result is not None:
                print(result, file=sys.stderr)

        def reactor_stop() -> None:
            typing.cast(typing.Any, reactor).stop()

        typing.cast(typing.Any, reactor).callWhenRunning(
            lambda: defer.ensureDeferred(burst()).addBoth(finish)
        )
        typing.cast(typing.Any, reactor).run()
        print_summary(answers)
        expected = DEMO_REQUESTS_A_TIER * len(DEMO_TIERS)
        answered = [answer for answer in answers if answer.status == 200]
        sys.exit(0 if len(answered) == expected else 1)


def wait_for_links(
    reactor: typing.Any, standalone: Standalone
) -> defer.Deferred[None]:
    """Waits until the entry has a link to every agent.

    :param reactor: the twisted reactor
    :param standalone: the started parts
    :return: fires when it has, or after some seconds
    """
    entry = standalone.entry
    assert entry is not None
    done: defer.Deferred[None] = defer.Deferred()
    polling.wait_until(
        reactor,
        lambda: (
            len(entry.request_manager.agents.views) == len(standalone.agents)
        ),
        LINK_WAIT_LIMIT_MS,
        lambda _in_time: done.callback(None),
    )
    return done


@cappa.command(name="check-settings", help="Check a standalone settings file.")
@dataclasses.dataclass(frozen=True)
class CheckSettings:
    """Checks a settings file and tells what is wrong with it.

    :param settings: name of the settings file
    """

    settings: typing.Annotated[str, cappa.Arg(help="Settings file (JSON).")]

    def __call__(self) -> None:
        """Prints ``ok``, or exits with 2 and the reason."""
        read_settings(self.settings)
        print("ok")


@cappa.command(
    name="godwitloft-standalone",
    help="Entry and agents in one process, before engines.",
)
@dataclasses.dataclass(frozen=True)
class Command:
    """The whole command.

    :param command: what to do
    """

    command: cappa.Subcommands[Serve | Demo | CheckSettings]


COMMANDS = ("serve", "demo", "check-settings")


def main(arguments: list[str] | None = None) -> None:
    """Runs the command line; options without a command mean ``serve``.

    :param arguments: words after the program's name
    """
    words = list(sys.argv[1:] if arguments is None else arguments)
    if (
        words
        and words[0].startswith("--")
        and words[0]
        not in (
            "--help",
            "--version",
            "--completion",
        )
    ):
        words.insert(0, "serve")
    process.invoke(Command, words)


if __name__ == "__main__":
    main()
