"""Requests to a service of which one server sends without end.

Guards against a gateway that stops, that collects what such a server sends, that refuses the
clients of other services for it, or that sends more and more requests to that server.
"""

from __future__ import annotations

import asyncio

import pytest

from ringseam.gateway.hosts.budget import Holder
from tests.endlessservers import (
    FORMS,
    STREAM_FORMS,
    EndlessServer,
    assert_harmless,
    respond,
    run_callers,
    two_services,
)
from tests.gateways import LocalGateway, ScriptedServer, event_ids, stream_script


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


# Guards against a gateway that collects an event without end until its host has no memory left.
@pytest.mark.parametrize('path', ['/flow/x', '/sticky/x'])
@pytest.mark.parametrize('form', sorted(STREAM_FORMS))
def test_server_that_sends_an_event_without_end_harms_nobody(key_file, form, path):
    async def run():
        bad = EndlessServer(STREAM_FORMS[form])
        sound = [ScriptedServer(stream_script(1, 5)) for _ in range(2)]
        beside = ScriptedServer(respond)
        try:
            async with LocalGateway(key_file) as gateway:
                gateway.apply_document(two_services())
                gateway.add_server(bad.address)
                for server in sound:
                    gateway.add_server(await server.start())
                gateway.add_server(await beside.start(), service='beside')
                outcomes = await run_callers(gateway, path)
                assert_harmless(outcomes, bad, gateway)
                status, raw = await gateway.fetch(path)
                assert (status, event_ids(raw)) == (200, [1, 2, 3, 4, 5])
                held = gateway.role.host.budget.held
                assert held[Holder.server_responses] == 0
        finally:
            bad.close()

    asyncio.run(run())


# A response that has begun and can't be resumed is broken off, not held until its deadline.
def test_stream_of_an_event_without_end_is_broken_off(key_file):
    async def run():
        bad = EndlessServer(STREAM_FORMS['line'])
        try:
            async with LocalGateway(key_file) as gateway:
                gateway.add_server(bad.address)
                reader, writer = await gateway.open_request('/cut/x')
                with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                    async with asyncio.timeout(2):
                        await reader.readuntil(b'\r\n0\r\n\r\n')
                writer.close()
        finally:
            bad.close()

    asyncio.run(run())
