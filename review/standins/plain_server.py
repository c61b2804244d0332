"""Stand-in of the replicas of a plain service, as PROTOCOL.md describes them: slots, a short queue, X-Expect-Instance, a MAC in each answer."""
import asyncio
import socket

from common import Request, answer, read_request

READ_BUFFER = 64 * 1024  # of a slow reader
SHORT_BODY = 64 * 1024   # which a slow reader takes at once


async def read_slowly(reader, read_s):
    """Like read_request(), but a long body is taken over `read_s`."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    method, path, _ = head[0].split(" ", 2)
    fields = {name.lower(): value for name, _, value in (line.partition(": ") for line in head[1:] if line)}
    length = int(fields.get("content-length", 0))
    left = length
    while left > 0:
        got = await reader.read(min(left, READ_BUFFER))
        if not got:
            raise asyncio.IncompleteReadError(got, left)
        left -= len(got)
        if length > SHORT_BODY:
            await asyncio.sleep(read_s * len(got) / length)
    return Request(method, path, {}, fields, b"")


class PlainServer:
    """One address at which one lifetime of a replica after another runs."""

    def __init__(self, service, ip, port, work_s, record, slots=6, queue=24, read_s=0, on_arrival=None):
        self.service, self.ip, self.port, self.work_s, self.record = service, ip, port, work_s, record
        self.slots, self.queue = slots, queue
        self.read_s = read_s          # for a long body; 0: as it comes
        self.on_arrival = on_arrival  # is told the id of each request that has been read; None: nobody is
        self.id = None            # of the present lifetime
        self.server = None
        self.channels = set()
        self.waiting = 0
        self.runs = 0

    def row(self, state="ready"):
        return {"Service": self.service, "Address": f"{self.ip}:{self.port}", "Zone": "groningen-1", "Version": "v1", "Slots": self.slots,
                "State": state, "ColdLeftMs": 0, "CallSeq": 0}

    async def start(self, ident):
        self.id, self.waiting, self.gate = ident, 0, asyncio.Semaphore(self.slots)
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.read_s:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BUFFER)
        listener.bind((self.ip, self.port))
        self.server = await asyncio.start_server(self.serve, sock=listener)
        self.record(f"replica {ident} of {self.service} starts at {self.ip}:{self.port}")

    def crash(self):
        """The process is gone: its channels are reset and the port refuses."""
        self.record(f"replica {self.id} crashes with {self.waiting} requests")
        self.server.close()
        for writer in list(self.channels):
            writer.transport.abort()
        self.channels.clear()
        self.id = None

    async def serve(self, reader, writer):
        self.channels.add(writer)
        lifetime = self.id
        try:
            while True:
                req = await (read_slowly(reader, self.read_s) if self.read_s else read_request(reader))
                if self.id != lifetime:
                    raise ConnectionResetError
                writer.write(await self.respond(req, lifetime))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.channels.discard(writer)
            writer.close()

    async def respond(self, req, lifetime):
        ident = req.fields.get("x-request-id")
        if ident is None:
            return answer(400, X_Not_Executed="1")
        if req.fields.get("x-expect-instance", lifetime) != lifetime:
            return answer(421, X_Request_Id=ident, X_Instance_Id=lifetime)
        if self.waiting >= self.slots + self.queue:
            return answer(503, X_Not_Executed="1", X_Request_Id=ident)
        self.waiting += 1
        if self.on_arrival:
            self.on_arrival(ident)
        try:
            async with self.gate:
                self.runs += 1
                self.record(f"replica {lifetime} runs {ident}")
                await asyncio.sleep(self.work_s)
        finally:
            self.waiting -= 1
        if self.id != lifetime:
            raise ConnectionResetError
        return answer(200, f"{ident} by {lifetime}".encode(), X_Request_Id=ident, X_Response_Seal=f"seal-{lifetime}-{ident}")
