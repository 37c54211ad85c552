"""Fault soak: the real programs as processes, judged from outside."""
