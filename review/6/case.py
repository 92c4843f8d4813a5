"""UNASKED: a field of a client's request becomes further lines of the request
that the instance gets, so that it runs a request that no client sent."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
from bed import (HOST, TROUBLE, CouldNotRun, Instance, config, main,  # noqa: E402
                 request, route)

# Text as RFC 2047 encodes it: one line of printable ASCII, allowed in a field.
PLAIN = "=?UTF-8?Q?Caf=C3=A9_Central?="
# The same form; the encoded text holds line ends and a request.
SMUGGLED = ("=?UTF-8?Q?Caf=C3=A9=0D=0A=0D=0A"
            "PUT_/deposits/pay_HTTP/1.1=0D=0A"
            f"Host:_{HOST}=0D=0A"
            "X-Attempt-Id:_nobody-{number}=0D=0A"
            "X-Caller-Service:_treasury=0D=0A"
            "Content-Length:_0=0D=0A"
            "X-Rest:_?=")


async def case(bed, record):
    node, first = bed.add(Instance, "catalogue", "zone-a")
    other, deposits = bed.add(Instance, "deposits", "zone-b")
    for each in (node, other):
        each.start()
    await first.start(node.control)
    await deposits.start(other.control)
    await bed.write_config(config(
        3, [route("catalogue", "catalogue"),
            route("deposits", "deposits", kind="unsafe", attempts=1)],
        ["catalogue", "deposits"]))
    await node.wait_ready()
    await other.wait_ready()
    await asyncio.sleep(2.0)
    sent, answered = set(), 0
    for number in range(5):
        attempt = f"client-{number}"
        sent.add(attempt)
        title = SMUGGLED.replace("{number}", str(number)) if TROUBLE else PLAIN
        record.write(f"client sends {attempt} GET /deposits/list "
                     f"X-Shop-Title: {title}")
        try:
            answer, _ = await request(
                node.caller, "GET", "/deposits/list",
                [("Host", HOST), ("X-Attempt-Id", attempt),
                 ("X-Deadline-Ms", "1000"), ("X-Shop-Title", title)])
            answered += answer.first.startswith("HTTP/1.1 200")
            record.write(f"client gets {attempt}: {answer.first}")
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as reason:
            record.write(f"client gets {attempt}: {type(reason).__name__}")
        await asyncio.sleep(0.3)
    if not answered and not deposits.runs:
        raise CouldNotRun("no request reached the instance")
    broken = False
    for _, attempt, head, _ in deposits.runs + first.runs:
        callers = head.all("x-caller-service")
        if attempt not in sent:
            broken = True
            record.write(f"UNASKED: run of {attempt or '-'}, which no client "
                         f"sent: {head.first}, X-Caller-Service {callers}")
        elif callers != ["catalogue"]:
            broken = True
            record.write(f"UNASKED: {attempt} runs with X-Caller-Service "
                         f"{callers}")
    return broken


main(case, FOLDER / "record.txt")
