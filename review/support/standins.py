"""Stand-ins of the platform, the servers and the clients for the review cases.

They speak what PROTOCOL.md says and run inside one Python process with the
standard library only. The gateways are the project's own program, started as
separate processes with the command of deploy/system.toml.

Every gateway reaches the store and each server through listeners of its own
(class Link), so that a case can reset and refuse the path between one gateway
and one peer, as a proxy would.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import struct
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_S = 0.87
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           500: "Internal Server Error", 503: "Service Unavailable"}


class CouldNotRun(Exception):
    """The case could not be carried out; exit code 2."""


class Record:
    """Collects what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def __call__(self, what, **fields):
        line = "%9.4f %-14s %s" % (
            self.now(), what, " ".join("%s=%s" % item for item in fields.items()))
        self._file.write(line.rstrip() + "\n")

    def close(self):
        self._file.close()


class Message:
    """An HTTP message: its first line, headers with lower-case names, body."""

    def __init__(self, first_line, headers, body):
        self.first_line = first_line
        self.headers = headers
        self.body = body

    @property
    def method(self):
        return self.first_line.split(" ")[0]

    @property
    def target(self):
        return self.first_line.split(" ")[1]

    @property
    def status(self):
        return int(self.first_line.split(" ")[1])


async def read_message(reader):
    """Reads a message with a length; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    length = int(headers.get("content-length", "0"))
    if length:
        try:
            body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return Message(lines[0], headers, body)


def encode_response(status, headers=None, body=b""):
    lines = ["HTTP/1.1 %d %s" % (status, REASONS.get(status, "Status"))]
    for name, value in (headers or {}).items():
        lines.append("%s: %s" % (name, value))
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def set_reset_on_close(writer):
    sock = writer.get_extra_info("socket")
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        struct.pack("ii", 1, 0))
    except (AttributeError, OSError):
        pass  # already closed


class Link:
    """A listener of one peer for one caller, with the path's disruptions."""

    def __init__(self, handler):
        self._handler = handler  # async (message, link) -> bytes or None
        self._server = None
        self._writers = set()
        self.port = 0

    @property
    def address(self):
        return "127.0.0.1:%d" % self.port

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=1 << 20)
        self.port = self._server.sockets[0].getsockname()[1]

    async def refuse(self):
        """Resets all connections and refuses new ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            set_reset_on_close(writer)
            writer.transport.abort()

    async def accept(self):
        """Ends refuse()."""
        if self._server is None:
            await self.start()

    async def stop(self):
        await self.refuse()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                answer = await self._handler(message, self)
                if answer is None:
                    # The answer is lost and so is its connection.
                    set_reset_on_close(writer)
                    writer.transport.abort()
                    break
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


class Store:
    """The platform's store: topics of keyed records with one partition."""

    WRITE_S = 0.004

    def __init__(self, record):
        self._record = record
        self._topics = {}
        self._changed = asyncio.Condition()
        self.views = {}  # Link -> {address in an entry: address to show}

    def _topic(self, name):
        return self._topics.setdefault(name, {"records": [], "newest": {}})

    async def put(self, topic_name, key, value):
        """Writes a record as the operator or a server does."""
        await self._add(self._topic(topic_name),
                        [bytes([len(key)]) + key.encode() + value])

    def get(self, topic_name, key):
        found = self._topic(topic_name)["newest"].get(key)
        return None if found is None else found[1]

    async def _add(self, topic, records):
        for record in records:
            key = record[1:1 + record[0]].decode()
            value = record[1 + record[0]:]
            if value:
                topic["newest"][key] = (len(topic["records"]), value)
            else:
                topic["newest"].pop(key, None)
            topic["records"].append(record)
        async with self._changed:
            self._changed.notify_all()

    def _show(self, link, topic_name, data):
        if topic_name == "keyed.servers":
            for known, shown in self.views.get(link, {}).items():
                data = data.replace(b'"' + known.encode() + b'"',
                                    b'"' + shown.encode() + b'"')
        return data

    async def handle(self, message, link):
        url = urllib.parse.urlsplit(message.target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        name = query.get("Topic", "")
        topic = self._topic(name)
        era = {"Store-Era": "1"}
        if url.path == "/-/log-append":
            await asyncio.sleep(self.WRITE_S)
            end = len(topic["records"])
            if "At" in query and int(query["At"]) != end:
                return encode_response(412, era,
                                       json.dumps({"End": end}).encode())
            body, records = message.body, []
            while body:
                size = struct.unpack(">I", body[:4])[0]
                records.append(body[4:4 + size])
                body = body[4 + size:]
            await self._add(topic, records)
            if name == "keyed.owners":
                table = json.loads(records[-1][1 + records[-1][0]:])
                self._record("key-table", lead=table["lead"],
                             term=table["term"], fence=table["fence"],
                             services=json.dumps(table["services"]),
                             targets=json.dumps(table["targets"]))
            return encode_response(200, era, json.dumps(
                {"Offset": end, "End": len(topic["records"])}).encode())
        if url.path == "/-/log-read":
            start = int(query.get("From", "0"))
            deadline = time.monotonic() + int(query.get("WaitMs", "0")) / 1000
            if start > len(topic["records"]):
                return encode_response(410, era, b'{"First":0}')
            while len(topic["records"]) <= start:
                left = deadline - time.monotonic()
                if left <= 0:
                    break
                try:
                    async with self._changed:
                        await asyncio.wait_for(self._changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
            body = struct.pack(">QQ", len(topic["records"]), 0)
            limit = int(query.get("MaxKb", "1024")) * 1024
            for index, item in enumerate(topic["records"][start:]):
                item = self._show(link, name, item)
                if index and len(body) + len(item) > limit:
                    break
                body += struct.pack(">I", len(item)) + item
            return encode_response(200, era, body)
        if url.path == "/-/log-newest":
            items = [{"Key": key, "Offset": offset, "Value": base64.b64encode(
                self._show(link, name, value)).decode()}
                for key, (offset, value) in sorted(topic["newest"].items())]
            return encode_response(200, era, json.dumps(
                {"items": items, "HasMore": False,
                 "End": len(topic["records"])}).encode())
        return encode_response(404, era)


class Server:
    """An endpoint of a service, registered in the store under its id."""

    def __init__(self, record, store, server_id, service, zone, work_s,
                 keyed=False, slots=3, queue=12):
        self._record = record
        self._store = store
        self.id = server_id
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.keyed = keyed
        self.slots = slots
        self.queue = queue
        self.state = "ready"
        self.links = {}  # name of a gateway -> Link
        self.holds = []  # first, last, fence, until (monotonic)
        self.hold_log = []  # first, last, fence, from, until (record time)
        self.seen = []  # first, last, fence
        self.begun = []  # record time, key, request id
        self.running = 0
        self.waiting = 0
        self._slot_free = asyncio.Condition()
        self._running_keys = []
        self._born = int(time.time() * 1000)
        self._sequence = 0
        # Cases replace these: order hook returns seconds to wait before the
        # order is carried out, and whether it is answered.
        self.order_hook = None
        # Cases replace it: called as a run ends; false loses its answer.
        self.answer_hook = None

    async def add_link(self, gateway_name, store_link):
        link = Link(self.handle)
        await link.start()
        self.links[gateway_name] = link
        self._store.views.setdefault(store_link, {})[self.id] = link.address

    async def report(self):
        """Writes the entry once."""
        self._sequence += 1
        # The store shows each gateway the address of its own link.
        entry = {"Address": self.id, "born": self._born,
                 "Info": {"Service": self.service, "Version": "v1",
                          "Zone": self.zone, "Slots": self.slots},
                 "Status": {"State": self.state, "Sequence": self._sequence,
                            "ColdLeft": "0ms"}}
        await self._store.put("keyed.servers", self.id,
                              json.dumps(entry).encode())

    async def report_always(self):
        while True:
            await self.report()
            await asyncio.sleep(HEARTBEAT_S)

    # Orders about keys.

    def _newer_seen(self, first, last, fence):
        return any(f <= last and first <= l and t > fence
                   for f, l, t in self.seen)

    def _drop_holds(self, first, last, fence):
        now, kept = time.monotonic(), []
        for f, l, t, until in self.holds:
            if l < first or last < f or t > fence:
                kept.append((f, l, t, until))
                continue
            if f < first:
                kept.append((f, first - 1, t, until))
            if last < l:
                kept.append((last + 1, l, t, until))
        self.holds = [h for h in kept if h[3] > now]

    def holds_key(self, key):
        now = time.monotonic()
        return any(f <= key <= l and now < until
                   for f, l, _, until in self.holds)

    def _apply_grant(self, body, arrival):
        first, last, fence = body["From"], body["To"], body["fence"]
        if self._newer_seen(first, last, fence):
            return 409
        hold = float(body["Hold"].removesuffix("ms")) / 1000
        until = arrival + hold
        offset = self._record.now() - time.monotonic()
        self._drop_holds(first, last, fence)
        self.holds.append((first, last, fence, until))
        self.seen.append((first, last, fence))
        self.hold_log.append([first, last, fence, self._record.now(),
                              until + offset])
        self._record("holds", server=self.id, first=first, last=last,
                     fence=fence, until="%.4f" % (until + offset))
        return 200

    def _apply_release(self, body):
        first, last, fence = body["From"], body["To"], body["fence"]
        self._drop_holds(first, last, fence)
        self.seen.append((first, last, fence))
        now = self._record.now()
        for entry in self.hold_log:
            if entry[0] <= last and first <= entry[1] and entry[2] <= fence:
                entry[4] = min(entry[4], now)

    async def _order(self, message, link):
        arrival = time.monotonic()
        body = json.loads(message.body)
        kind = message.target.rsplit("/", 1)[1]
        by = next((n for n, l in self.links.items() if l is link), "?")
        self._record("order", server=self.id, kind=kind, by=by,
                     first=body["From"], last=body["To"], fence=body["fence"],
                     hold=body.get("Hold", "-"))
        delay, answered = (0, True)
        if self.order_hook is not None:
            delay, answered = self.order_hook(self, kind, by, body)
        if not answered:
            self._record("unanswered", server=self.id, kind=kind, by=by)

            async def carry_out():
                await asyncio.sleep(delay)
                if kind == "grant":
                    status = self._apply_grant(body, arrival)
                else:
                    self._apply_release(body)
                    status = 200
                self._record("carried-out", server=self.id, kind=kind,
                             status=status)
            self._late = asyncio.ensure_future(carry_out())
            await asyncio.Event().wait()
        if kind == "grant":
            return encode_response(self._apply_grant(body, arrival))
        self._apply_release(body)
        while any(body["From"] <= key <= body["To"]
                  for key in self._running_keys):
            await asyncio.sleep(0.005)
        return encode_response(200, {"Handover": "h" + self.id})

    # Requests.

    def _load(self):
        return "%d,%d,%d" % (self.running, self.waiting, self.slots)

    def _refuse(self, request_id, status, why):
        self._record("refused", server=self.id, id=request_id, status=status,
                     why=why)
        headers = {"Not-Executed": "1", "Server-Load": self._load()}
        if request_id:
            headers["Attempt-Id"] = request_id
        return encode_response(status, headers)

    async def handle(self, message, link):
        expected = message.headers.get("target-instance")
        if expected is not None and expected != self.id:
            return encode_response(421, {"Instance-Id": self.id})
        if message.target.startswith("/-/"):
            return await self._order(message, link)
        if message.target == "/health":
            return encode_response(200, {"Instance-Id": self.id,
                                         "Server-Load": self._load()})
        return await self._run(message, link)

    async def _run(self, message, link):
        request_id = message.headers.get("attempt-id", "")
        key = int(message.headers.get("shard-key", "-1"))
        deadline = time.monotonic() + int(
            message.headers.get("deadline-ms", "60000")) / 1000
        if self.keyed and not self.holds_key(key):
            return self._refuse(request_id, 421, "keys not held")
        if self.running >= self.slots:
            if self.waiting >= self.queue:
                return self._refuse(request_id, 503, "full")
            self.waiting += 1
            try:
                async with self._slot_free:
                    await self._slot_free.wait_for(
                        lambda: self.running < self.slots)
            finally:
                self.waiting -= 1
            if time.monotonic() >= deadline:
                return self._refuse(request_id, 503, "deadline in queue")
            if self.keyed and not self.holds_key(key):
                return self._refuse(request_id, 421, "keys not held")
        by = next((n for n, l in self.links.items() if l is link), "?")
        self.running += 1
        self._running_keys.append(key)
        self.begun.append((self._record.now(), key, request_id))
        self._record("begin", server=self.id, by=by, id=request_id, key=key)
        work = float(message.headers.get("x-work-ms", self.work_s * 1000)) / 1000
        try:
            await asyncio.sleep(min(work, max(0, deadline - time.monotonic())))
        finally:
            self.running -= 1
            self._running_keys.remove(key)
            async with self._slot_free:
                self._slot_free.notify_all()
        whole = time.monotonic() < deadline
        self._record("end", server=self.id, id=request_id,
                     in_time="yes" if whole else "no")
        if self.answer_hook is not None and not self.answer_hook(
                self, message, by):
            self._record("answer-lost", server=self.id, id=request_id)
            return None
        if not whole:
            return encode_response(504, {"Attempt-Id": request_id,
                                         "Response-Signature": "late"})
        return encode_response(
            200, {"Attempt-Id": request_id, "Server-Load": self._load(),
                  "Response-Signature": "by-" + self.id},
            ("answer to " + request_id).encode())


SETTINGS = """Grants = "call"
[Local]
NodeName = "{name}"
Role = "gateway"
MachineClass = "edge"
Serves = ["edge"]
Ip = "127.0.0.1"
Zone = "{zone}"
Region = "prairie-west"
CountsTowardLoss = false
Bootstrap = true
[Local.Limits]
CpuShare = 0.2
Cores = 1
MemoryMb = 260
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[Network]
InternalPorts = [{peer}, {peer}]
Seeds = []
[Network.Listen]
Front = "127.0.0.1:{front}"
Ready = "127.0.0.1:{ready}"
[Platform]
Discovery = "platform"
Entry = "vip"
Heartbeat = "870ms"
[Platform.Platform]
Address = "{store}"
form = "log"
[Terms.Bounds]
ReuseAfter = "2s"
StableWindow = "3000ms"
Drain = "2000ms"
Grace = "6s"
ConfigApply = "2000ms"
RetryBudgetRatio = 0.2
BudgetWindow = "10s"
RetryBudgetBase = 62
HoldMax = "10000ms"
ThawSlack = "300ms"
"""


def free_port(chosen=set()):
    """A free port below those that the kernel gives to outgoing connections."""
    while True:
        port = random.randrange(12000, 30000)
        with socket.socket() as tcp, socket.socket(
                socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in chosen:
            chosen.add(port)
            return port


def gateway_command():
    text = (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
    found = re.search(r'^run = "([^"]+)"', text, re.M)
    if not found:
        raise CouldNotRun("no command in deploy/system.toml")
    command = found.group(1).split()
    if not (ROOT / command[0]).exists():
        raise CouldNotRun(command[0] + " is not built")
    return command


class Gateway:
    """A gateway process with its settings file and its link to the store."""

    def __init__(self, record, directory, store, name, zone):
        self._record = record
        self._directory = directory
        self._store = store
        self.name = name
        self.zone = zone
        self.store_link = Link(store.handle)
        self.front = free_port()
        self.ready_port = free_port()
        self.peer = free_port()
        self.process = None
        self._output = None

    async def start(self):
        if self.store_link.port == 0:
            await self.store_link.start()
        path = self._directory / (self.name + ".toml")
        path.write_text(SETTINGS.format(
            name=self.name, zone=self.zone, peer=self.peer, front=self.front,
            ready=self.ready_port, store=self.store_link.address),
            encoding="utf-8")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        environment["SNIPEHALL_NODE_FILE"] = str(path)
        self._output = open(self._directory / (self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *gateway_command(), cwd=ROOT, env=environment,
            stdin=asyncio.subprocess.DEVNULL, stdout=self._output,
            stderr=self._output)
        self._record("start", gateway=self.name, pid=self.process.pid)

    def signal(self, number):
        self._record("signal", gateway=self.name,
                     signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.ready_port)
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: p\r\n\r\n")
            answer = await asyncio.wait_for(read_message(reader), 1)
            writer.transport.abort()
            return answer is not None and answer.status == 200
        except (OSError, asyncio.TimeoutError):
            return False

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        if self._output is not None:
            self._output.close()

    def log_lines(self):
        path = self._directory / (self.name + ".log")
        return path.read_text(errors="replace").splitlines()


class Client:
    """A client's kept connection to one gateway."""

    def __init__(self, record, gateway):
        self._record = record
        self._gateway = gateway
        self._reader = None
        self._writer = None

    def close(self):
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None

    async def send(self, request_id, method, path, host, deadline_ms,
                   key=None, body=b"", headers=None, quiet=False):
        """Returns (status, headers, body); status 0 for no answer."""
        if self._writer is None:
            try:
                self._reader, self._writer = await asyncio.open_connection(
                    "127.0.0.1", self._gateway.front)
            except OSError:
                self._record("no-connection", id=request_id,
                             gateway=self._gateway.name)
                return 0, {}, b""
        lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + host,
                 "Attempt-Id: " + request_id, "Deadline-Ms: %d" % deadline_ms]
        if key is not None:
            lines.append("Shard-Key: %d" % key)
        for name, value in (headers or {}).items():
            lines.append("%s: %s" % (name, value))
        if method == "POST":
            lines.append("Content-Length: %d" % len(body))
        self._record("sent", id=request_id, gateway=self._gateway.name,
                     request=method + " " + path, key=key)
        try:
            self._writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            answer = await asyncio.wait_for(read_message(self._reader),
                                            deadline_ms / 1000)
        except (OSError, asyncio.TimeoutError):
            answer = None
        if answer is None:
            self._record("no-answer", id=request_id,
                         gateway=self._gateway.name)
            self.close()
            return 0, {}, b""
        self._record("answered", id=request_id, status=answer.status,
                     signature=answer.headers.get("response-signature", "none"))
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer.status, answer.headers, answer.body


class Deployment:
    """Store, servers and gateways of one case, ended by close()."""

    def __init__(self, folder):
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="snipehall-review-"))
        self.store = Store(self.record)
        self.gateways = []
        self.servers = []
        self._tasks = []

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.append(task)
        return task

    async def add_gateways(self, names_and_zones):
        for name, zone in names_and_zones:
            gateway = Gateway(self.record, self.directory, self.store, name, zone)
            await gateway.store_link.start()
            self.gateways.append(gateway)

    async def add_server(self, server):
        for gateway in self.gateways:
            await server.add_link(gateway.name, gateway.store_link)
        self.servers.append(server)
        self.spawn(server.report_always())

    async def publish(self, configuration):
        await self.store.put("keyed.op", "config",
                             json.dumps(configuration).encode())
        self.record("config-acked", version=configuration["Version"])

    async def start(self, limit_s=25):
        for gateway in self.gateways:
            await gateway.start()
        end = time.monotonic() + limit_s
        for gateway in self.gateways:
            while not await gateway.is_ready():
                if time.monotonic() > end:
                    raise CouldNotRun(gateway.name + " is not ready")
                await asyncio.sleep(0.1)

    def key_table(self):
        value = self.store.get("keyed.owners", "table")
        return json.loads(value) if value else None

    def leader(self):
        table = self.key_table()
        return next((g for g in self.gateways
                     if table and g.name == table["lead"]), None)

    async def close(self):
        for task in self._tasks:
            task.cancel()
        for gateway in self.gateways:
            for line in gateway.log_lines() if gateway.process else []:
                self.record("log", gateway=gateway.name, line=line)
            await gateway.stop()
            await gateway.store_link.stop()
        for server in self.servers:
            for link in server.links.values():
                await link.stop()
        shutil.rmtree(self.directory, ignore_errors=True)
        self.record.close()


def run_case(folder, case):
    """Runs `case(deployment, trouble)`, which returns a verdict text or None.

    Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        deployment = Deployment(folder)
        try:
            broken = await asyncio.wait_for(case(deployment, trouble), 110)
            deployment.record("verdict", broken=broken or "no")
            return broken
        finally:
            await deployment.close()

    try:
        broken = asyncio.run(main())
    except BaseException as error:  # a failure of the case itself
        print("could not run:", repr(error), flush=True)
        os._exit(2)
    print("BROKEN: " + broken if broken else "held", flush=True)
    os._exit(1 if broken else 0)
