"""Calls of the callers' interface, raw and through the library of a vendor."""

import asyncio

import httpx
import openai
from fixtures_edge import (
    KEY,
    openai_client,
    served,
)

MESSAGES = [
    {"role": "system", "content": "Be brief."},
    {"role": "user", "content": [{"type": "text", "text": "Explain."}]},
]
GOOD_BODY = {"model": "ledger", "messages": MESSAGES}
TIMEOUT_SECONDS = 20.0


def run(work):
    return asyncio.run(asyncio.wait_for(work, TIMEOUT_SECONDS))


async def ask_raw(application, method, path, key=KEY, **options):
    headers = {"authorization": f"Bearer {key}", **options.pop("headers", {})}
    async with served(application) as address, httpx.AsyncClient(trust_env=False) as client:
        url = f"http://{address}{path}"
        return await client.request(method, url, headers=headers, **options)


async def ask_openai(application, call, key=KEY):
    async with served(application) as address, openai_client(address, key) as client:
        return await call(client)


def try_openai(context, call, key=KEY):
    context.error = None
    try:
        context.answer = run(ask_openai(context.application, call, key))
    except openai.APIError as error:
        context.error = error


async def chat_whole(client):
    answer = await client.chat.completions.create(model="ledger", messages=MESSAGES)
    assert answer.choices[0].finish_reason == "stop"
    return answer.choices[0].message.content, answer.usage


async def chat_streamed(client):
    stream = await client.chat.completions.create(
        model="ledger", messages=MESSAGES, stream=True, stream_options={"include_usage": True}
    )
    text, usage, reasons = "", None, []
    async for event in stream:
        usage = event.usage or usage
        for choice in event.choices:
            text += choice.delta.content or ""
            reasons.append(choice.finish_reason)
    assert reasons[-1] == "stop", reasons
    return text, usage


async def text_whole(client):
    answer = await client.completions.create(model="ledger", prompt="Explain.")
    return answer.choices[0].text, answer.usage


async def text_streamed(client):
    stream = await client.completions.create(model="ledger", prompt="Explain.", stream=True)
    text = ""
    async for event in stream:
        text += "".join(choice.text for choice in event.choices)
    return text, None
