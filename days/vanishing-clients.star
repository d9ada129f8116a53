# Clients leave in the middle of what they do, under a burst.
day(name = "vanishing clients", length = s(12), rate = 300)
burst(at = s(2), lasting = s(8), times = 2)
vanish(at = s(3), clients = 2)
vanish(at = s(5), clients = 4)
vanish(at = s(7), clients = 8)
