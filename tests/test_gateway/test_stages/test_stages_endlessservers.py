"""Stages of which one server sends without end."""

from __future__ import annotations

import asyncio
import itertools
import json

import pytest

from tests.endlessservers import (
    FORMS,
    EndlessServer,
    assert_harmless,
    respond,
    run_callers,
    two_services,
)
from tests.gateways import LocalGateway, ScriptedServer, http_response, stream_script

EVENTS = 3


class StageServer(ScriptedServer):
    """A sound server that runs pieces."""

    def __init__(self):
        super().__init__(self._answer)
        self.serials = itertools.count()

    async def _answer(self, request, writer):
        content = {}
        if 'stage-run' in request.lines[0]:
            items = json.loads(request.body)['items']
            content = {'items': [{'handle': f'1.1.1.1:1/{next(self.serials)}'} for _ in items]}
        writer.write(http_response(request, json.dumps(content).encode()))


# Fault: one stage server that sent without end cost callers of all services their answers.
@pytest.mark.parametrize('form', sorted(FORMS.keys() - {'surplus', 'head'}))
def test_stage_server_that_sends_without_end_harms_nobody(key_file, form):
    async def run():
        bad = EndlessServer(FORMS[form])
        try:
            async with LocalGateway(key_file) as gateway:
                gateway.apply_document(two_services())
                gateway.add_server(bad.address, service='crops')
                for server in (StageServer(), StageServer()):
                    gateway.add_server(await server.start(), service='crops')
                gateway.add_server(await ScriptedServer(stream_script(1, EVENTS)).start())
                gateway.add_server(await ScriptedServer(respond).start(), service='beside')
                pieces = {'Pieces': '2', 'Piece_Key': 'k'}
                outcomes = await run_callers(gateway, '/staged/x', **pieces)
                assert_harmless(outcomes, bad, gateway)
        finally:
            bad.close()

    asyncio.run(run())
