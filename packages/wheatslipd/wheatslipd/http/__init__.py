"""HTTP/1.1 as the request path needs it, on asyncio protocols and the httptools parser."""
