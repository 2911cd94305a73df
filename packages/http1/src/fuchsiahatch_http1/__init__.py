"""HTTP/1.1 over Twisted transports with h11, exposing how connections end.

klein and treq hide how a connection ended. A load balancer must know: an answer cut off
by a reset isn't complete, the late answer to another request may come first on a
persistent connection, and a caller that disconnects must be noticed while its request
is still at a server.
"""
