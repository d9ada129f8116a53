# Nodes fail or turn away what they are given, quickly.
day(name = "failing fast", length = s(12), rate = 240)
fail(at = s(2), lasting = s(3), nodes = [1, 2], part = 0.8)
full(at = s(7), lasting = s(3), nodes = [5])
