"""Stand-ins of the platform for the review's cases: callers, render farm agent, ledger and directory.

Standard library only, loopback only. Each follows the protocol page; what a case needs beyond that is a hook that the
case sets. Everything sent, answered and run goes to the case's record.
"""

import itertools
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def run_case(main):
    """Exits with what `main` returns; with 2 where it fails or is ended, which says nothing about the rule."""

    def end(number, frame):
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, end)
    signal.signal(signal.SIGINT, end)
    try:
        status = main()
    except Exception:  # noqa: BLE001
        traceback.print_exc()
        status = 2
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)


def now_ms():
    return time.time() * 1000.0


class Record:
    """The case's record.txt: one line an event, with its Unix time in ms."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()

    def say(self, text):
        with self.lock:
            if not self.file.closed:
                self.file.write("%.1f %s\n" % (now_ms(), text))
                self.file.flush()

    def close(self):
        with self.lock:
            self.file.close()


# ---- MessagePack, as far as the protocol needs it ----


def pack(v):
    if v is None:
        return b"\xc0"
    if isinstance(v, bool):
        return b"\xc3" if v else b"\xc2"
    if isinstance(v, int):
        return struct.pack(">B", v) if 0 <= v < 128 else b"\xce" + struct.pack(">I", v)
    if isinstance(v, bytes):
        return b"\xc5" + struct.pack(">H", len(v)) + v
    if isinstance(v, str):
        b = v.encode()
        return (bytes([0xA0 | len(b)]) if len(b) < 32 else b"\xda" + struct.pack(">H", len(b))) + b
    if isinstance(v, (list, tuple)):
        return b"\xdc" + struct.pack(">H", len(v)) + b"".join(pack(x) for x in v)
    if isinstance(v, dict):
        body = b"".join(pack(k) + pack(x) for k, x in v.items())
        return b"\xde" + struct.pack(">H", len(v)) + body
    raise TypeError(type(v))


class Short(Exception):
    pass


def unpack(b, at=0):
    """One value and the position behind it; Short where bytes are missing."""

    def take(n):
        nonlocal at
        if at + n > len(b):
            raise Short()
        part = b[at : at + n]
        at += n
        return part

    def several(n):
        nonlocal at
        out = []
        for _ in range(n):
            v, at = unpack(b, at)
            out.append(v)
        return out

    def pairs(n):
        flat = several(2 * n)
        return dict(zip(flat[::2], flat[1::2]))

    t = take(1)[0]
    if t < 0x80:
        return t, at
    if t >= 0xE0:
        return t - 256, at
    if t < 0x90:
        v = pairs(t & 15)
    elif t < 0xA0:
        v = several(t & 15)
    elif t < 0xC0:
        v = take(t & 31).decode()
    elif t in (0xC0, 0xC2, 0xC3):
        v = {0xC0: None, 0xC2: False, 0xC3: True}[t]
    elif t in (0xC4, 0xC5, 0xC6):
        n = 1 << (t - 0xC4)
        v = take(int.from_bytes(take(n), "big"))
    elif t in (0xCC, 0xCD, 0xCE, 0xCF):
        v = int.from_bytes(take(1 << (t - 0xCC)), "big")
    elif t in (0xD0, 0xD1, 0xD2, 0xD3):
        v = int.from_bytes(take(1 << (t - 0xD0)), "big", signed=True)
    elif t == 0xCA:
        v = struct.unpack(">f", take(4))[0]
    elif t == 0xCB:
        v = struct.unpack(">d", take(8))[0]
    elif t in (0xD9, 0xDA, 0xDB):
        v = take(int.from_bytes(take(1 << (t - 0xD9)), "big")).decode()
    elif t in (0xDC, 0xDD):
        v = several(int.from_bytes(take(2 << (t - 0xDC)), "big"))
    elif t in (0xDE, 0xDF):
        v = pairs(int.from_bytes(take(2 << (t - 0xDE)), "big"))
    else:
        raise ValueError("type %02x" % t)
    return v, at


def listen():
    s = socket.socket()
    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    s.bind(("127.0.0.1", 0))
    s.listen(512)
    return s


def address(s):
    return "%s:%d" % s.getsockname()


def free_port():
    """A free port below those that the system gives to outgoing connections: none takes it before the node does. A second
    process of a node may listen there beside the first."""
    while True:
        port = random.randrange(20000, 32000)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
                return port
            except OSError:
                pass


def spawn(target, *args):
    t = threading.Thread(target=target, args=args, daemon=True)
    t.start()
    return t


# ---- the caller ----


class Caller:
    """One connection of a caller. Answers are kept by request number: 'ok', 'Full', another error, or None at its end."""

    def __init__(self, port, record, name="caller"):
        self.record, self.name = record, name
        self.s = socket.create_connection(("127.0.0.1", port), timeout=5)
        self.s.settimeout(None)
        self.s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.next_id, self.answers, self.changed = 1, {}, threading.Condition()
        self.ended, self.last_call = False, False
        self.refs = {}
        spawn(self._read)

    def ask(self, cls, fields, body):
        n = self.next_id
        self.next_id += 1
        self.refs[n] = fields.get("ref", "-")
        self.record.say("%s sends %s ref=%s replay=%s" % (self.name, cls, fields.get("ref"), fields.get("replay")))
        self.s.sendall(pack([0, n, cls, [fields, body]]))
        return n

    def cancel(self, n):
        self.record.say("%s cancels ref=%s" % (self.name, self.refs[n]))
        self.s.sendall(pack([2, "cancel", [n]]))

    def health(self):
        n = self.next_id
        self.next_id += 1
        self.s.sendall(pack([0, n, "health", [{}]]))
        return n

    def wait(self, n, seconds):
        """(word, result, time) of an answer; ('none', None, time) where the connection ended or time ran out."""
        end = time.monotonic() + seconds
        with self.changed:
            while n not in self.answers and not self.ended and time.monotonic() < end:
                self.changed.wait(max(0.0, end - time.monotonic()))
            if n in self.answers:
                return self.answers[n][-1]
        return ("none" if self.ended else "late", None, now_ms())

    def close(self):
        try:
            self.s.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.s.close()

    def reset(self):
        self.s.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close()

    def _read(self):
        data = b""
        try:
            while True:
                part = self.s.recv(65536)
                if not part:
                    break
                data += part
                while data:
                    try:
                        v, used = unpack(data)
                    except Short:
                        break
                    data = data[used:]
                    self._take(v)
        except OSError:
            pass
        with self.changed:
            self.ended = True
            self.changed.notify_all()

    def _take(self, v):
        if v[0] == 2:
            if v[1] == "lastCall":
                self.last_call = True
                self.record.say("%s is told lastCall" % self.name)
            return
        _, n, error, result = v
        word = error[0] if error else "ok"
        body = None if error else (result[0] if isinstance(result, list) else result)
        if self.refs.get(n):
            self.record.say("%s has answer %s %s for ref=%s" % (self.name, word, body, self.refs[n]))
        with self.changed:
            self.answers.setdefault(n, []).append((word, body, now_ms()))
            self.changed.notify_all()


def ref():
    return os.urandom(8).hex()


def replay():
    return os.urandom(16).hex()


def fields(rank=0.9, **more):
    f = {"ref": ref(), "since": "%d" % now_ms(), "sender": "4", "effort": "12.50", "room": "24.5", "class_rank": "%.4f" % rank}
    f.update(more)
    return f


# ---- the render farm agent ----


class Run:
    def __init__(self, rid, cls, body):
        self.rid, self.cls, self.body = rid, cls, body
        self.waiting = None  # the number of the notice of its open call
        self.replies = []
        self.go = threading.Condition()
        self.over = False


class Agent:
    """A render farm agent. A body says `WORK_MS CALLS TOKEN`: the run works, then makes its calls with work between them.
    The result names the replies that the run got.

    It retains neither results nor keys: it knows the runs that go on, and the last 4,000 notices. Hooks, each None or a
    function: on_launch(agent, id) and on_deliver(agent, id) are called when the command was carried out;
    on_sample(agent, link number, tag, answer) is called before a sample is answered, and answers it itself if it returns True.
    """

    def __init__(self, record, name="agent", cores=6):
        self.record, self.name, self.cores = record, name, cores
        self.lock = threading.RLock()
        self.notices = []
        self.links = 0
        self.link = None  # (socket, number, subscribed)
        self.running = {}
        self.starts = []  # (id, class, body) of each run that was started
        self.on_launch = self.on_sample = self.on_deliver = None
        self.held = None  # bytes of a notice that arrives in pieces, and those behind it
        self.socket = listen()
        self.address = address(self.socket)
        spawn(self._accept)

    def runs_of(self, rid):
        return sum(1 for r, _, _ in self.starts if r == rid)

    def break_link(self):
        """The link breaks. What was read from it has been carried out."""
        with self.lock:
            if self.link:
                s = self.link[0]
                self.link = None
                self.record.say("%s: the link breaks" % self.name)
                s.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                try:
                    s.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
                s.close()

    def note(self, make):
        with self.lock:
            n = len(self.notices) + 1
            self.notices.append(make(n))
            if self.link and self.link[2]:
                self._send(self.notices[-1])
            return n

    def _send(self, data):
        if self.held is not None:
            self.held += data
            return
        try:
            self.link[0].sendall(data)
        except (OSError, TypeError):
            pass

    def hold(self, number, first, rest, seconds):
        """Sends the first piece of a notice now; the rest, and what comes behind it, follows in order after a while."""
        self._send(first)
        self.held = rest

        def go_on():
            time.sleep(seconds)
            with self.lock:
                held, self.held = self.held, None
                if self.link and self.link[1] == number:
                    self.record.say("%s: the rest of the notice, %d bytes with what came behind it" % (self.name, len(held)))
                    self._send(held)

        spawn(go_on)

    def _accept(self):
        while True:
            try:
                s, _ = self.socket.accept()
            except OSError:
                return
            s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                if self.link:
                    self.link[0].close()
                self.links += 1
                self.link = [s, self.links, False]
                self.record.say("%s: link %d" % (self.name, self.links))
                spawn(self._serve, s, self.links)

    def _serve(self, s, number):
        f = s.makefile("rb")
        try:
            while True:
                line = f.readline()
                if not line.endswith(b"\r\n"):
                    return
                words = line.decode().split()
                body = b""
                if words[0] in ("launch", "deliver"):
                    body = f.read(int(words[-1]) + 2)[:-2]
                self._command(number, words, body)
        except (OSError, ValueError):
            pass

    def _command(self, number, words, body):
        if words[0] == "subscribe":
            with self.lock:
                if not self.link or self.link[1] != number:
                    return
                self.record.say("%s: %s on link %d" % (self.name, " ".join(words), number))
                self._send(b"greeting warm 60000\r\n")
                for n in self.notices[int(words[1]) :]:
                    self._send(n)
                self.link[2] = True
        elif words[0] == "launch":
            rid, cls = words[1], words[2]
            with self.lock:
                if rid in self.running:
                    self.record.say("%s: launch %s, which runs already: nothing happens" % (self.name, rid))
                else:
                    self.starts.append((rid, cls, body))
                    self.record.say("%s: RUN %d of %s %s %r starts" % (self.name, self.runs_of(rid), cls, rid, body))
                    run = self.running[rid] = Run(rid, cls, body)
                    spawn(self._run, run)
            if self.on_launch:
                self.on_launch(self, rid)
        elif words[0] == "deliver":
            with self.lock:
                run = self.running.get(words[1])
                self.record.say("%s: deliver %s %r, waiting=%s" % (self.name, words[1], body, run and run.waiting))
                if run and run.waiting:
                    with run.go:
                        run.waiting = None
                        run.replies.append(body)
                        run.go.notify_all()
            if self.on_deliver:
                self.on_deliver(self, words[1])
        elif words[0] == "forgo":
            with self.lock:
                run = self.running.get(words[1])
                if run and run.waiting == int(words[2]):
                    with run.go:
                        run.waiting = None
                        run.replies.append(None)
                        run.go.notify_all()
        elif words[0] == "sample":
            n = len(self.running)
            answer = b"sampled %s %.2f %d 0.1 3\r\n" % (words[1].encode(), min(1.0, n / self.cores), n)
            if self.on_sample and self.on_sample(self, number, words[1], answer):
                return
            with self.lock:
                if self.link and self.link[1] == number:
                    self._send(answer)
        elif words[0] == "exercise":
            with self.lock:
                self._send(b"exercised %s ok\r\n" % words[1].encode())
        elif words[0] == "freeze":
            self.record.say("%s: freeze %s" % (self.name, words[1]))

    def _run(self, run):
        began = time.monotonic()
        work, calls, token = run.body.decode().split(" ")[:3]
        for call in range(int(calls) + 1):
            time.sleep(float(work) / 1000.0)
            if call == int(calls):
                break
            with run.go:
                ask = b"%s-call%d" % (token.encode(), call + 1)
                head = b"request %%d %s %d\r\n%s\r\n" % (run.rid.encode(), len(ask), ask)
                with self.lock:
                    run.waiting = self.note(lambda n: head % n)
                    self.record.say("%s: request %d by %s, call %d" % (self.name, run.waiting, run.rid, call + 1))
            with run.go:
                while run.waiting:
                    run.go.wait()
        result = b" ".join([b"done", token.encode()] + [r or b"no-reply" for r in run.replies])
        ms = (time.monotonic() - began) * 1000
        with self.lock:
            self.running.pop(run.rid, None)
            self.record.say("%s: run of %s ends ok, replies %s" % (self.name, run.rid, run.replies))
            self.note(lambda n: b"outcome %d %s ok %.2f %d\r\n%s\r\n" % (n, run.rid.encode(), ms, len(result), result))


# ---- ledger and directory ----


class Http:
    """An HTTP/1.1 stand-in; `handle(method, path, headers, body)` returns (status, headers, body), and may add the time in
    seconds after which the same reply is sent a second time."""

    def __init__(self, handle):
        self.handle = handle
        self.socket = listen()
        self.address = address(self.socket)
        spawn(self._accept)

    def _accept(self):
        while True:
            try:
                s, _ = self.socket.accept()
            except OSError:
                return
            spawn(self._serve, s)

    def _serve(self, s):
        s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        f = s.makefile("rb")
        whole = threading.Lock()  # One reply is not written into another.
        try:
            while True:
                line = f.readline()
                if not line:
                    return
                method, path, _ = line.decode().split(" ", 2)
                headers = {}
                while True:
                    h = f.readline().decode().strip()
                    if not h:
                        break
                    k, v = h.split(":", 1)
                    headers[k.strip().lower()] = v.strip()
                body = f.read(int(headers.get("content-length", "0")))
                status, more, reply, *copy_after = self.handle(method, path, headers, body)
                head = "HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n" % (status, more, len(reply))
                with whole:
                    s.sendall(head.encode() + reply)
                if copy_after:
                    spawn(self._copy, s, whole, head.encode() + reply, copy_after[0])
        except (OSError, ValueError):
            pass

    @staticmethod
    def _copy(s, whole, data, after):
        time.sleep(after)
        try:
            with whole:
                s.sendall(data)
        except OSError:
            pass


def directory(record):
    def handle(method, path, headers, body):
        return 204, "", b""

    return Http(handle)


def ledger(record, work_s=0, copy_after=None):
    """Each call's reply names the call's body, so that a reply that reaches another call can be told. `copy_after(n)` says
    how long behind the reply to call n a second copy of it comes, in seconds; None where none comes."""
    numbers = itertools.count(1)

    def handle(method, path, headers, body):
        n = next(numbers)
        record.say("ledger: call %d, ref=%s %r" % (n, headers.get("x-txn-ref"), body))
        time.sleep(work_s)
        after = copy_after(n) if copy_after else None
        record.say("ledger: replies to call %d%s" % (n, "" if after is None else ", and again after %d ms" % (after * 1000)))
        return (200, "", b"reply-to-" + body) + (() if after is None else (after,))

    return Http(handle)


# ---- a node as a process ----


def call_console(port, what):
    """The status of a call of the control address; 0 where it does not answer."""
    try:
        s = socket.create_connection(("127.0.0.1", port), timeout=1)
        s.sendall(("%s HTTP/1.1\r\nHost: n\r\nContent-Length: 0\r\n\r\n" % what).encode())
        answer = s.recv(4096).decode()
        s.close()
        return int(answer.split(" ")[1])
    except (OSError, ValueError, IndexError):
        return 0


def run_command():
    """The command `run` of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as f:
        for line in f:
            if line.startswith("run = "):
                return line.split('"')[1]
    raise RuntimeError("the deploy file has no run")


