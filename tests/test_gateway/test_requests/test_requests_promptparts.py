"""What the logs tell of the parts of the prompts of requests that are sent to servers."""

import asyncio
import logging

from ringseam.events import Event
from tests.gateways import LocalGateway, ScriptedServer, stream_head


async def respond(request, writer):
    writer.write(stream_head(request) + b'0\r\n\r\n')


# Whether requests at several crashes shared a part could not be told from the lines of sends.
def test_lines_of_sends_name_the_parts_of_the_prompt(key_file, caplog):
    async def run():
        server = ScriptedServer(respond)
        async with LocalGateway(key_file) as gateway:
            gateway.add_server(await server.start())
            await gateway.fetch('/flow/x', Prompt_Prefix='a1:10,b2:20,c3:5')
            await gateway.fetch('/flow/x', Prompt_Prefix='d4:10,b2:7,e5:5')

    with caplog.at_level(logging.INFO, logger='ringseam'):
        asyncio.run(run())
    lines = [record.msg for record in caplog.records if isinstance(record.msg, dict)]
    first, second = (line for line in lines if line['event'] == Event.request_sent.number)
    assert [len(first['parts']), len(second['parts'])] == [3, 3]
    assert [one == other for one, other in zip(first['parts'], second['parts'], strict=True)] == [
        False,
        True,
        False,
    ]
    assert first['account'] == 'acme'
    assert 'b2' not in first['parts']
