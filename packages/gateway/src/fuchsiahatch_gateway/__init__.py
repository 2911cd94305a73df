"""The entry and the agent as they run on the users' platform.

The way of a request: `entry` wires `routes`, `placing`, `delivery` and `attempts`. The
way of a map: `agent` wires `rank_agent` and `group_leader`.
"""
