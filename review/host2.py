"""A stand-in for a sound host: it registers by heartbeats and answers every request with a length, its seal and the request's id."""

import json
import secrets
import socketserver
import threading
import time

import fleet2


class Host:
    """One host of a service, on a loopback address."""

    def __init__(self, fleet, service, ip, port=9000, work_s=0.005):
        self.fleet, self.service, self.ip, self.port, self.work_s = fleet, service, ip, port, work_s
        self.id = f"i-{secrets.token_hex(4)}"
        self.call_seq = 0
        self.runs = []
        self.stop = threading.Event()
        self.lock = threading.Lock()
        host = self

        class Handler(socketserver.StreamRequestHandler):
            def handle(self):
                try:
                    while host.answer(self.rfile, self.wfile):
                        pass
                except OSError:
                    pass

        class Server(socketserver.ThreadingTCPServer):
            allow_reuse_address = True
            daemon_threads = True

        self.server = Server((ip, port), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self.beat, daemon=True).start()

    def beat(self):
        """Sends heartbeats, each to the next member after a failure."""
        index = 0
        while not self.stop.is_set():
            with self.lock:
                self.call_seq += 1
                body = {"service": self.service, "address": f"{self.ip}:{self.port}", "zone": fleet2.ZONES[0], "version": "v1",
                        "capacity": 64, "phase": "ready", "cold_left_ms": 0, "call_seq": self.call_seq}
            path = f"/fennelpin/Hosts.Heartbeat/{self.id}"
            status, _ = fleet2.call(self.fleet.control(index % self.fleet.members), "POST", path, body)
            if status // 100 != 2:
                index += 1
                self.stop.wait(0.2)
            else:
                self.stop.wait(1.2)

    def answer(self, reader, writer):
        """Serves one request; false where the connection ends."""
        head = []
        while True:
            line = reader.readline()
            if not line:
                return False
            if line == b"\r\n":
                break
            head.append(line.decode("latin-1").rstrip("\r\n"))
        fields = {}
        for line in head[1:]:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        body = reader.read(int(fields.get("content-length", 0)))
        attempt = fields.get("fennelpin-attempt-id", "")
        if fields.get("fennelpin-expected-host", self.id) != self.id:
            answer = b"another host"
            writer.write(b"HTTP/1.1 421 Misdirected Request\r\nFennelpin-Not-Executed: 1\r\nFennelpin-Attempt-Id: "
                         + attempt.encode() + b"\r\nContent-Length: 12\r\n\r\n" + answer)
            return True
        self.runs.append((time.monotonic(), attempt, head[0], len(body)))
        time.sleep(self.work_s)
        seal = f"{self.id}.{len(self.runs)}"
        answer = secrets.token_hex(400).encode()
        writer.write(f"HTTP/1.1 200 OK\r\nFennelpin-Attempt-Id: {attempt}\r\nFennelpin-Host-Seal: {seal}\r\n"
                     f"Content-Length: {len(answer)}\r\n\r\n".encode() + answer)
        return True

    def close(self):
        self.stop.set()
        self.server.shutdown()
        self.server.server_close()
