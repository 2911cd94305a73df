"""Choice of an upstream, limits and fairness."""
