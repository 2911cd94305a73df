"""HTTP/1.1 over Twisted transports with h11: who closed what, and when, is seen.

klein and treq hide how a connection ended. A load balancer must know: a reset is no
whole answer, an answer to another request may come first on a kept connection, and a
caller that leaves must be noticed while its request is still at a server.
"""
