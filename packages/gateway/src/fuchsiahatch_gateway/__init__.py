"""The entry and the agent processes on the users' platform.

The path of a request, in order: `entry` wires the modules together, `routes` finds its
route and team, `jobs` sets its time limits, `placing` gives it a slot at one of the
upstreams in `fleet`, `attempts` sends it, `next_steps` decides what follows an attempt,
and `delivery` runs the whole sequence. The path of a map: `agent` wires the modules
together, `rank_agent` reads the engine on its host and gives it orders, `leadership`
elects the leader, and `group_leader` plans maps and switches to them.
"""
