"""Requests to a service of which one server sends without end.

Guards against a gateway that stops, that collects what such a server sends, that refuses the
clients of other services for it, or that sends more and more requests to that server.
"""

from __future__ import annotations

import asyncio

import pytest

from tests.endlessservers import (
    FORMS,
    EndlessServer,
    assert_harmless,
    respond,
    run_callers,
    two_services,
)
from tests.gateways import LocalGateway, ScriptedServer


# Fault: one server that sent without end cost callers of all services their answers.
@pytest.mark.parametrize('form', sorted(FORMS.keys() - {'surplus', 'head'}))
def test_server_that_sends_without_end_harms_nobody(key_file, form):
    async def run():
        bad = EndlessServer(FORMS[form])
        sound = [ScriptedServer(respond) for _ in range(3)]
        try:
            async with LocalGateway(key_file) as gateway:
                gateway.apply_document(two_services())
                gateway.add_server(bad.address)
                gateway.add_server(await sound[0].start())
                gateway.add_server(await sound[1].start())
                gateway.add_server(await sound[2].start(), service='beside')
                outcomes = await run_callers(gateway, '/idem/x')
                assert_harmless(outcomes, bad, gateway)
        finally:
            bad.close()

    asyncio.run(run())
