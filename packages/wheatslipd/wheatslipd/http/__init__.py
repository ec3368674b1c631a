"""HTTP/1.1 client and server on asyncio protocols and the httptools parser."""
