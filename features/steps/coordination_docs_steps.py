import pathlib
import re

from behave import then

ROOT = pathlib.Path(__file__).parents[2]


@then("the {count:d} examples of docs/COORDINATION.md run")
def run_examples(context, count):
    text = (ROOT / "docs" / "COORDINATION.md").read_text(encoding="utf-8")
    blocks = re.findall(r"^```python\n(.*?)^```", text, re.DOTALL | re.M)
    assert len(blocks) == count, len(blocks)
    for block in blocks:
        exec(compile(block, "COORDINATION.md", "exec"), {})
