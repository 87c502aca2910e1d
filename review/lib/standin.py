"""Stand-ins for the cases under review/: the endpoint list, stores, clients, and the start of a front.

All of them live in the process of the test and speak on loopback addresses by the real clock. The front
is a process of its own, started with the command `run` of deploy/balancer.toml. Standard library only.
"""
import asyncio
import json
import os
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import zlib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"


def now_ms():
    return time.time() * 1000


class CannotRun(Exception):
    pass


class Record:
    """record.txt: what was sent, answered and run, a line each, stamped in seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.begun = time.time()

    def line(self, text):
        self.file.write("%9.3f %s\n" % (time.time() - self.begun, text))

    def say(self, text):
        self.line(text)
        print(text, flush=True)

    def close(self):
        self.file.close()


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def run_command():
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        found = re.search(r'^run *= *"(.*)"', file.read(), re.M)
    if not found:
        raise CannotRun("deploy/balancer.toml names no run")
    return found.group(1)


class Front:
    """One front: its folder, its configuration, its process."""

    all = []

    def __init__(self, record, name, discovery_port, known, settings, hcl="", memory_mb=192):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="reedchute-review-")
        self.port = free_port()
        self.cql_port = free_port()
        self.name = name
        self.config = {
            "name": name,
            "listen": "%s:%d" % (HOST, self.port),
            "discovery": "%s:%d" % (HOST, discovery_port),
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024},
            "known": known,
            "settings": settings,
        }
        self.write("config.json", json.dumps(self.config))
        self.hcl = hcl.replace("CQL_PORT", str(self.cql_port)).replace("FOLDER", self.folder)
        self.process = None
        self.starts = 0
        Front.all.append(self)

    def clean(self):
        """Ends what is left of the front and removes its folder; its log goes into the record."""
        if self.process and self.process.returncode is None:
            try:
                os.kill(self.process.pid, signal.SIGKILL)
            except ProcessLookupError:
                pass
        for number in range(1, self.starts + 1):
            self.record.line("log of front %s, start %d:" % (self.name, number))
            with open(os.path.join(self.folder, "front-%d.log" % number), errors="replace") as file:
                for line in file.read().splitlines()[:400]:
                    self.record.line("  " + line)
        shutil.rmtree(self.folder, ignore_errors=True)

    def write(self, name, text):
        path = os.path.join(self.folder, name)
        with open(path, "w") as file:
            file.write(text)
        return path

    async def start(self):
        command = run_command()
        if self.hcl:
            command += " --settings " + self.write("settings.hcl", self.hcl)
        environment = dict(os.environ, LB_NAME=self.name, LB_LISTEN=self.config["listen"],
                           LB_DISCOVERY=self.config["discovery"],
                           LB_CONFIG=os.path.join(self.folder, "config.json"), TMPDIR=self.folder)
        self.starts += 1
        log = open(os.path.join(self.folder, "front-%d.log" % self.starts), "w")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log)
        log.close()
        self.record.line("front %s started, pid %d" % (self.name, self.process.pid))

    async def ready(self, limit=10.0):
        """Waits until the front answers an empty query, as the platform does."""
        until = time.time() + limit
        while time.time() < until:
            if self.process.returncode is not None:
                raise CannotRun("the front ended: " + self.log()[-300:])
            try:
                client = await PgClient.connect(self.port)
                answer = await asyncio.wait_for(client.query(""), 1.0)
                client.close()
                if answer[0] == "empty":
                    self.record.line("front %s is ready" % self.name)
                    return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.02)
        raise CannotRun("the front isn't ready after %g s: %s" % (limit, self.log()[-300:]))

    def log(self):
        try:
            with open(os.path.join(self.folder, "front-%d.log" % self.starts)) as file:
                return file.read()
        except OSError:
            return ""

    async def end(self, how=signal.SIGTERM, limit=5.0):
        if not self.process or self.process.returncode is not None:
            return
        self.record.line("front %s gets signal %d" % (self.name, how))
        self.process.send_signal(how)
        try:
            await asyncio.wait_for(self.process.wait(), limit)
        except asyncio.TimeoutError:
            self.process.kill()
            await self.process.wait()


class EndpointListServer:
    """Discovery: the whole list, and watches of changes."""

    def __init__(self, entries):
        self.version = 1
        self.entries = entries
        self.changed_at = {entry["id"]: 1 for entry in entries}
        self.news = asyncio.Event()
        self.port = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def known(self):
        return {"version": self.version, "full": True, "servers": [dict(e) for e in self.entries]}

    def change(self, store, **fields):
        for entry in self.entries:
            if entry["id"] == store:
                entry.update(fields)
                self.version += 1
                self.changed_at[store] = self.version
        self.news.set()
        self.news = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split(b" ", 2)[1].decode()
                fields = dict(re.findall(r"(\w+)=(\d+)", path))
                body = self.known()
                if "index" in fields:
                    index = int(fields["index"])
                    until = time.time() + min(int(fields.get("wait", 0)), 60000) / 1000
                    while self.version <= index and time.time() < until:
                        waiting = asyncio.ensure_future(self.news.wait())
                        await asyncio.wait([waiting], timeout=until - time.time())
                        waiting.cancel()
                    body = {"version": self.version, "full": False, "servers": [
                        dict(e) for e in self.entries if self.changed_at[e["id"]] > index]}
                data = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % len(data) + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


# ---- Cassandra's protocol, versions 4 and 5 ----

def cql_string(text):
    data = text.encode()
    return struct.pack(">H", len(data)) + data


def cql_bytes(data):
    if data is None:
        return struct.pack(">i", -1)
    return struct.pack(">i", len(data)) + data


def cql_payload(fields):
    body = struct.pack(">H", len(fields))
    for name, value in fields.items():
        body += cql_string(name) + cql_bytes(str(value).encode())
    return body


def cql_frame(response, flags, stream, opcode, body, version=4):
    first = version | (0x80 if response else 0)
    return struct.pack(">BBhBi", first, flags, stream, opcode, len(body)) + body


def crc24(data):
    crc = 0x875060
    for byte in data:
        crc ^= byte << 16
        for _ in range(8):
            crc <<= 1
            if crc & 0x1000000:
                crc ^= 0x1974F0B
    return crc


def crc32(data):
    return zlib.crc32(data, zlib.crc32(b"\xfa\x2d\x55\xca")) & 0xFFFFFFFF


def segment(frames):
    """Version 5: a self-contained segment of whole frames."""
    head = struct.pack("<I", len(frames) | 1 << 17)[:3]
    return head + struct.pack("<I", crc24(head))[:3] + frames + struct.pack("<I", crc32(frames))


class FrameReader:
    """Reads frames from a stream, bare or in segments (only self-contained ones)."""

    def __init__(self, reader):
        self.reader, self.in_segments, self.frames = reader, False, b""

    async def next(self):
        if not self.in_segments:
            head = await self.reader.readexactly(9)
            version, flags, stream, opcode, size = struct.unpack(">BBhBi", head)
            return version & 0x7F, flags, stream, opcode, await self.reader.readexactly(size)
        if not self.frames:
            head = await self.reader.readexactly(6)
            size = struct.unpack("<I", head[:3] + b"\0")[0] & 0x1FFFF
            self.frames = await self.reader.readexactly(size)
            await self.reader.readexactly(4)
        version, flags, stream, opcode, size = struct.unpack(">BBhBi", self.frames[:9])
        body, self.frames = self.frames[9:9 + size], self.frames[9 + size:]
        return version & 0x7F, flags, stream, opcode, body


class Reader:
    def __init__(self, data):
        self.data, self.at = data, 0

    def take(self, size):
        part = self.data[self.at:self.at + size]
        if len(part) != size:
            raise ValueError("short body")
        self.at += size
        return part

    def number(self, form):
        return struct.unpack(">" + form, self.take(struct.calcsize(">" + form)))[0]

    def string(self):
        return self.take(self.number("H")).decode()

    def long_string(self):
        return self.take(self.number("i")).decode()

    def bytes(self):
        size = self.number("i")
        return None if size < 0 else self.take(size)

    def payload(self):
        return {self.string(): (self.bytes() or b"").decode() for _ in range(self.number("H"))}


ERROR, STARTUP, READY, OPTIONS, SUPPORTED, QUERY, RESULT = 0, 1, 2, 5, 6, 7, 8
HAS_PAYLOAD = 4


def rows_body(value, next_page=None):
    """RESULT Rows with one row of one text column, and the paging state of the next page."""
    flags = 1 | (2 if next_page is not None else 0)
    body = struct.pack(">iii", 2, flags, 1)
    if next_page is not None:
        body += cql_bytes(next_page)
    body += cql_string("weather") + cql_string("entries") + cql_string("payload")
    return body + struct.pack(">Hi", 0x000d, 1) + cql_bytes(value.encode())


VOID_BODY = struct.pack(">i", 1)


def error_body(code, text, rest=b""):
    return struct.pack(">i", code) + cql_string(text) + rest


class CqlStatement:
    """What a store receives."""

    def __init__(self, version, flags, stream, body):
        self.stream = stream
        reader = Reader(body)
        self.payload = reader.payload() if flags & HAS_PAYLOAD else {}
        self.text = reader.long_string()
        self.consistency = reader.number("H")
        query_flags = reader.number("i" if version >= 5 else "B")
        if query_flags & 1:
            for _ in range(reader.number("H")):
                reader.bytes()
        if query_flags & 4:
            reader.number("i")
        self.page = reader.bytes() if query_flags & 8 else None

    def is_write(self):
        return not self.text.lstrip().lower().startswith("select")


class CqlStore:
    """One store's door for Cassandra's protocol. `owner` says what it answers:
    answer(store, statement) -> (payload, opcode, body) or None for no answer, and usage(store)."""

    def __init__(self, owner, name):
        self.owner, self.name = owner, name
        self.open = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.open.add(writer)
        frames = FrameReader(reader)
        put = None
        try:
            while True:
                version, flags, stream, opcode, body = await frames.next()

                def put(*frame, inside=frames.in_segments or version >= 5 and opcode != STARTUP, v=version):
                    data = cql_frame(True, *frame, version=v)
                    writer.write(segment(data) if inside else data)

                if opcode == STARTUP:
                    put(0, stream, READY, b"")
                    frames.in_segments = version >= 5
                elif opcode == OPTIONS:
                    options = {"CQL_VERSION": ["3.4.5"], "USAGE": [self.owner.usage(self)]}
                    out = struct.pack(">H", len(options))
                    for name, values in options.items():
                        out += cql_string(name) + struct.pack(">H", len(values))
                        out += b"".join(cql_string(value) for value in values)
                    put(0, stream, SUPPORTED, out)
                elif opcode == QUERY:
                    statement = CqlStatement(version, flags, stream, body)
                    statement.arrived = time.time()
                    statement.connection = writer
                    asyncio.ensure_future(self.run(statement, writer, put))
                else:
                    put(0, stream, ERROR, error_body(0x000A, "only QUERY is spoken here"))
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    async def run(self, statement, writer, put):
        answer = await self.owner.answer(self, statement)
        if answer is None or writer.is_closing():
            return
        payload, opcode, body = answer
        put(HAS_PAYLOAD, statement.stream, opcode, cql_payload(payload) + body)


class CqlAnswer:
    def __init__(self, flags, opcode, body):
        reader = Reader(body)
        self.payload = reader.payload() if flags & HAS_PAYLOAD else {}
        self.code, self.text, self.value, self.next_page = None, "", None, None
        if opcode == ERROR:
            self.code, self.text = reader.number("i"), reader.string()
            return
        if opcode != RESULT or reader.number("i") != 2:
            return
        flags, _ = reader.number("i"), reader.number("i")
        if flags & 2:
            self.next_page = reader.bytes()
        for _ in range(3):
            reader.string()
        reader.number("H")
        if reader.number("i") > 0:
            self.value = (reader.bytes() or b"").decode()

    def __str__(self):
        return "error %04x %s" % (self.code, self.text) if self.code is not None else "row %s" % self.value


class CqlClient:
    @staticmethod
    async def connect(port, version=4):
        client = CqlClient()
        client.version = version
        client.reader, client.writer = await asyncio.open_connection(HOST, port)
        client.frames = FrameReader(client.reader)
        client.waiting, client.next_stream = {}, 0
        client.writer.write(cql_frame(False, 0, 0, STARTUP, struct.pack(">H", 1) +
                                      cql_string("CQL_VERSION") + cql_string("3.0.0"), version))
        _, _, _, opcode, _ = await client.frames.next()
        if opcode != READY:
            raise CannotRun("the door for Cassandra's protocol isn't ready")
        client.frames.in_segments = version >= 5
        client.task = asyncio.ensure_future(client.receive())
        return client

    async def receive(self):
        try:
            while True:
                _, flags, stream, opcode, body = await self.frames.next()
                future = self.waiting.pop(stream, None)
                if future and not future.done():
                    future.set_result(CqlAnswer(flags, opcode, body))
        except (OSError, asyncio.IncompleteReadError):
            for future in self.waiting.values():
                if not future.done():
                    future.set_exception(ConnectionError("the front closed the connection"))

    def ask(self, text, payload, page_size=None, page=None):
        """Sends a QUERY; returns a future of its answer."""
        future, frame = self.frame(text, payload, page_size, page)
        self.send([frame])
        return future

    def send(self, frames):
        """Sends frames by one write: in version 5 in one segment."""
        data = b"".join(frames)
        self.writer.write(segment(data) if self.version >= 5 else data)

    def frame(self, text, payload, page_size=None, page=None):
        """A QUERY that isn't sent yet, and a future of its answer."""
        self.next_stream = (self.next_stream + 1) % 1000
        flags = (4 if page_size else 0) | (8 if page is not None else 0)
        body = cql_payload(payload) + struct.pack(">i", len(text)) + text.encode()
        body += struct.pack(">Hi" if self.version >= 5 else ">HB", 1, flags)
        if page_size:
            body += struct.pack(">i", page_size)
        if page is not None:
            body += cql_bytes(page)
        future = asyncio.get_running_loop().create_future()
        if self.task.done():
            future.set_exception(ConnectionError("the front closed the connection"))
        self.waiting[self.next_stream] = future
        return future, cql_frame(False, HAS_PAYLOAD, self.next_stream, QUERY, body, self.version)

    def close(self):
        self.task.cancel()
        self.writer.close()


