"""A program that makes calls to a platform and prints their results."""

import json
import sys

import treq
from twisted.internet import defer
from twisted.internet import task

from features.support import calls
from godwitloft import metrics
from godwitloft import settings
from godwitloft.store import connect


async def main(reactor, url, script):
    platform_settings = settings.Platform(settings.PlatformKind.HTTP, url)
    platform = connect.connect(platform_settings, reactor, metrics.discard())
    results = []
    for line in script.split("; "):
        name, *words = line.split()
        if name == "faults":
            body = json.dumps({words[0]: int(words[1])}).encode()
            await treq.post(f"{url}/control/faults", body)
        else:
            call = calls.make_call(platform, name, *words)
            results.append(await call.addBoth(calls.format_result))
    print("; ".join(results))


if __name__ == "__main__":
    task.react(
        lambda reactor, *words: defer.ensureDeferred(main(reactor, *words)),
        sys.argv[1:],
    )
