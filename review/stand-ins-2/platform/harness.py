"""Stand-ins of the platform (store, control API), of runners and of clients, and the start of real hosts.

Python's standard library only. Everything listens on loopback addresses and on free ports.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

REPOSITORY = pathlib.Path(__file__).resolve().parents[3]
LOOPBACK = "127.0.0.1"
ANSWER = b"the runner's answer"


# Below the ports that the system gives to outgoing connections, so that none takes a port before its server does.
PORTS = range(21000, 32000)
TAKEN = set()


def free_port():
    """A port that is free for TCP and UDP."""
    while True:
        port = random.choice(PORTS)
        if port in TAKEN:
            continue
        with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((LOOPBACK, port))
                udp.bind((LOOPBACK, port))
            except OSError:
                continue
        TAKEN.add(port)
        return port


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
    writer.transport.abort()


class Record:
    """What was sent, answered and run, one line each, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Message:
    """A request or an answer."""

    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    def header(self, name):
        for have, value in self.headers:
            if have.lower() == name.lower():
                return value
        return None


async def read_head(reader):
    """Start line and headers; `None` at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers.append((name.strip(), value.strip()))
    return lines[0], headers


async def read_chunks(reader):
    body = b""
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            raise asyncio.IncompleteReadError(line, None)
        size = int(line.split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return body


async def read_message(reader):
    """One message with its whole body."""
    start, headers = await read_head(reader)
    message = Message(start, headers, b"")
    if (message.header("Transfer-Encoding") or "").lower().endswith("chunked"):
        message.body = await read_chunks(reader)
    elif message.header("Content-Length"):
        message.body = await reader.readexactly(int(message.header("Content-Length")))
    return message


def render(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """An HTTP/1.1 server on a free loopback port; keeps connections open."""

    def __init__(self):
        self.port = free_port()
        self.address = f"{LOOPBACK}:{self.port}"
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.on_connection, LOOPBACK, self.port, limit=1 << 20)

    async def on_connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if not await self.respond(message, reader, writer):
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            # The end of the case.
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    def crash(self):
        """Closes the listener and resets all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            reset(writer)


class Store(Server):
    """The platform's metadata store: items with revisions, listings and transactions."""

    def __init__(self):
        super().__init__()
        self.items = {}
        self.revision = 100
        # Called with the path before an answer; may sleep, or return a ready answer.
        self.before = None

    def put(self, key, value):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        text = value if isinstance(value, bytes) else value.encode()
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(text).decode(),
            "revision": self.revision,
            "created": created,
            "lease": 0,
        }
        return self.revision

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1

    async def respond(self, message, _reader, writer):
        method, target, _ = message.start.split(" ")
        path, _, query = target.partition("?")
        if self.before is not None:
            ready = await self.before(method, path, message)
            if ready is not None:
                writer.write(ready)
                return True
        fields = {name: value[0] for name, value in urllib.parse.parse_qs(query, keep_blank_values=True).items()}
        status, body = self.answer(method, path, fields, message.body)
        headers = [("Content-Type", "application/json")]
        writer.write(render(status, headers, json.dumps(body).encode()))
        return True

    def answer(self, method, path, fields, body):
        if path.endswith("/kv-key"):
            item = self.items.get(fields["key"])
            if item is None:
                return "404 Not Found", {}
            return "200 OK", {**item, "storeRevision": self.revision}
        if path.endswith("/kv-range"):
            keys = sorted(key for key in self.items if key.startswith(fields.get("pathPrefix", "")))
            keys = [key for key in keys if key > fields.get("afterRevision", "")]
            items, size = [], 0
            for key in keys[:500]:
                items.append(self.items[key])
                size += len(self.items[key]["value"])
                if size >= 1_000_000:
                    break
            return "200 OK", {"items": items, "hasMore": len(keys) > len(items), "storeRevision": self.revision}
        if path.endswith("/kv-txn"):
            return self.transact(json.loads(body))
        return "404 Not Found", {}

    def transact(self, call):
        def revision(key):
            return self.items[key]["revision"] if key in self.items else 0

        expect = call.get("expect", [])
        if any(revision(row["key"]) != row["revision"] for row in expect):
            missing = {"value": "", "revision": 0, "created": 0, "lease": 0}
            rows = [self.items.get(row["key"], {"key": row["key"], **missing}) for row in expect]
            return "412 Precondition Failed", {"items": rows}
        for write in call.get("writes", []):
            self.put(write["key"], base64.b64decode(write["value"]))
        for key in call.get("deletes", []):
            self.remove(key)
        return "200 OK", {"revision": self.revision}