class Process:
    """One process of a node."""

    def __init__(self, site, name, config, console):
        self.name, self.site, self.console = name, site, console
        path = os.path.join(site.folder, name + ".json")
        with open(path, "w", encoding="utf-8") as f:
            json.dump(config, f)
        env = dict(os.environ)
        for k in [k for k in env if k.startswith("PROXY_")]:
            del env[k]
        env.update(
            PROXY_NAME=config["name"],
            PROXY_LISTEN=config["listen"],
            PROXY_CONFIG=path,
            PROXY_CONSOLE="127.0.0.1:%d" % console,
            TMPDIR=site.tmp,
        )
        self.log = open(os.path.join(site.folder, name + ".log"), "wb")
        self.child = subprocess.Popen(
            ["/bin/sh", "-c", run_command()], cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log
        )
        site.record.say("%s: process started" % name)
        site.processes.append(self)

    def signal(self, number):
        self.site.record.say("%s: signal %s" % (self.name, signal.Signals(number).name))
        self.child.send_signal(number)
        if number == signal.SIGSTOP:
            end = time.monotonic() + 2
            while self.state() not in "Tt" and time.monotonic() < end:
                time.sleep(0.0005)

    def state(self):
        try:
            with open("/proc/%d/stat" % self.child.pid) as f:
                return f.read().rsplit(")", 1)[1].split()[0]
        except OSError:
            return "X"

    def wait_ready(self, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if call_console(self.console, "GET /control/ready") // 100 == 2:
                self.site.record.say("%s: ready" % self.name)
                return True
            time.sleep(0.02)
        return False

    def ended(self, seconds):
        try:
            return self.child.wait(seconds)
        except subprocess.TimeoutExpired:
            return None

    def log_text(self):
        self.log.flush()
        with open(self.log.name, "rb") as f:
            return f.read().decode(errors="replace")


class Site:
    """A case's temporary folder and the processes that it started; all of them are ended with it."""

    def __init__(self, record):
        self.record, self.processes = record, []
        # Short, as a Unix socket's path has at most 107 bytes.
        base = tempfile.gettempdir()
        self.folder = tempfile.mkdtemp(prefix="holdlift-review-", dir=base if len(base) <= 40 else "/tmp")
        self.tmp = os.path.join(self.folder, "t")
        os.mkdir(self.tmp)

    def close(self):
        for p in self.processes:
            if p.child.poll() is None:
                p.child.send_signal(signal.SIGCONT)
                p.child.kill()
                p.child.wait()
            self.record.say("%s: process ended, status %s" % (p.name, p.child.returncode))
            for line in p.log_text().splitlines():
                if any(w in line for w in ("heir", "takes over", "listening", "replaced", "withheld", "panick", "counters", "agent link")):
                    self.record.say("%s log: %s" % (p.name, line[:400]))
            p.log.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def config(name, listen_port, agent, lookup, ledger_at, settings, stop_ms):
    c = {
        "name": name,
        "listen": "127.0.0.1:%d" % listen_port,
        "agent": agent,
        "lookup": lookup,
        "seed": os.urandom(8).hex(),
        "stop_ms": stop_ms,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": settings,
    }
    if ledger_at:
        c["ledger"] = ledger_at
    return c


def cetak():
    """Settings of cetak-jkt, as the wire's page shows them."""
    cls = lambda name, aim, deadline, effect, late, points: {
        "aim-us": aim, "deadline-us": deadline, "effect": effect, "late-worth": late, "memory-span-us": 5000000,
        "name": name, "points": points}
    account = lambda name, quota, share: {"name": name, "quota-per-s": quota, "share": share}
    return {
        "accounts": [account("sinar-grafika", 65.0, 0.38), account("mitra-cetak", 41.0, 0.24),
                     account("karya-print", 32.0, 0.19), account("tunas-offset", 31.0, 0.18)],
        "areas": ["cikarang"], "az": "cikarang", "callers": {"marks-retry": True},
        "classes": [cls("quote", 3500000, 14000000, "retryable", 0.2, 1.0),
                    cls("proof", 5200000, 14000000, "retryable", 0.0, 2.0),
                    cls("book-job", 3500000, 10000000, "fragile", 0.2, 3.0)],
        "contract": {"answer-slack-us": 100000, "cold-from": 0.21, "cold-us": 17000000, "drain-grace-us": 2500000,
                     "fall-multiple": 8.0, "fall-us": 1500000},
        "counted-by": "work",
        "domain": {"below": "tier", "cancel-seen": True, "class-calls": [True, True, True], "cold": False, "cores": 6,
                   "deep-checks": True, "dep-share": 0.0, "dep-window-us": 5000000, "entry-kb": 88.13,
                   "fresh-for-us": 200000, "halt": "discard", "heeded-us": 1000000, "idle-us": 30000000,
                   "linger-us": 200000, "memory-kb": 48270.0, "meters": ["core_use", "on_cores", "heap_share", "links"],
                   "passes-deadline": False, "readiness": True, "run-mem-factor": 16.0, "say": "floor", "senders": 3,
                   "worth-without": [0.3, 0.5, 0.0]},
        "limits": {"cpu-us-per-request": 0.0, "cpu-us-per-s": 60350, "max-retry-after-us": 1000000, "retry-after": True},
        "load-report": {"columns": ["rif", "busy", "q"], "source": "piggyback"},
        "me": 3, "over-share-worth": 0.05,
        "prices": {"connection": 0.0, "handshake": 0.0, "late-fail": 0.03, "origin": 0.023, "waste": 0.22},
        "replicas-of-me": 11,
        "result-mix": {"whole": 0.4, "worst-class": 0.2, "worst-tenant": 0.1, "worst-window": 0.3},
        "round-us": 5000, "tier": 0, "tiers": ["order-gate", "job-desk"], "workload": "server",
    }


def tramites():
    """Settings of tramites-conversion, by its page: `expediente` is keyed and may come again within 30,969 ms."""
    s = cetak()
    cls = lambda name, aim, deadline, effect, points, span: {
        "aim-us": aim, "deadline-us": deadline, "effect": effect, "late-worth": 0.0, "memory-span-us": span,
        "name": name, "points": points}
    s["accounts"] = []
    s["areas"], s["az"] = ["cdmx-norte", "queretaro"], "cdmx-norte"
    s["classes"] = [cls("vista-previa", 3100000, 10000000, "retryable", 1.0, 5000000),
                    cls("validacion", 1700000, 6200000, "retryable", 1.0, 5000000),
                    cls("expediente", 3300000, 10000000, "dedup", 3.0, 30969000)]
    s["contract"].update({"cold-us": 18000000, "drain-grace-us": 1800000, "fall-multiple": 6.0, "fall-us": 2000000})
    s["domain"].update({"below": "one_for_all", "cancel-seen": False, "class-calls": [True, False, True], "dep-share": 20.0,
                        "fresh-for-us": 0, "halt": "freeze", "passes-deadline": True, "run-mem-factor": 8.0,
                        "say": "allowance", "worth-without": [0.6, 0.0, 0.0]})
    s["prices"].update({"late-fail": 0.11, "origin": 0.0087, "waste": 0.08})
    s["result-mix"] = {"whole": 0.5, "worst-class": 0.35, "worst-tenant": 0.0, "worst-window": 0.15}
    s["tiers"] = ["converter"]
    return s
