"""Entries of another writer in the store end all hosts, again and again.

1. Two hosts with 260 MB each, as `memoryMb` of the small deployments says. The stand-in of the platform does what the pages
   say: a process that exceeds its memory is killed, and started again after a short delay.
2. Another writer puts 72 entries with bytes that cannot be read under `servers/`, each as long as `valueBytes` allows
   (1,048,576 bytes). With TROUBLE=0 it writes none. The entries of the runners stay as they are.
3. For 45 s callers send postings, one after the other, each with one connection that they keep.

The rule is broken if on both hosts processes end by themselves three times or more.
"""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand-ins-2" / "platform"))
from harness import *  # noqa: E402,F403

KEY = "key-of-the-mill"
MEMORY_MB = 260
ENTRIES = 72
VALUE_BYTES = 1048576
TIME_S = 45.0
RESTART_S = 0.5
ROUTES = [route("r-post", "/post/", "unsafe")]


def resident_mb(process):
    """Memory of a process in megabytes; 0 if it has ended."""
    try:
        with open(f"/proc/{process.pid}/status", encoding="ascii") as status:
            lines = [line for line in status if line.startswith("VmRSS:")]
    except OSError:
        return 0.0
    return int(lines[0].split()[1]) * 1024 / 1e6 if lines else 0.0


async def enforce(record, host, ends):
    """Kills a process that exceeds its memory, and starts it again."""
    peak = 0.0
    while True:
        await asyncio.sleep(0.02)
        used = resident_mb(host.process)
        peak = max(peak, used)
        if used > MEMORY_MB:
            record.line(f"host {host.name} has {used:.0f} MB, more than {MEMORY_MB}: it is killed")
            host.end()
            ends[host.name] = ends.get(host.name, 0) + 1
            await asyncio.sleep(RESTART_S)
            host.start()
        elif host.process.poll() is not None:
            record.line(f"host {host.name} has ended with {host.process.returncode}")
            ends[host.name] = ends.get(host.name, 0) + 1
            await asyncio.sleep(RESTART_S)
            host.start()


async def post(record, host, number, end, counts):
    client = Client(record, host.front, f"client-{number}")
    while time.monotonic() < end:
        try:
            _, answer = await client.send("POST", "/post/1", KEY, body=b"entry", deadline_ms=1500, limit=2)
        except OSError:
            answer = None
        outcome = answer.start.split(" ")[1] if answer else "none"
        counts[outcome] = counts.get(outcome, 0) + 1
        await asyncio.sleep(0.1)
    client.close()


async def main(record, folder, hosts, trouble):
    store, control_api = Store(), ControlApi(record)
    await store.start()
    await control_api.start()
    store.put("op/config", configuration(1, routes=ROUTES))
    for zone in ("zone-a", "zone-b"):
        for _ in range(2):
            runner = Runner(record, store, "ledger", zone)
            await runner.start()
            runner.register()
    for number, zone in enumerate(("zone-a", "zone-b")):
        host = Host(record, folder, f"host-{number}", zone, store.address, control_api.address, memory_mb=MEMORY_MB)
        hosts.append(host)
        host.start()
    if not all([await host.wait_ready() for host in hosts]):
        raise RuntimeError("a host is not ready")
    await asyncio.sleep(4)
    ends, counts = {}, {}
    watchers = [asyncio.create_task(enforce(record, host, ends)) for host in hosts]
    if trouble:
        for number in range(ENTRIES):
            store.put(f"servers/dump-{number:03d}", os.urandom(VALUE_BYTES))
            await asyncio.sleep(0.02)
        record.line(f"another writer has put {ENTRIES} entries of {VALUE_BYTES} bytes")
    end = time.monotonic() + TIME_S
    await asyncio.gather(*[post(record, hosts[number % 2], number, end, counts) for number in range(8)])
    for watcher in watchers:
        watcher.cancel()
    text = f"ends by host: {ends}; answers: {counts}"
    record.line(text)
    print(text)
    return len(ends) == len(hosts) and min(ends.values()) >= 3


run(__file__, main)