class ControlApi(Server):
    """The platform's control API: accepts usage reports and orders, and checks their fences."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.calls = []
        self.fences = {}

    async def respond(self, message, _reader, writer):
        method, target, _ = message.start.split(" ")
        holder, fence = message.header("X-Duty-Holder"), int(message.header("X-Fencing-Token") or 0)
        body = message.body.decode()
        subject = target
        if target == "/scale":
            order = json.loads(body)
            subject = f"{target} {order['service']} {order['zone']}"
        accepted = fence >= self.fences.get(subject, 0)
        if accepted:
            self.fences[subject] = fence
        status = "200 OK" if accepted else "409 Conflict"
        self.calls.append((time.monotonic(), holder, fence, target, body, accepted))
        self.record.line(f"control api {target} holder {holder} fence {fence} {status[:3]} {body}")
        writer.write(render(status, [("Content-Type", "application/json")], b"{}"))
        return True


class Runner(Server):
    """A sound runner of a plain service or of streams; `behave` may answer instead."""

    def __init__(self, record, store, service, zone, events=0, pause=0.05, slots=32, version="v1"):
        super().__init__()
        self.record = record
        self.store = store
        self.service = service
        self.zone = zone
        self.events = events
        self.pause = pause
        self.slots = slots
        self.version = version
        self.id = f"i-{os.urandom(4).hex()}"
        self.born = int(time.time() * 1000)
        self.work = 0.015
        self.ran = []
        self.running = 0
        self.behave = None

    def entry(self, state):
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": self.born,
        }

    def register(self, state="ready", more=None):
        self.store.put(f"servers/{self.id}", json.dumps({**self.entry(state), **(more or {})}))

    def unregister(self):
        self.store.remove(f"servers/{self.id}")

    def identity(self, message):
        return [("X-Request-Id", message.header("X-Request-Id")), ("X-Response-Signature", "sig." + self.id)]

    async def respond(self, message, reader, writer):
        expected = message.header("X-Expected-Instance")
        if expected is not None and expected != self.id:
            writer.write(render("421 Misdirected Request", [("X-Instance-Id", self.id)]))
            return True
        if message.start.startswith("GET /health"):
            writer.write(render("200 OK", [("X-Instance-Id", self.id)]))
            return True
        request = message.header("X-Request-Id")
        if self.behave is not None:
            handled = await self.behave(self, message, reader, writer)
            if handled is not None:
                return handled
        self.begin(message)
        self.running += 1
        try:
            if self.events:
                await self.stream(message, writer)
            else:
                await asyncio.sleep(self.work)
                writer.write(render("200 OK", self.identity(message), ANSWER + request.encode()))
        finally:
            self.running -= 1
        self.record.line(f"runner {self.id} answered {request}")
        return True

    def begin(self, message):
        request = message.header("X-Request-Id")
        self.ran.append((time.monotonic(), request, message))
        self.record.line(f"runner {self.id} ran {request} {message.start!r} tenant {message.header('X-Tenant')}")

    async def stream(self, message, writer):
        head = [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")] + self.identity(message)
        lines = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in head]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        first = int(message.header("Last-Event-Id") or 0) + 1
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.pause)
        writer.write(b"0\r\n\r\n")


class Host:
    """One host, started with the deploy file's command and settings in the form of its template."""

    def __init__(self, record, folder, name, zone, store, control_api, bounds=None, memory_mb=260):
        self.record = record
        self.name = name
        self.front, self.ready, self.admin, self.peer = (free_port() for _ in range(4))
        self.log = open(folder / f"{name}.log", "ab")
        self.log_path = folder / f"{name}.log"
        self.path = folder / f"{name}.conf"
        self.process = None
        self.settings = {
            "host": name,
            "zone": zone,
            "listen": f"{LOOPBACK}:{self.front}",
            "ready_listen": f"{LOOPBACK}:{self.ready}",
            "admin_listen": f"{LOOPBACK}:{self.admin}",
            "peer_listen": f"{LOOPBACK}:{self.peer}",
            "store": store,
            "desk": control_api,
            "link_mbps": 1000.0,
            "first_start": True,
            "memory_mb": memory_mb,
            "duties": {"usage": True, "orders": True},
            "capacity": {"bursts": True},
            "streams": {"copies": False, "moves": False},
            "bounds": {
                "revocation_ms": 5000,
                "configuration_ms": 2000,
                "drain_ms": 2000,
                "repeat_ratio": 0.2,
                "repeat_slack": 56,
                "repeat_window_s": 10,
                "lease_ms": 3000,
                "usage_window_s": 5,
                "usage_due_s": 10,
                "grace_s": 8,
                **(bounds or {}),
            },
        }

    def start(self):
        self.path.write_text(json.dumps(self.settings))
        command = [str(REPOSITORY / "target/release/radishstair-platform"), str(self.path)]
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["RADISHSTAIR_CONFIG"] = str(self.path)
        self.process = subprocess.Popen(
            command, cwd=REPOSITORY, stdout=self.log, stderr=self.log, env=environment
        )
        self.settings["first_start"] = False
        self.record.line(f"host {self.name} started as process {self.process.pid}")

    def signal(self, number):
        self.record.line(f"host {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(LOOPBACK, self.ready)
            writer.write(b"GET /radishstair/readiness HTTP/1.1\r\nHost: a\r\n\r\n")
            answer = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return " 200 " in answer.start
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, limit=15.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False


class Client:
    """A caller with one connection, which it keeps while it may."""

    def __init__(self, record, port, name="client"):
        self.record = record
        self.port = port
        self.name = name
        self.reader = self.writer = None
        self.number = 0

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(LOOPBACK, self.port, limit=1 << 20)

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def send(self, method, path, key=None, headers=(), body=b"", deadline_ms=5000, limit=None, request=None):
        """Sends a request; returns its id and the answer, or `None` if the connection ended without one."""
        request = request or os.urandom(8).hex()
        if self.writer is None:
            await self.connect()
        lines = [f"{method} {path} HTTP/1.1", "Host: desk.example", f"X-Request-Id: {request}"]
        lines.append(f"X-Request-Deadline: {deadline_ms}")
        if key is not None:
            lines.append(f"Authorization: Bearer {key}")
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
        self.record.line(f"{self.name} sent {request} {method} {path} head of {len(head)} bytes")
        try:
            self.writer.write(head + body)
            await self.writer.drain()
            answer = await asyncio.wait_for(read_message(self.reader), limit or deadline_ms / 1000 + 2)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.TimeoutError) as error:
            self.record.line(f"{self.name} got no answer to {request}: {type(error).__name__}")
            self.close()
            return request, None
        self.record.line(f"{self.name} got {answer.start!r} to {request}, {len(answer.body)} bytes")
        if (answer.header("Connection") or "").lower() == "close":
            self.close()
        return request, answer


