from behave import given
from behave import then
from behave import when
from twisted.internet import task
from twisted.web.test import requesthelper

from godwitloft.standins import lakeshore

MISDIRECTED = 421


@given("a stand-in runner that is to misdirect {count:d} requests")
def runner(context, count):
    reactor = task.Clock()
    rows = lakeshore.Rows(reactor)
    context.runner = lakeshore.Runner(0, "desk", rows, reactor)
    context.runner.control({"misdirect": count})


def ask(context, target):
    request = requesthelper.DummyRequest([b""])
    request.uri = b"/x"
    request.path = b"/x"
    request.requestHeaders.setRawHeaders(lakeshore.TARGET, [target])
    request.requestHeaders.setRawHeaders(lakeshore.REQUEST_ID, ["r"])
    context.runner.run(request)
    return request.responseCode


@when("{count:d} requests for another runner arrive")
def for_another(context, count):
    for _ in range(count):
        assert ask(context, "i-other-0") == MISDIRECTED


@when("{count:d} requests for it arrive")
def for_it(context, count):
    context.statuses = [ask(context, context.runner.id) for _ in range(count)]


@then("{count:d} of those for it are misdirected")
def check_misdirected(context, count):
    found = context.statuses.count(MISDIRECTED)
    assert found == count, context.statuses
    assert context.runner.misdirect == 0, context.runner.misdirect
