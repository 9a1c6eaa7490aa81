"""The HTTP side of the stand-in engine, in the style of OpenAI."""

import itertools
import json
import typing

from klein import Klein
from twisted.internet import defer
from twisted.internet import interfaces
from twisted.web import iweb
from twisted.web import server

from godwitloft.policy import prefix
from godwitloft.standins import engine as engines

REQUEST_ID_HEADER = "X-Request-Id"

Json = dict[str, typing.Any]


def site(
    engine: engines.Engine, reactor: interfaces.IReactorTime
) -> server.Site:
    """Returns what serves an engine on any listening port.

    :param engine: the engine behind it
    :param reactor: the reactor or clock that times connections out
    :return: a factory of HTTP connections
    """
    return server.Site(resource(engine), reactor=reactor)


def resource(engine: engines.Engine) -> typing.Any:
    """Returns the engine's paths as a web resource.

    :param engine: the engine behind them
    :return: a resource to be served at the root
    """
    app = Klein()
    numbers = itertools.count(1)

    @app.route("/v1/models", methods=["GET"])
    def models(request: iweb.IRequest) -> bytes:
        model = {"id": engine.settings.model, "object": "model"}
        return reply(request, {"object": "list", "data": [model]})

    @app.route("/v1/chat/completions", methods=["POST"])
    def chat(request: iweb.IRequest) -> typing.Any:
        return complete(request, chat=True)

    @app.route("/v1/completions", methods=["POST"])
    def plain(request: iweb.IRequest) -> typing.Any:
        return complete(request, chat=False)

    def complete(request: iweb.IRequest, chat: bool) -> typing.Any:
        body = read_json(request)
        if body is None:
            return refuse(request, 400, "the body is not a JSON object")
        if body.get("model") != engine.settings.model:
            return refuse(request, 404, f"unknown model {body.get('model')!r}")
        run_id = request.getHeader(REQUEST_ID_HEADER) or f"run-{next(numbers)}"
        return _start(engine, request, body, run_id, chat)

    return app.resource()


def read_json(request: typing.Any) -> Json | None:
    """Returns the JSON object in a request's body.

    :param request: a request whose body has arrived
    :return: the object, or None when the body is anything else
    """
    try:
        body = json.loads(request.content.read())
    except ValueError:
        return None
    return body if isinstance(body, dict) else None


def reply(request: typing.Any, body: object, status: int = 200) -> bytes:
    """Prepares a JSON answer.

    :param request: the request answered
    :param body: what JSON can hold
    :param status: HTTP status
    :return: the answer's body
    """
    request.setResponseCode(status)
    request.setHeader("Content-Type", "application/json")
    return json.dumps(body).encode()


def refuse(request: typing.Any, status: int, message: str) -> bytes:
    """Prepares an error in the style of OpenAI.

    :param request: the request refused
    :param status: HTTP status
    :param message: why
    :return: the answer's body
    """
    return reply(request, {"error": {"message": message}}, status)


def _start(
    engine: engines.Engine,
    request: typing.Any,
    body: Json,
    run_id: str,
    chat: bool,
) -> defer.Deferred[None]:
    finished: defer.Deferred[None] = defer.Deferred()
    stream = bool(body.get("stream"))
    kind = "chat.completion" if chat else "text_completion"
    head = {"id": run_id, "object": kind, "model": engine.settings.model}
    if stream and chat:
        head["object"] = "chat.completion.chunk"
    wanted = body.get("max_completion_tokens") or body.get("max_tokens")

    def event(choice: Json) -> bytes:
        return (
            b"data: %s\n\n"
            % json.dumps(head | {"choices": [{"index": 0} | choice]}).encode()
        )

    def piece(text: str) -> Json:
        if not chat:
            return {"text": text}
        return {"delta" if stream else "message": _message(text)}

    def on_tokens(first: int, end: int) -> None:
        if stream:
            request.write(
                b"".join(
                    event(
                        piece(engines.new_tokens(run, index, index + 1))
                        | {"finish_reason": None}
                    )
                    for index in range(first, end)
                )
            )

    def on_end(outcome: str) -> None:
        if outcome != "completed":
            if request.transport is not None:
                request.transport.abortConnection()
        elif stream:
            request.write(event(piece("") | {"finish_reason": "length"}))
            request.write(b"data: [DONE]\n\n")
        else:
            request.write(whole())
        if not finished.called:
            finished.callback(None)

    def whole() -> bytes:
        text = engines.new_tokens(run, 0, run.generated)
        choice = {"index": 0, "finish_reason": "length"} | piece(text)
        usage = {
            "prompt_tokens": run.prompt_tokens,
            "completion_tokens": run.generated,
            "total_tokens": run.prompt_tokens + run.generated,
        }
        return json.dumps(
            head | {"choices": [choice], "usage": usage}
        ).encode()

    run = engines.Run(
        run_id=run_id,
        prompt=prefix.prompt_text(body),
        max_tokens=int(wanted or engine.settings.default_max_tokens),
        on_tokens=on_tokens,
        on_end=on_end,
    )
    request.setHeader(REQUEST_ID_HEADER, run_id)
    content_type = "text/event-stream" if stream else "application/json"
    request.setHeader("Content-Type", content_type)
    request.notifyFinish().addErrback(lambda _: engine.cancel(run))
    engine.submit(run)
    return finished


def _message(text: str) -> Json:
    return {"role": "assistant", "content": text}
