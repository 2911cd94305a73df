"""Expert maps, step grants and rebalancing."""
