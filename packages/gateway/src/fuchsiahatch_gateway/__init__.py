"""The entry and the agent as they run on the users' platform.

A request's way, in order: `entry` wires it; `routes` finds its route and team, `jobs`
says how long each part of it may take, `placing` gives it a place at one of `fleet`'s
upstreams, `attempts` sends it there, `next_steps` says what follows, and `delivery`
holds it together. A map's way: `agent` wires it, `rank_agent` reads and orders the
engine on its host, `leadership` says who leads, and `group_leader` plans and switches.
"""
