"""After a quarter of a service's engines crashed, all requests that share a system prompt are refused for two minutes.

1. A service of 24 engines, 12 in each of two zones. Two hosts.
2. All `match` requests share the first part of their prompts; so do all `audit` requests, which are less urgent and over
   twice as large. Some of each are answered.
3. A batch of `match` streams begins, each of about 12 s, on most of the engines.
4. Six of the engines with such streams crash, and others start in their place 2 s later. The streams on the other engines
   go on and end well. With TROUBLE=0 none crashes.
5. 12 s after the crash, with 24 sound and nearly idle engines, both kinds are sent for five seconds.

The rule is broken if ten or more of the `match` requests, and over a twelfth, get nothing in these five calm seconds, while
`audit` requests begin.
"""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand-ins-2" / "platform"))
from harness import *  # noqa: E402,F403

KEY = "key-of-the-mill"
PER_ZONE = 12
CRASHED = 6
SLOTS = 12
BATCH = 270
SPACING = 0.015
DOWN_S = 2.0
HEARTBEATS_S = 3.6
CALM_AFTER_S = 12.0
WINDOW_S = 5.0
PREFILL_TOKENS_PER_S = 64200
SERVICE = {
    "name": "readers",
    "healthCheckPath": "/health",
    "connectionLimit": 240,
    "protocol": "h1",
    "tls": False,
    "engine": {
        "slots": SLOTS,
        "kvCacheTokens": 486218,
        "kvTokenBytes": 163840,
        "linkMbps": 1100000.0,
        "moves": True,
        "backups": True,
        "stride": 5,
        "most": 12,
        "pinMs": 4000.0,
        "holdMs": 2000.0,
        "handleS": 5.0,
        "models": [{"name": "m"}],
    },
}
# Path: id and tokens of the shared part, own tokens, events, time between events.
KINDS = {
    "/match/": ("5c1e07a2", 5382, 6610, 76, 0.16),
    "/audit/": ("91bd3f06", 12000, 21000, 40, 0.02),
}


def kind(path):
    return KINDS[path[: path.index("/", 1) + 1]]


class Engine(Runner):
    """Streams after a prefill of the parts that it does not keep; the kind of request gives the length."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.kept = set()
        self.prefill = asyncio.Lock()

    async def stream(self, message, writer):
        shared, shared_tokens, own_tokens, events, pause = kind(message.start.split(" ")[1])
        tokens = own_tokens + (0 if shared in self.kept else shared_tokens)
        self.kept.add(shared)
        async with self.prefill:
            await asyncio.sleep(tokens / PREFILL_TOKENS_PER_S)
        head = [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")] + self.identity(message)
        lines = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in head]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        first = int(message.header("Last-Event-Id") or 0) + 1
        for number in range(first, events + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(pause)
        writer.write(b"0\r\n\r\n")


async def call(record, host, path, results, number):
    """One request on a connection of its own; a refused caller comes back once, when it was told to."""
    shared, shared_tokens, own_tokens, _, _ = KINDS[path]
    headers = [
        ("X-Model", "m"),
        ("X-Token-Counts", f"{shared_tokens + own_tokens},380"),
        ("X-Prompt-Prefix", f"{shared}:{shared_tokens},{os.urandom(4).hex()}:{own_tokens}"),
    ]
    for _ in range(2):
        client = Client(record, host.front, f"client-{number}")
        _, answer = await client.send("POST", f"{path}x", KEY, headers, f"note {number}".encode(), 15000, 20)
        client.close()
        if answer is None or " 503 " not in answer.start:
            break
        await asyncio.sleep(min(float(answer.header("Retry-After") or 0), 5.0))
    results.append((path, answer is not None and " 200 " in answer.start))


async def replace(record, store, crashed):
    """Others start in the place of crashed engines, whose entries expire."""
    await asyncio.sleep(DOWN_S)
    for engine in crashed:
        started = Engine(record, store, "readers", engine.zone, 1, 0, SLOTS)
        await started.start()
        started.register()
    record.line("others start in their place")
    await asyncio.sleep(HEARTBEATS_S - DOWN_S)
    for engine in crashed:
        engine.unregister()


async def main(record, folder, hosts, trouble):
    store, api = Store(), ControlApi(record)
    await store.start()
    await api.start()
    more = {"timeoutMs": 15000, "targetLatencyMs": 2500, "resumable": True, "targetGapMs": 1000, "stickySessions": True}
    routes = [
        route("r-match", "/match/", "streaming", "readers", **{**more, "priority": 1}),
        route("r-audit", "/audit/", "streaming", "readers", **{**more, "priority": 2, "targetGapMs": 250}),
    ]
    store.put("op/config", configuration(1, routes=routes, services=[SERVICE]))
    engines = [Engine(record, store, "readers", zone, 1, 0, SLOTS) for zone in ("zone-a", "zone-b") for _ in range(PER_ZONE)]
    for engine in engines:
        await engine.start()
        engine.register()
    for number, zone in enumerate(("zone-a", "zone-b")):
        host = Host(record, folder, f"host-{number}", zone, store.address, api.address)
        hosts.append(host)
        host.start()
    if not all([await host.wait_ready() for host in hosts]):
        raise RuntimeError("a host is not ready")
    await asyncio.sleep(4)

    begun = []
    await asyncio.gather(*[call(record, hosts[n % 2], path, begun, n) for n, path in enumerate(list(KINDS) * 4)])
    if not all(served for _, served in begun):
        raise RuntimeError(f"a request was not served at the start: {begun}")

    batch = []
    calls = []
    for number in range(BATCH):
        calls.append(asyncio.create_task(call(record, hosts[number % 2], "/match/", batch, f"batch-{number}")))
        await asyncio.sleep(SPACING)
    await asyncio.sleep(1)
    if trouble:
        used = [engine for engine in engines if engine.running]
        record.line(f"engines that have streams: {len(used)} of {len(engines)}")
        # A quarter of all, spread over those that have streams.
        crashed = used[:: max(1, len(used) // CRASHED)][:CRASHED]
        for engine in crashed:
            engine.crash()
        record.line(f"{len(crashed)} engines crash")
        asyncio.get_running_loop().create_task(replace(record, store, crashed))
    crashed_at = time.monotonic()
    await asyncio.gather(*calls)
    record.line(f"of the batch, {sum(served for _, served in batch)} of {BATCH} were served")
    await asyncio.sleep(max(0.0, crashed_at + CALM_AFTER_S - time.monotonic()))

    window = []
    calls = []
    record.line("five calm seconds begin")
    for number in range(20):
        for path in KINDS:
            calls.append(asyncio.create_task(call(record, hosts[number % 2], path, window, f"{path}{number}")))
        await asyncio.sleep(WINDOW_S / 20)
    record.line("five calm seconds end")
    await asyncio.gather(*calls)
    match = [served for path, served in window if path == "/match/"]
    audit = [served for path, served in window if path == "/audit/"]
    unserved = len(match) - sum(match)
    text = f"match: {unserved} of {len(match)} got nothing; audit: {sum(audit)} of {len(audit)} served"
    record.line(text)
    print(text)
    if sum(audit) < len(audit) / 2:
        raise RuntimeError("the less urgent requests are not served either")
    return unserved >= 10 and unserved > len(match) / 12


run(__file__, main)
