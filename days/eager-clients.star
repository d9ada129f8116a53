# Clients repeat at once whatever was not served, while a node is full and all are busy.
day(name = "eager clients", length = s(12), rate = 240)
eager(at = s(1), lasting = s(10))
burst(at = s(2), lasting = s(4), times = 3)
full(at = s(7), lasting = s(2), nodes = [0, 1])
