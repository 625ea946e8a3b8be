"""HTTP/1.1 messages of the stand-ins, read and written without a library."""

from typing import NamedTuple

__all__ = ["Message", "read_message", "send_message"]


class Message(NamedTuple):
    """A request or a response: its first line, headers by lower-case name, and body."""

    first_line: str
    headers: dict
    body: bytes

    @property
    def method(self):
        """Method of a request."""
        return self.first_line.split(" ")[0]

    @property
    def target(self):
        """Path and query of a request."""
        return self.first_line.split(" ")[1]

    @property
    def status(self):
        """Status of a response."""
        return int(self.first_line.split(" ")[1])


async def read_message(reader):
    """Return the next message of a connection, or None at its end."""
    line = await reader.readline()
    if not line.endswith(b"\n"):
        return None
    headers = {}
    while (text := (await reader.readline()).decode("latin-1").strip("\r\n")) != "":
        name, _, value = text.partition(":")
        headers[name.lower()] = value.strip(" \t")
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = await _read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Message(line.decode("latin-1").strip("\r\n"), headers, body)


async def _read_chunks(reader):
    body = b""
    while size := int((await reader.readline()).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readline()
    while (await reader.readline()).strip():
        pass
    return body


async def send_message(writer, head, body):
    """Send the lines of a head, the length of a body, and the body."""
    lines = [*head, f"Content-Length: {len(body)}", "", ""]
    writer.write("\r\n".join(lines).encode("latin-1") + body)
    await writer.drain()
