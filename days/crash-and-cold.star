# A node dies and comes back cold, then two at once under a burst.
day(name = "crash and cold", length = s(16), rate = 300)
crash(at = s(2), lasting = s(1), nodes = [1])
crash(at = s(7), lasting = s(1), nodes = [3, 4])
burst(at = s(8), lasting = s(4), times = 2)
