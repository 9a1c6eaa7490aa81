"""Baseline router that pushes requests to the engine with the least load.

It ignores tiers and deadlines and forwards every request immediately, in
order of arrival. Load reports are polled every second, so that they are up
to a second old; requests sent since the last report are added to them.
"""

import argparse
import itertools
import json
import random
import typing

from klein import Klein
import treq
from twisted.internet import defer
from twisted.internet import protocol
from twisted.internet import reactor as default_reactor
from twisted.internet import task
from twisted.python import failure
from twisted.web import client
from twisted.web import http_headers
from twisted.web import server

reactor: typing.Any = default_reactor

POLL_S = 1.0


class Router:
    """Chooses an engine for each request.

    :param engines: URLs of the engines
    :param name: unique name of this router
    :param seed: breaks ties
    """

    def __init__(
        self, engines: typing.Sequence[str], name: str, seed: int
    ) -> None:
        self.engines = list(engines)
        self.name = name
        self.rng = random.Random(seed)
        self.numbers = itertools.count(1)
        self.reported_load = dict.fromkeys(self.engines, 0)
        self.sent_since_report = dict.fromkeys(self.engines, 0)
        self.agent = client.Agent(reactor)

    async def poll(self, engine: str) -> None:
        """Reads one engine's load report.

        :param engine: URL of the engine
        """
        response = await treq.get(f"{engine}/load", agent=self.agent)
        report = await treq.json_content(response)
        self.reported_load[engine] = report["running"] + report["waiting"]
        self.sent_since_report[engine] = 0

    def poll_all(self) -> None:
        """Polls the load reports of all engines; failed polls are ignored."""
        for engine in self.engines:
            attempt = defer.ensureDeferred(self.poll(engine))
            attempt.addErrback(lambda _failure: None)

    def choose(self) -> str:
        """Returns the engine with the least load.

        :return: its URL
        """
        loads = {
            engine: self.reported_load[engine] + self.sent_since_report[engine]
            for engine in self.engines
        }
        least = min(loads.values())
        engine = self.rng.choice(
            [engine for engine in self.engines if loads[engine] == least]
        )
        self.sent_since_report[engine] += 1
        return engine

    async def forward(self, request: typing.Any) -> None:
        """Forwards a request to an engine and the response to the caller.

        :param request: the caller's HTTP request
        """
        request_id = f"{self.name}-{next(self.numbers)}"
        request.setHeader("X-Request-Id", request_id)
        response = await treq.post(
            self.choose() + request.path.decode(),
            data=request.content.read(),
            headers=http_headers.Headers(
                {
                    "Content-Type": ["application/json"],
                    "X-Request-Id": [request_id],
                }
            ),
            agent=self.agent,
            unbuffered=True,
        )
        request.setResponseCode(response.code)
        kind = response.headers.getRawHeaders("content-type", [""])[0]
        request.setHeader("Content-Type", kind)
        done: defer.Deferred[None] = defer.Deferred()
        copier = BodyCopier(request, done)
        request.notifyFinish().addErrback(
            lambda _failure: copier.on_caller_disconnected()
        )
        response.deliverBody(copier)
        await done


class BodyCopier(protocol.Protocol):
    """Copies a response body to a caller.

    :param request: the caller's HTTP request
    :param done: fires at the end of the body
    """

    def __init__(
        self, request: typing.Any, done: defer.Deferred[None]
    ) -> None:
        self.request = request
        self.done = done
        self.is_caller_gone = False

    def dataReceived(self, data: bytes) -> None:
        """Copies a chunk.

        :param data: the chunk
        """
        if not self.is_caller_gone:
            self.request.write(data)

    def on_caller_disconnected(self) -> None:
        """Closes the connection to the engine, which cancels the run."""
        self.is_caller_gone = True
        transport = typing.cast(typing.Any, self.transport)
        if transport is not None:
            transport.abortConnection()

    def connectionLost(
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Ends the response.

        :param reason: reason that Twisted gives
        """
        if not reason.check(client.ResponseDone) and not self.is_caller_gone:
            self.request.loseConnection()
        self.done.callback(None)


def main() -> None:
    """Serves requests until the process is stopped."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--engine", action="append", required=True)
    parser.add_argument("--name", required=True)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    router = Router(arguments.engine, arguments.name, arguments.seed)
    app = Klein()

    @app.route("/v1/completions", methods=["POST"])
    def completions(request: typing.Any) -> typing.Any:
        return defer.ensureDeferred(router.forward(request))

    port = reactor.listenTCP(
        0, server.Site(app.resource()), interface="127.0.0.1"
    )
    task.LoopingCall(router.poll_all).start(POLL_S)
    address = f"127.0.0.1:{port.getHost().port}"
    print(json.dumps({"listening": address}), flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
