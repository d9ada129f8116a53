# All clients ask for three times as much, twice.
day(name = "burst", length = s(12), rate = 240)
burst(at = s(2), lasting = s(3), times = 3)
burst(at = s(7), lasting = s(3), times = 3)
