"""Order in which waiting calls reach an upstream, and early refusal."""
