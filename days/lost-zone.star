# A zone loses half its nodes, first one by one and then at once, and they come back cold.
day(name = "lost zone", length = s(24), rate = 240)
link(at = s(1), lasting = s(22), zones = [0, 1], delay = ms(2), jitter = ms(1))
link(at = s(1), lasting = s(22), zones = [1, 0], delay = ms(2), jitter = ms(1))
crash(at = s(3), lasting = s(5), nodes = [0])
crash(at = s(5), lasting = s(4), nodes = [2])
crash(at = s(13), lasting = s(3), nodes = [0, 2])
