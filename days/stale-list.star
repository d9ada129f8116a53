# The directory is late with a drain and with a crash, and flaps afterwards.
day(name = "stale list", length = s(14), rate = 240)
stale_list(at = s(1), lasting = s(8), by = s(2))
drain(at = s(2), lasting = s(3), nodes = [2])
crash(at = s(3), lasting = s(3), nodes = [4])
flap(at = s(10), lasting = s(3), nodes = [6], every = ms(200))
repeat_list(at = s(11))
repeat_list(at = s(11))
