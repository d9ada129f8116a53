# Connections break, are taken and never answered, or bring one byte a second.
day(name = "bad links", length = s(16), rate = 240)
reset(at = s(2), nodes = [0, 1, 2])
reset(at = s(3), nodes = [0, 1, 2])
deaf(at = s(5), lasting = s(4), nodes = [3])
reset(at = s(5), nodes = [3])
drip(at = s(9), lasting = s(3), nodes = [4], bytes = 1)
