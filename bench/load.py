"""Sends the requests of an experiment and records the responses."""

import dataclasses
import json
import pathlib
import pickle
import sys
import time
import typing

import treq
from twisted.internet import defer
from twisted.internet import protocol
from twisted.internet import reactor as default_reactor
from twisted.internet import task
from twisted.python import failure
from twisted.web import client
from twisted.web import http_headers

from bench import cluster
from bench import processes
from bench import workload
from godwitloft import clock as clocks
from godwitloft.standins import answers

reactor: typing.Any = default_reactor

GRACE_S = 2.0
EVENT = b"data: "
DONE = b"data: [DONE]"
SENDER_COUNT = 4
START_DELAY_S = 2.0


@dataclasses.dataclass(frozen=True)
class Result:
    """Result of one request as its caller observed it.

    :param job: the request
    :param status: HTTP status, 0 when there was no response
    :param request_id: from the response header
    :param reason: why it was refused or failed
    :param not_run: whether the response promised that it was not run
    :param is_correct: whether the response is complete and correct
    :param elapsed_ms: from sending to the end of the response
    :param first_token_ms: from sending to the first chunk, for streams
    :param gaps_ms: times between chunks of a stream
    """

    job: workload.Job
    status: int
    request_id: str
    reason: str
    not_run: bool
    is_correct: bool
    elapsed_ms: int
    first_token_ms: int | None
    gaps_ms: tuple[int, ...]

    @property
    def is_timely(self) -> bool:
        """Whether the complete response arrived before the deadline."""
        return self.is_correct and self.elapsed_ms <= self.job.timeout_ms


