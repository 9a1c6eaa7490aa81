"""HTTP paths of the stand-in engine other than completions.

Some are those of a real engine (load, cache events, runs, KV cache, orders);
others are only for tests (faults and the ledger).
"""

import dataclasses
import typing

from klein import Klein
from twisted.internet import defer
from twisted.web import iweb

from godwitloft import decode
from godwitloft.policy import prefix
from godwitloft.standins import engine as engines
from godwitloft.standins import http
from godwitloft.standins import orders


@dataclasses.dataclass(frozen=True)
class Control:
    """A fault to inject; absent keys change nothing.

    :param slow_factor: factor on the duration of every step
    :param stall_ms: time for which all work stops
    :param leaving: whether new requests are refused with 503
    :param crash: whether to crash immediately
    :param break_runs: number of next runs that are aborted
    :param break_after_tokens: tokens after which they are aborted
    :param fail_requests: number of next requests that are refused
    :param fail_status: HTTP status of those refusals
    """

    slow_factor: float | None = None
    stall_ms: float | None = None
    leaving: bool | None = None
    crash: bool = False
    break_runs: int = 0
    break_after_tokens: int = 1
    fail_requests: int = 0
    fail_status: int = 500


def apply(engine: engines.Engine, control: Control) -> None:
    """Injects a fault into an engine.

    :param engine: the engine
    :param control: the changes
    """
    if control.slow_factor is not None:
        engine.slow_factor = control.slow_factor
    if control.stall_ms is not None:
        engine.stall(control.stall_ms)
    if control.leaving is not None:
        engine.leaving = control.leaving
    engine.pending_breaks.extend(
        [control.break_after_tokens] * control.break_runs
    )
    engine.pending_failures.extend(
        [control.fail_status] * control.fail_requests
    )
    if control.crash:
        engine.crash()


def add_routes(app: Klein, engine: engines.Engine) -> None:
    """Adds the paths to an application.

    :param app: the engine's application
    :param engine: the engine behind it
    """
    _add_reports(app, engine)
    _add_runs(app, engine)
    _add_kv(app, engine)
    _add_orders(app, engine)
    _add_control(app, engine)


def _add_reports(app: Klein, engine: engines.Engine) -> None:
    @app.route("/health", methods=["GET"])
    def health(request: iweb.IRequest) -> bytes:
        status = 503 if engine.leaving else 200
        return http.reply(request, {"leaving": engine.leaving}, status)

    @app.route("/load", methods=["GET"])
    def load(request: iweb.IRequest) -> bytes:
        return http.reply(request, dataclasses.asdict(engine.load()))

    @app.route("/cache-events", methods=["GET"])
    def cache_events(request: iweb.IRequest) -> bytes:
        after = http.number_argument(request, "after")
        events = engine.cache.events_after(after, engine.now_ms())
        return http.reply(
            request,
            {
                "incarnation": engine.crashes,
                "events": [
                    {
                        "number": event.number,
                        "kind": event.kind,
                        "keys": event.keys,
                    }
                    for event in events
                ],
            },
        )

    @app.route("/ledger", methods=["GET"])
    def ledger(request: iweb.IRequest) -> bytes:
        runs = [dataclasses.asdict(run) for run in engine.runs()]
        return http.reply(request, {"runs": runs})


def _add_runs(app: Klein, engine: engines.Engine) -> None:
    actions: dict[str, typing.Callable[[engines.Run], None]] = {
        "suspend": engine.suspend,
        "resume": engine.resume,
        "cancel": engine.cancel,
    }

    @app.route("/runs/<run_id>/<action>", methods=["POST"])
    def act(request: iweb.IRequest, run_id: str, action: str) -> bytes:
        if action not in actions:
            return http.refuse(request, 404, f"unknown action {action!r}")
        if action != "cancel" and not engine.settings.resumable:
            return http.refuse(request, 501, "runs can't be suspended here")
        run = engine.find(run_id)
        if run is None:
            return http.refuse(request, 404, f"run {run_id!r} is not here")
        actions[action](run)
        return http.reply(request, dataclasses.asdict(run.entry()))


def _add_kv(app: Klein, engine: engines.Engine) -> None:
    @app.route("/kv/export", methods=["POST"])
    def export(request: iweb.IRequest) -> bytes:
        body = http.read_json(request) or {}
        keys = prefix.prefix_keys(prefix.prompt_text(body))
        block_count = engine.cache.match(keys)
        return http.reply(
            request,
            {
                "model": engine.orders.loaded.model,
                "keys": keys[:block_count],
                "tokens": block_count * prefix.BLOCK_WORDS,
            },
        )

    @app.route("/kv/import", methods=["POST"])
    def take_in(request: iweb.IRequest) -> bytes:
        body = http.read_json(request) or {}
        model = body.get("model")
        if model != engine.orders.loaded.model:
            return http.refuse(request, 409, f"model {model!r} isn't loaded")
        keys = body.get("keys")
        if not isinstance(keys, list) or set(map(type, keys)) - {int}:
            return http.refuse(request, 400, "keys: not a list of numbers")
        engine.cache.store(keys, engine.now_ms())
        return http.reply(request, {"stored": len(keys)})


def _add_orders(app: Klein, engine: engines.Engine) -> None:
    @app.route("/orders", methods=["GET"])
    def show(request: iweb.IRequest) -> bytes:
        book = engine.orders
        return http.reply(
            request,
            {
                "loaded": dataclasses.asdict(book.loaded),
                "loading": book.loading,
                "highest_fencing": book.highest_fencing,
                "orders": [
                    dataclasses.asdict(record) for record in book.records
                ],
            },
        )

    @app.route("/orders", methods=["POST"])
    def give(request: iweb.IRequest) -> typing.Any:
        try:
            order = decode.decode(
                orders.Order, http.read_json(request), "order"
            )
        except decode.DecodeError as error:
            return http.refuse(request, 400, str(error))
        finished: defer.Deferred[bytes] = defer.Deferred()

        def on_done(record: orders.OrderRecord) -> None:
            status = 200 if record.state == orders.APPLIED else 409
            body = dataclasses.asdict(record)
            body["highest_fencing"] = engine.orders.highest_fencing
            if not finished.called:
                finished.callback(http.reply(request, body, status))

        engine.submit_order(order, on_done)
        return finished


def _add_control(app: Klein, engine: engines.Engine) -> None:
    @app.route("/control", methods=["POST"])
    def control(request: iweb.IRequest) -> bytes:
        try:
            change = decode.decode(Control, http.read_json(request), "control")
        except decode.DecodeError as error:
            return http.refuse(request, 400, str(error))
        apply(engine, change)
        return http.reply(request, {})
