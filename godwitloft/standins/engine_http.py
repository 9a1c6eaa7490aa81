"""OpenAI-style completions of the stand-in engine over HTTP."""

import json
import os
import typing

from klein import Klein
from twisted.internet import defer
from twisted.internet import interfaces
from twisted.web import iweb
from twisted.web import server

from godwitloft.policy import prefix
from godwitloft.standins import answers
from godwitloft.standins import engine as engines
from godwitloft.standins import engine_control
from godwitloft.standins import http

CRASH_EXIT_STATUS = 70
PLACEHOLDER = "@"


def listen(
    engine: engines.Engine,
    reactor: typing.Any,
    address: str = "127.0.0.1",
    port: int = 0,
) -> http.Listener:
    """Returns the engine's server, not yet started.

    While the engine is down after a crash, connections are refused.

    :param engine: the engine to serve
    :param reactor: opens ports and provides timers
    :param address: IP address
    :param port: TCP port, 0 for a free one
    :return: the listener; call its ``start``
    """
    listener = http.Listener(reactor, site(engine, reactor), address, port)

    def close() -> None:
        if engine.settings.exit_on_crash:
            os._exit(CRASH_EXIT_STATUS)
        listener.close_for(engine.settings.down_ms / engines.MS_PER_S)

    engine.on_crash.append(close)
    return listener


def site(
    engine: engines.Engine, reactor: interfaces.IReactorTime
) -> server.Site:
    """Returns the HTTP server factory of an engine.

    :param engine: the engine to serve
    :param reactor: reactor or clock for the timeouts of connections
    :return: a factory of HTTP connections
    """
    return server.Site(resource(engine), reactor=reactor)


def resource(engine: engines.Engine) -> typing.Any:
    """Returns the engine's paths as a web resource.

    :param engine: the engine to serve
    :return: the root resource
    """
    app = Klein()

    @app.route("/v1/models", methods=["GET"])
    def models(request: iweb.IRequest) -> bytes:
        data = [{"id": name, "object": "model"} for name in _names(engine)]
        return http.reply(request, {"object": "list", "data": data})

    @app.route("/v1/chat/completions", methods=["POST"])
    def chat_completions(request: iweb.IRequest) -> typing.Any:
        return _complete(engine, request, chat=True)

    @app.route("/v1/completions", methods=["POST"])
    def completions(request: iweb.IRequest) -> typing.Any:
        return _complete(engine, request, chat=False)

    engine_control.add_routes(app, engine)
    return app.resource()


def _names(engine: engines.Engine) -> list[str]:
    loaded = engine.orders.loaded
    return [name for name in (loaded.model, loaded.adapter) if name]


def _complete(
    engine: engines.Engine, request: typing.Any, chat: bool
) -> typing.Any:
    if engine.leaving:
        return http.refuse(request, 503, "the engine is leaving")
    if engine.pending_failures:
        return http.refuse(
            request, engine.pending_failures.popleft(), "told to fail"
        )
    body = http.read_json(request)
    if body is None:
        return http.refuse(request, 400, "the body is not a JSON object")
    if body.get("model") not in _names(engine):
        return http.refuse(
            request, 404, f"model {body.get('model')!r} is not loaded"
        )
    max_tokens = body.get("max_completion_tokens", body.get("max_tokens"))
    if max_tokens is None:
        max_tokens = engine.settings.default_max_tokens
    if type(max_tokens) is not int or max_tokens < 1:
        return http.refuse(
            request,
            400,
            f"max_tokens: {max_tokens!r} is not a positive number",
        )
    prompt = prefix.prompt_text(body)
    if len(prompt.split()) + max_tokens > engine.settings.kv_tokens:
        return http.refuse(request, 400, "the context is too long")
    return _start(engine, request, body, prompt, max_tokens, chat)


def _start(
    engine: engines.Engine,
    request: typing.Any,
    body: http.Json,
    prompt: str,
    max_tokens: int,
    chat: bool,
) -> defer.Deferred[None]:
    finished: defer.Deferred[None] = defer.Deferred()
    connected = True
    digest = answers.prompt_digest(prompt)
    streamed = bool(body.get("stream"))
    run_id = request.getHeader(http.REQUEST_ID_HEADER) or engine.new_run_id()
    render = _renderer(run_id, str(body["model"]), chat, streamed)
    before, after = _split_event(render)

    def on_tokens(first: int, end: int) -> None:
        if streamed:
            request.write(
                b"".join(
                    before
                    + engines.new_tokens(digest, index, index + 1).encode()
                    + after
                    for index in range(first, end)
                )
            )

    def on_end(outcome: str) -> None:
        if outcome != engines.COMPLETED:
            if connected:
                request.transport.abortConnection()
        elif streamed:
            request.write(_event(render("", "length")))
            request.write(b"data: [DONE]\n\n")
        else:
            request.write(full_answer())
        if not finished.called:
            finished.callback(None)

    def full_answer() -> bytes:
        text = engines.new_tokens(digest, 0, run.generated)
        usage = {
            "prompt_tokens": run.prompt_tokens,
            "completion_tokens": run.generated,
            "total_tokens": run.prompt_tokens + run.generated,
            "prompt_tokens_details": {"cached_tokens": run.cached},
        }
        answer = render(text, "length") | {"usage": usage}
        return json.dumps(answer).encode()

    def on_disconnect(_: object) -> None:
        nonlocal connected
        connected = False
        engine.cancel(run)

    run = engines.Run(
        run_id=run_id,
        prompt=prompt,
        max_tokens=max_tokens,
        on_tokens=on_tokens,
        on_end=on_end,
    )
    request.setHeader(http.REQUEST_ID_HEADER, run_id)
    request.setHeader(
        "Content-Type",
        "text/event-stream" if streamed else "application/json",
    )
    request.notifyFinish().addErrback(on_disconnect)
    engine.submit(run)
    return finished


def _renderer(
    run_id: str, model: str, chat: bool, streamed: bool
) -> typing.Callable[[str, str | None], http.Json]:
    kind = "chat.completion" if chat else "text_completion"
    if chat and streamed:
        kind = "chat.completion.chunk"
    key = "delta" if streamed else "message"
    head = {"id": run_id, "object": kind, "created": 0, "model": model}

    def render(text: str, finish_reason: str | None) -> http.Json:
        choice: http.Json = {"index": 0, "finish_reason": finish_reason}
        if chat:
            choice[key] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return head | {"choices": [choice]}

    return render


def _event(value: http.Json) -> bytes:
    return b"data: " + json.dumps(value).encode() + b"\n\n"


def _split_event(
    render: typing.Callable[[str, str | None], http.Json],
) -> tuple[bytes, bytes]:
    """Splits the event of a token into the parts around its text.

    Formatting the event of every token took most of the engine's time.
    """
    event = _event(render(PLACEHOLDER, None))
    before, _, after = event.rpartition(f'"{PLACEHOLDER}"'.encode())
    return before + b'"', b'"' + after
