"""Streams of services whose servers run several software versions."""

from __future__ import annotations

import asyncio
import logging

from ringseam.events import Event
from tests.gateways import LocalGateway, ScriptedServer, stream_script


# What a request continues, and at which version, could not be told from the lines of its sends.
def test_lines_of_sends_name_the_version_and_the_continued_attempt(key_file, caplog):
    async def run():
        server = ScriptedServer(stream_script(1, 6))
        async with LocalGateway(key_file) as gateway:
            gateway.add_server(await server.start(), software='v1.1')
            await gateway.fetch('/flow/x', Attempt_Id='r2', Last_Event_Id='3', Resumes='r1')

    with caplog.at_level(logging.INFO, logger='ringseam'):
        asyncio.run(run())
    lines = [record.msg for record in caplog.records if isinstance(record.msg, dict)]
    (sent,) = [line for line in lines if line['event'] == Event.request_sent.number]
    assert (sent['software'], sent['last'], sent['resumes']) == ('v1.1', 3, 'r1')
