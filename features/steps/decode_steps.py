import json

from behave import then
from behave import when

from godwitloft import decode
from godwitloft.objects import types


@when("the JSON {text} is decoded as a {kind}")
def decode_text(context, text, kind):
    context.error = None
    try:
        context.decoded = decode.decode(
            getattr(types, kind), json.loads(text), "here"
        )
    except decode.DecodeError as error:
        context.error = error


@then('the error is "{message}"')
def check_error(context, message):
    assert str(context.error) == message, str(context.error)


@then("the decoded {field} is {value:d}")
def check_field(context, field, value):
    assert getattr(context.decoded, field) == value
