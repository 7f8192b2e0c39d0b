"""Requests to a service of which one server sends without end.

Guards against a gateway that stops, that collects what such a server sends, that refuses the
clients of other services for it, or that sends more and more requests to that server.
"""

from __future__ import annotations

import asyncio
import itertools
import time

import pytest

from tests.endlessservers import FORMS, EndlessServer
from tests.gateways import LocalGateway, ScriptedServer, http_response, manifest

FORM_NAMES = ['informational', 'refusal', 'chunks', 'until closed', 'failure', 'tiny chunks']
CALLERS = 12
CALLERS_BESIDE = 4
DURATION_S = 3.0
PAUSE_S = 0.1
#: The longest time for a caller of another service, seconds.
MAX_BESIDE_S = 0.5
MIN_SERVED_SHARE = 0.95
#: Requests that one server may get before it rests: those in flight at the same time.
MAX_BAD_REQUESTS = 3 * CALLERS


async def respond(request, writer):
    writer.write(http_response(request))


def document():
    """Return a document with a second service, ``beside``."""
    plain = manifest().decode()
    return (
        plain.replace(
            '"services": [',
            '"services": [{"name": "beside", "max_conns": 10}, ',
        )
        .replace(
            '"routes": [',
            '"routes": [{"name": "beside", "host": "h.example", "path_prefix": "/beside/", '
            '"kind": "idempotent", "timeout_ms": 3000, "slo_ms": 1500, "service": "beside", '
            '"max_attempts": 2}, ',
        )
        .encode()
    )


async def call_again_and_again(gateway, path, caller, until):
    """Return the status and the duration of each request of one caller, seconds."""
    outcomes = []
    while time.monotonic() < until:
        started = time.monotonic()
        status, _ = await gateway.fetch(path, read_s=6, Attempt_Id=f'{caller}-{len(outcomes)}')
        outcomes.append((status, time.monotonic() - started))
        await asyncio.sleep(PAUSE_S)
    return outcomes


async def run_callers(gateway):
    until = time.monotonic() + DURATION_S
    own = [
        call_again_and_again(gateway, '/idem/x', f'o{number}', until) for number in range(CALLERS)
    ]
    beside = [
        call_again_and_again(gateway, '/beside/x', f'b{number}', until)
        for number in range(CALLERS_BESIDE)
    ]
    outcomes = await asyncio.gather(*own, *beside)
    own_outcomes = itertools.chain.from_iterable(outcomes[:CALLERS])
    return list(own_outcomes), list(itertools.chain.from_iterable(outcomes[CALLERS:]))


# Fault: one server that sent without end cost callers of all services their answers.
@pytest.mark.parametrize('form', FORM_NAMES)
def test_server_that_sends_without_end_harms_nobody(key_file, form):
    async def run():
        bad = EndlessServer(FORMS[form])
        sound = [ScriptedServer(respond) for _ in range(3)]
        try:
            async with LocalGateway(key_file) as gateway:
                gateway.apply_document(document())
                gateway.add_server(bad.address)
                gateway.add_server(await sound[0].start())
                gateway.add_server(await sound[1].start())
                gateway.add_server(await sound[2].start(), service='beside')
                own, beside = await run_callers(gateway)
                largest = gateway.role.host.budget.largest
        finally:
            bad.close()
        return own, beside, bad.requests, largest

    own, beside, bad_requests, largest = asyncio.run(run())
    assert {status for status, _ in beside} == {200}
    assert max(duration_s for _, duration_s in beside) < MAX_BESIDE_S
    assert 0 not in {status for status, _ in own}
    served = sum(status == 200 for status, _ in own)
    assert served >= MIN_SERVED_SHARE * len(own)
    assert bad_requests <= MAX_BAD_REQUESTS
    assert largest < 64_000_000