def configuration(version=1, limits=None, routes=None, services=None, tenants=None):
    """A configuration in the form of the pages."""
    return json.dumps(
        {
            "version": version,
            "routes": routes,
            "services": services
            or [
                {"name": "ledger", "healthCheckPath": "/health", "connectionLimit": 110, "protocol": "h1", "tls": False},
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
                **(limits or {}),
            },
            "tenants": tenants or [{"name": "mill", "apiKeys": ["key-of-the-mill"], "priority": 1}],
        }
    )


def route(name, prefix, kind, service="ledger", **more):
    return {
        "name": name,
        "host": "desk.example",
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 5000,
        "targetLatencyMs": 100,
        "priority": 2,
        "service": service,
        "attempts": 2,
        "public": False,
        "stickySessions": False,
        "resumable": False,
        **more,
    }


def run(case, main):
    """Runs a case in a temporary folder; exits with 0, 1 or 2 and ends all processes that it started."""
    record = Record(pathlib.Path(case).resolve().parent / "record.txt")
    hosts = []
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line(f"trouble: {trouble}")
    with tempfile.TemporaryDirectory(prefix="radishstair-review-") as folder:
        try:
            broken = asyncio.run(asyncio.wait_for(main(record, pathlib.Path(folder), hosts, trouble), 110))
            code = 1 if broken else 0
        except Exception as error:  # The case could not run.
            record.line(f"the case could not run: {type(error).__name__}: {error}")
            import traceback

            traceback.print_exc()
            code = 2
        finally:
            for host in hosts:
                host.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for host in hosts:
                pathlib.Path(keep, f"{host.name}.log").write_bytes(host.log_path.read_bytes())
    record.line(f"exit {code}")
    print(f"exit {code}")
    sys.exit(code)
