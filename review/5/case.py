"""A plain route whose service once ran streams is refused for good after the service's runners were replaced.

1. Version 1 of the configuration: the stream route `r-chat` goes to the service `pool-a`, the posting route `r-post` to
   `pool-b`.
2. Version 2 moves `r-chat` to `pool-b` and adds the safe route `r-score` to `pool-a`.
3. Two planned releases, each of half of the two runners of `pool-a`, one at a time: the new runner, of the next software
   version, starts first, then the old one drains and leaves. With TROUBLE=0 no release takes place.
4. From 5 s after the last change on, 60 requests on each of the two plain routes. The runners are sound and idle.

The rule is broken if the added route is served less than a quarter as often as the first one.
"""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand-ins-2" / "platform"))
from harness import *  # noqa: E402,F403

KEY = "key-of-the-mill"
REQUESTS = 60
SERVICES = [
    {"name": name, "healthCheckPath": "/health", "connectionLimit": 110, "protocol": "h1", "tls": False}
    for name in ("pool-a", "pool-b")
]
POST = route("r-post", "/post/", "unsafe", "pool-b")
SCORE = route("r-score", "/score/", "safe", "pool-a")


def chat(service):
    return route("r-chat", "/chat/", "streaming", service, timeoutMs=15000, resumable=True, targetGapMs=1000)


async def start_runner(record, store, service, zone, version):
    runner = Runner(record, store, service, zone, version=version)
    await runner.start()
    runner.register()
    return runner


async def replace(record, store, old, version):
    """Release of one runner: the new one starts first, the old one drains, goes on for a while and leaves."""
    new = await start_runner(record, store, old.service, old.zone, version)
    record.line(f"runner {new.id} of {version} starts in place of {old.id}")
    await asyncio.sleep(1)
    old.register("draining")
    await asyncio.sleep(4)
    old.unregister()
    old.crash()
    record.line(f"runner {old.id} has left")


async def serve(record, host, method, path, number):
    client = Client(record, host.front, f"client-{number}")
    served = 0
    for _ in range(REQUESTS // 2):
        _, answer = await client.send(method, path, KEY, body=b"entry" if method == "POST" else b"", deadline_ms=2000)
        served += answer is not None and " 200 " in answer.start
        await asyncio.sleep(0.3)
    client.close()
    return served


async def main(record, folder, hosts, trouble):
    store, control_api = Store(), ControlApi(record)
    await store.start()
    await control_api.start()
    store.put("op/config", configuration(1, routes=[chat("pool-a"), POST], services=SERVICES))
    pool_a = [await start_runner(record, store, "pool-a", f"z{n}", "v1") for n in range(2)]
    for number in range(2):
        await start_runner(record, store, "pool-b", f"z{number}", "v1")
    for number in range(2):
        host = Host(record, folder, f"host-{number}", f"z{number}", store.address, control_api.address)
        hosts.append(host)
        host.start()
    if not all([await host.wait_ready() for host in hosts]):
        raise RuntimeError("a host is not ready")
    await asyncio.sleep(3)
    store.put("op/config", configuration(2, routes=[chat("pool-b"), POST, SCORE], services=SERVICES))
    record.line("version 2 acknowledged")
    await asyncio.sleep(5)
    if trouble:
        for old in pool_a:
            record.line("release of half of the runners of pool-a")
            await replace(record, store, old, "v2")
            await asyncio.sleep(2)
    await asyncio.sleep(5)
    calls = [serve(record, host, "POST", "/post/1", f"post-{n}") for n, host in enumerate(hosts)]
    calls += [serve(record, host, "GET", "/score/1", f"score-{n}") for n, host in enumerate(hosts)]
    served = await asyncio.gather(*calls)
    first, added = sum(served[:2]), sum(served[2:])
    record.line(f"served of {REQUESTS} each: first route {first}, added route {added}")
    print(f"served of {REQUESTS} each: first route {first}, added route {added}")
    if first < REQUESTS / 2:
        raise RuntimeError("the first route is not served either")
    return added < first / 4


run(__file__, main)
