"""A model host: a stand-in that speaks what PROTOCOL.md says of hosts.

It sends heartbeats, answers health checks, works on `capacity` requests at once, answers with its seal and the request's id, runs a request only if `Fennelpin-Expected-Host` is its
own id, and writes one line for each request that it runs. Its answers are streams of events, or short bodies.
"""

import argparse
import asyncio
import json
import random
import time

parser = argparse.ArgumentParser()
parser.add_argument("--id", required=True)
parser.add_argument("--service", required=True)
parser.add_argument("--address", required=True)
parser.add_argument("--zone", required=True)
parser.add_argument("--capacity", type=int, default=64)
parser.add_argument("--controls", required=True)
parser.add_argument("--log", required=True)
parser.add_argument("--framing", choices=("chunked", "none"), default="chunked")
parser.add_argument("--events", type=int, default=12)
parser.add_argument("--gap-ms", type=float, default=150.0)
parser.add_argument("--parts", type=int, default=1, help="an event is written in so many pieces, as its tokens are made")
parser.add_argument("--work-ms", type=float, default=20.0)
options = parser.parse_args()
HEALTH_PATH = "/health"
IP, PORT = options.address.rsplit(":", 1)
LOG = open(options.log, "a", encoding="utf-8")
SLOTS = asyncio.Semaphore(options.capacity)
SEAL = f"{random.getrandbits(16):04x}.{random.getrandbits(32):08x}"


def note(text):
    LOG.write(f"{time.monotonic():.3f} {text}\n")
    LOG.flush()


async def call(address, path, body):
    """One call to a control address; its answer's body as JSON, or None."""
    ip, port = address.rsplit(":", 1)
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1)
    except (OSError, asyncio.TimeoutError):
        return None
    try:
        data = json.dumps(body).encode()
        writer.write(f"POST {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n"
                     f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n".encode() + data)
        answer = await asyncio.wait_for(reader.read(), 1)
        head, _, content = answer.partition(b"\r\n\r\n")
        status = int(head.split()[1]) if head else 0
        return json.loads(content or b"{}") if 200 <= status < 300 else None
    except (OSError, asyncio.TimeoutError, ValueError, IndexError):
        return None
    finally:
        writer.close()


async def heartbeats():
    controls = options.controls.split(",")
    target, seq = random.choice(controls), 0
    while True:
        for address in [target, *random.sample(controls, len(controls))]:
            seq += 1
            beat = {"service": options.service, "address": options.address, "zone": options.zone, "version": "v1",
                    "capacity": options.capacity, "phase": "ready", "cold_left_ms": 0, "call_seq": seq}
            answer = await call(address, f"/fennelpin/Hosts.Heartbeat/{options.id}", beat)
            if answer is not None:
                target = answer.get("beat_target", address)
                break
        await asyncio.sleep(1.2 * random.uniform(0.9, 1.1))


def event(number, attempt):
    text = " ".join(f"token-{number}-{k}" for k in range(6))
    return f"id: {number}\ndata: {attempt} {text}\ndata: end of {number}\n\n".encode()


async def stream(writer, headers, attempt, head):
    """Writes the events after `Last-Event-Id`, each as its tokens are made."""
    first = int(headers.get("last-event-id", "0")) + 1
    framed = options.framing == "chunked"
    head += "Content-Type: text/event-stream\r\n"
    head += "Transfer-Encoding: chunked\r\n\r\n" if framed else "Connection: close\r\n\r\n"
    writer.write(head.encode())
    for number in range(first, options.events + 1):
        data = event(number, attempt)
        size = -(-len(data) // options.parts)
        for start in range(0, len(data), size):
            piece = data[start:start + size]
            writer.write(f"{len(piece):x}\r\n".encode() + piece + b"\r\n" if framed else piece)
            await writer.drain()
            await asyncio.sleep(options.gap_ms / 1000 / options.parts)
    if framed:
        writer.write(b"0\r\n\r\n")
    await writer.drain()
    note(f"whole {attempt}")
    return framed


async def answer(reader, writer):
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            method, path, _ = lines[0].split(" ", 2)
            headers = {}
            for line in lines[1:-2]:
                name, value = line.split(":", 1)
                headers[name.strip().lower()] = value.strip()
            await reader.readexactly(int(headers.get("content-length", "0")))
            attempt = headers.get("fennelpin-attempt-id", "")
            common = f"Fennelpin-Attempt-Id: {attempt}\r\nFennelpin-Host-Seal: {SEAL}\r\n"
            if lines[0].startswith(f"GET {HEALTH_PATH} "):
                async with SLOTS:
                    writer.write(f"HTTP/1.1 200 OK\r\nFennelpin-Host-Id: {options.id}\r\nContent-Length: 0\r\n\r\n".encode())
                continue
            if not attempt:
                writer.write(b"HTTP/1.1 400 Bad Request\r\nFennelpin-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
                continue
            if headers.get("fennelpin-expected-host", options.id) != options.id:
                writer.write(f"HTTP/1.1 421 Misdirected Request\r\n{common}Fennelpin-Not-Executed: 1\r\n"
                             "Content-Length: 0\r\n\r\n".encode())
                continue
            async with SLOTS:
                note(f"run {attempt} {method} {path} {headers.get('last-event-id', '')}")
                if path.startswith("/stream"):
                    if not await stream(writer, headers, attempt, f"HTTP/1.1 200 OK\r\n{common}"):
                        return
                    continue
                await asyncio.sleep(options.work_ms / 1000)
                body = f"done {attempt}\n".encode()
                writer.write(f"HTTP/1.1 200 OK\r\n{common}Content-Type: text/plain\r\nContent-Length: {len(body)}\r\n\r\n"
                             .encode() + body)
                await writer.drain()
                note(f"whole {attempt}")
    except (OSError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        writer.close()


async def main():
    server = await asyncio.start_server(answer, IP, int(PORT), backlog=512)
    async with server:
        await heartbeats()


asyncio.run(main())