class Body(protocol.Protocol):
    """Collects a response body and the arrival times of its chunks.

    :param clock: the clock
    :param done: fires at the end with whether the body is complete
    """

    def __init__(
        self, clock: clocks.Clock, done: defer.Deferred[bool]
    ) -> None:
        self.clock = clock
        self.done = done
        self.parts: list[bytes] = []
        self.times_ms: list[int] = []

    def dataReceived(self, data: bytes) -> None:
        """Records a chunk.

        :param data: the chunk
        """
        self.parts.append(data)
        self.times_ms.append(self.clock.monotonic_ms())

    def connectionLost(
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Reports the end of the body.

        :param reason: reason that Twisted gives
        """
        self.done.callback(bool(reason.check(client.ResponseDone)))


class LoadGenerator:
    """Sends requests at their scheduled times and collects the results.

    :param urls: of the entries, used in turn
    :param model: name of the model service
    """

    def __init__(self, urls: typing.Sequence[str], model: str) -> None:
        self.urls = list(urls)
        self.model = model
        self.clock = clocks.system_clock()
        self.agent = client.Agent(
            reactor, pool=client.HTTPConnectionPool(reactor, persistent=False)
        )
        self.results: list[Result] = []

    async def run(self, jobs: typing.Sequence[workload.Job]) -> list[Result]:
        """Sends every request and waits for all results.

        :param jobs: the requests
        :return: one result for each request, in order of completion
        """
        start_ms = self.clock.monotonic_ms()
        sending = [
            task.deferLater(
                reactor,
                max(0, job.at_ms) / clocks.MS_PER_S,
                lambda job=job: defer.ensureDeferred(self.send(job)),
            )
            for job in jobs
        ]
        await defer.gatherResults(sending)
        self.duration_ms = self.clock.monotonic_ms() - start_ms
        return self.results

    async def send(self, job: workload.Job) -> None:
        """Sends one request and records its result.

        :param job: the request
        """
        started_ms = self.clock.monotonic_ms()
        timeout_s = job.timeout_ms / clocks.MS_PER_S + GRACE_S
        attempt = defer.ensureDeferred(self.fetch(job, started_ms))
        attempt.addTimeout(timeout_s, reactor)
        try:
            result = await attempt
        except Exception as error:
            result = Result(
                job=job,
                status=0,
                request_id="",
                reason=type(error).__name__,
                not_run=False,
                is_correct=False,
                elapsed_ms=self.clock.monotonic_ms() - started_ms,
                first_token_ms=None,
                gaps_ms=(),
            )
        self.results.append(result)

    async def fetch(self, job: workload.Job, started_ms: int) -> Result:
        """Sends one request and reads the response.

        :param job: the request
        :param started_ms: when it was sent
        :return: its result
        """
        url = self.urls[job.number % len(self.urls)]
        response = await treq.post(
            f"{url}/v1/completions",
            json={
                "model": self.model,
                "prompt": job.prompt,
                "max_tokens": job.output_tokens,
                "stream": job.stream,
            },
            headers=http_headers.Headers(
                {
                    "Authorization": [f"Bearer {cluster.team_key(job.team)}"],
                    "X-Tier": [job.tier],
                    "X-Request-Timeout": [
                        str(job.timeout_ms / clocks.MS_PER_S)
                    ],
                }
            ),
            agent=self.agent,
            unbuffered=True,
        )
        done: defer.Deferred[bool] = defer.Deferred()
        body = Body(self.clock, done)
        response.deliverBody(body)
        try:
            is_complete = await done
        except defer.CancelledError:
            typing.cast(typing.Any, body.transport).loseConnection()
            raise
        return self.make_result(job, started_ms, response, body, is_complete)

    def make_result(
        self,
        job: workload.Job,
        started_ms: int,
        response: typing.Any,
        body: Body,
        is_complete: bool,
    ) -> Result:
        """Builds the result of a request from its response.

        :param job: the request
        :param started_ms: when it was sent
        :param response: treq's response
        :param body: the body that was read
        :param is_complete: whether the body is complete
        :return: the result
        """
        content = b"".join(body.parts)
        ids = response.headers.getRawHeaders("x-request-id", [""])
        reason, not_run = parse_refusal(response.code, content)
        times = body.times_ms if job.stream and response.code == 200 else []
        return Result(
            job=job,
            status=response.code,
            request_id=ids[0],
            reason=reason,
            not_run=not_run,
            is_correct=is_complete
            and response.code == 200
            and is_correct_answer(job, content),
            elapsed_ms=self.clock.monotonic_ms() - started_ms,
            first_token_ms=times[0] - started_ms if times else None,
            gaps_ms=tuple(
                later - earlier
                for earlier, later in zip(times, times[1:], strict=False)
            ),
        )


def parse_refusal(status: int, content: bytes) -> tuple[str, bool]:
    """Parses an error response.

    :param status: HTTP status
    :param content: the body
    :return: the reason, and whether the response promised that the request was
        not run
    """
    if status == 200:
        return "", False
    try:
        error = json.loads(content)["error"]
        return str(error["reason"]), bool(error["not_run"])
    except (ValueError, KeyError, TypeError):
        return f"status_{status}", False


def is_correct_answer(job: workload.Job, content: bytes) -> bool:
    """Tells whether a response is complete and answers the request.

    :param job: the request
    :param content: the body
    :return: whether it holds the words that the stand-in generates
    """
    expected = answers.answer_words(job.prompt, job.output_tokens)
    try:
        return completion_text(content, job.stream).split() == list(expected)
    except (ValueError, KeyError, TypeError, IndexError):
        return False


def completion_text(content: bytes, stream: bool) -> str:
    """Returns the text of a completion.

    :param content: the body
    :param stream: whether it is a stream of events
    :return: the text, empty for a stream without the final ``[DONE]`` event
    """
    if not stream:
        return str(json.loads(content)["choices"][0]["text"])
    lines = [line for line in content.split(b"\n\n") if line]
    if not lines or lines[-1] != DONE:
        return ""
    return "".join(
        json.loads(line.removeprefix(EVENT))["choices"][0]["text"]
        for line in lines[:-1]
    )


def send_from_processes(
    urls: typing.Sequence[str],
    model: str,
    jobs: typing.Sequence[workload.Job],
    directory: pathlib.Path,
) -> "RunningSenders":
    """Starts processes that send the requests.

    One Python process cannot send several hundred requests a second on
    schedule, so several processes share them.

    :param urls: of the entries, used in turn
    :param model: name of the model service
    :param jobs: the requests
    :param directory: for their input and result files
    :return: the running processes
    """
    start_s = time.time() + START_DELAY_S
    senders = []
    for number in range(SENDER_COUNT):
        sender_jobs = SenderJobs(
            tuple(urls), model, tuple(jobs[number::SENDER_COUNT]), start_s
        )
        path = directory / f"sender-{number}.jobs"
        path.write_bytes(pickle.dumps(sender_jobs))
        senders.append(
            processes.Process(
                f"sender-{number}", ["bench.load", str(path)], directory
            )
        )
    return RunningSenders(senders, directory, start_s)


@dataclasses.dataclass(frozen=True)
class SenderJobs:
    """The requests of one sending process.

    :param urls: of the entries
    :param model: name of the model service
    :param jobs: the requests
    :param start_s: wall time at which the experiment begins
    """

    urls: tuple[str, ...]
    model: str
    jobs: tuple[workload.Job, ...]
    start_s: float


@dataclasses.dataclass(frozen=True)
class RunningSenders:
    """Processes that send the requests of an experiment.

    :param senders: the processes
    :param directory: directory of the result files
    :param start_s: wall time at which the experiment begins
    """

    senders: typing.Sequence[processes.Process]
    directory: pathlib.Path
    start_s: float

    def sleep_until(self, offset_s: float) -> None:
        """Waits until a time of the experiment.

        :param offset_s: seconds since its beginning
        """
        time.sleep(max(0.0, self.start_s + offset_s - time.time()))

    def results(self) -> list[Result]:
        """Waits for the processes and returns the results.

        :return: one result for each request
        :raises processes.ProcessError: when a process failed
        """
        found: list[Result] = []
        for number, sender in enumerate(self.senders):
            if sender.child.wait() != 0:
                text = sender.stderr_path.read_text(encoding="utf-8")
                raise processes.ProcessError(text[-2000:])
            path = self.directory / f"sender-{number}.results"
            found.extend(pickle.loads(path.read_bytes()))
        return found


def main() -> None:
    """Sends the requests of one sending process."""
    path = pathlib.Path(sys.argv[1])
    sender_jobs: SenderJobs = pickle.loads(path.read_bytes())
    sender = LoadGenerator(sender_jobs.urls, sender_jobs.model)

    async def work() -> None:
        await task.deferLater(
            reactor, max(0.0, sender_jobs.start_s - time.time()), lambda: None
        )
        results = await sender.run(sender_jobs.jobs)
        path.with_suffix(".results").write_bytes(pickle.dumps(results))

    def start() -> None:
        running = defer.ensureDeferred(work())
        running.addErrback(lambda problem: problem.printTraceback())
        running.addBoth(lambda _result: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()


if __name__ == "__main__":
    # The classes must be pickled under the module's real name.
    from bench import load

    load.main()
