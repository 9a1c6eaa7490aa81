"""The command ``godwitloft-standalone``: entry and agents in one process.

An entry and one agent for each engine run on one reactor and communicate
over loopback links, as they would on separate instances. Without a settings
file a small default set of objects is used: three tiers, one model service
and one team whose key is ``demo``.
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
    """Returns the objects used without a settings file.

    :return: a complete set
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
    """Settings of a standalone process.

    :param listen: address and port for callers
    :param objects: files or directories of objects; empty: a small default
        set
    :param engines: URLs of the engines, with IP addresses
    :param pool: name of the pool that the engines belong to
    :param log: level and style of the log
    """

    listen: settings_module.Listen = settings_module.Listen()
    objects: tuple[str, ...] = ()
    engines: tuple[str, ...] = ()
    pool: str = POOL
    log: settings_module.Log = settings_module.Log()


class Standalone:
    """An entry and its agents on one reactor.

    :param reactor: the twisted reactor
    :param settings: validated settings
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
        """Starts stand-in engines of different speeds in this process.

        :param count: number of engines
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

        :param engine_urls: URLs of the engines
        :return: the port for callers
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
        """Starts the agent of one engine.

        :param number: number of the engine, from 1
        :param url: URL of the engine
        :return: the agent as a peer in the settings of the entry
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

    def is_draining(self) -> bool:
        """Returns whether it drains."""
        return self.entry is not None and self.entry.is_draining()

    def drain(self, done: typing.Callable[[], None]) -> None:
        """Refuses new requests and finishes the accepted ones.

        :param done: called once all are finished or the limit has passed
        """
        if self.entry is None:
            done()
        else:
            self.entry.drain(done)

    def stop(self) -> None:
        """Closes everything immediately."""
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
    """Parses an address and a port.

    :param text: ``ADDRESS:PORT``
    :return: the address and the port
    :raises errors.UserError: if the text has another form
    """
    address, _, port = text.rpartition(":")
    if not address or not port.isdigit():
        raise errors.UserError(f"--listen: {text!r} is not ADDRESS:PORT")
    return settings_module.Listen(address, int(port))


@cappa.command(name="serve", help="Serve callers.")
@dataclasses.dataclass(frozen=True)
class Serve:
    """Serves callers until a signal stops it.

    :param listen: address and port for callers; overrides the settings
    :param engine: URL of an engine; may be repeated
    :param standin_engines: number of stand-in engines to start as well
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
        """Reads the settings and runs the process."""
        settings = read_settings(self.settings)
        if self.listen:
            settings = dataclasses.replace(
                settings, listen=parse_listen(self.listen)
            )
        urls = (*settings.engines, *self.engine)
        if not urls and not self.standin_engines:
            raise errors.UserError("no engine is given: use --engine URL")
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
                start=start,
                drain=standalone.drain,
                is_draining=standalone.is_draining,
                stop=process.stopper(reactor, standalone.stop),
            ),
        )


@dataclasses.dataclass(frozen=True)
class DemoAnswer:
    """One answer in the demo.

    :param tier: tier of the request
    :param stream: whether the answer was streamed
    :param status: HTTP status
    :param text: the generated text, or the error
    :param elapsed_ms: time from request to answer
    """

    tier: str
    stream: bool
    status: int
    text: str
    elapsed_ms: int


def answer_text(content: bytes, stream: bool) -> str:
    """Returns the generated text of an answer in OpenAI format.

    :param content: body of the answer
    :param stream: whether it is an event stream
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
    """Sends one request of the demo.

    :param url: URL of the entry
    :param tier: tier of the request
    :param number: number of the request; odd ones are streamed
    :param clock: source of the time
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

    :param answers: all answers of the demo
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
        """Runs the demo; exits with 1 if an answer is missing or failed."""
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
    :param standalone: started entry and agents
    :return: fires when all links are up, or after
        :data:`LINK_WAIT_LIMIT_MS`
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
    """Checks a settings file and prints what is wrong with it.

    :param settings: name of the settings file
    """

    settings: typing.Annotated[str, cappa.Arg(help="Settings file (JSON).")]

    def __call__(self) -> None:
        """Prints ``ok``, or exits with 2 and the reason."""
        read_settings(self.settings)
        print("ok")


@cappa.command(
    name="godwitloft-standalone",
    help="Entry and agents in one process, in front of engines.",
)
@dataclasses.dataclass(frozen=True)
class Command:
    """The command line of the program.

    :param command: the subcommand
    """

    command: cappa.Subcommands[Serve | Demo | CheckSettings]


COMMANDS = ("serve", "demo", "check-settings")


def main(arguments: list[str] | None = None) -> None:
    """Runs the command line; options without a command mean ``serve``.

    :param arguments: words after the program's name; default: those of the
        process
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