# ---- PostgreSQL's protocol ----

def pg_message(kind, payload):
    return kind + struct.pack(">i", len(payload) + 4) + payload


def pg_fields(text):
    found = re.search(r"/\* *(.*?) *\*/ *$", text, re.S)
    return dict(part.split("=", 1) for part in found.group(1).split(",")) if found else {}


class PgStore:
    """One store's door for PostgreSQL's protocol. The owner has `pg_answer(store, text)`, which gives
    (parameters, value or None, error code or None), or None for no answer, and `usage(store)`."""

    def __init__(self, owner, name):
        self.owner, self.name = owner, name

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            size = struct.unpack(">i", await reader.readexactly(4))[0]
            await reader.readexactly(size - 4)
            writer.write(pg_message(b"R", b"\0\0\0\0") + pg_message(b"Z", b"I"))
            while True:
                kind = await reader.readexactly(1)
                size = struct.unpack(">i", await reader.readexactly(4))[0]
                payload = await reader.readexactly(size - 4)
                if kind == b"X":
                    break
                text = payload.rstrip(b"\0").decode()
                if not text:
                    writer.write(pg_message(b"I", b"") + pg_message(b"Z", b"I"))
                    continue
                if text == "SHOW usage":
                    answer = ({}, self.owner.usage(self), None)
                else:
                    answer = await self.owner.pg_answer(self, text, writer)
                if answer is None:
                    continue
                parameters, value, code = answer
                out = b""
                if code:
                    out += pg_message(b"E", b"SERROR\0C" + code.encode() + b"\0Mrefused\0\0")
                else:
                    out += pg_message(b"T", b"\0\1payload\0" + b"\0" * 6 + struct.pack(">ihih", 17, -1, -1, 1))
                    out += pg_message(b"D", b"\0\1" + struct.pack(">i", len(value)) + value.encode())
                    out += pg_message(b"C", b"SELECT 1\0")
                for name, word in parameters.items():
                    out += pg_message(b"S", name.encode() + b"\0" + word.encode() + b"\0")
                writer.write(out + pg_message(b"Z", b"I"))
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class PgClient:
    @staticmethod
    async def connect(port):
        client = PgClient()
        client.reader, client.writer = await asyncio.open_connection(HOST, port)
        start = struct.pack(">i", 196608) + b"user\0web\0database\0orders\0\0"
        client.writer.write(struct.pack(">i", len(start) + 4) + start)
        await client.answer()
        return client

    async def answer(self):
        """The answer up to ReadyForQuery: ('row', value), ('error', code), ('empty', '') or ('', '')."""
        found = ("", "")
        while True:
            kind = await self.reader.readexactly(1)
            size = struct.unpack(">i", await self.reader.readexactly(4))[0]
            payload = await self.reader.readexactly(size - 4)
            if kind == b"D":
                found = ("row", payload[6:].decode())
            elif kind == b"I":
                found = ("empty", "")
            elif kind == b"E":
                found = ("error", re.search(rb"C(\w{5})\0", payload).group(1).decode())
            elif kind == b"Z":
                return found

    def send(self, text):
        self.writer.write(pg_message(b"Q", text.encode() + b"\0"))

    async def query(self, text):
        self.send(text)
        return await self.answer()

    def close(self):
        self.writer.close()


def main(case, folder):
    """Runs `case(record, trouble)`, a coroutine that returns the broken rules as a list of lines."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.say("trouble: %s" % ("on" if trouble else "off"))
    broken, failure = [], None
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, trouble), 110))
    except (Exception, KeyboardInterrupt) as error:  # whatever it is, the case has not been judged
        failure = error
    if failure is None:
        for line in broken:
            record.say("BROKEN " + line)
        record.say("the rule was broken" if broken else "the rule held")
    else:
        record.say("could not run: %r" % failure)
    for front in Front.all:
        front.clean()
    record.close()
    sys.exit(2 if failure else 1 if broken else 0)
