# A third of the nodes is slow, at the end one hangs.
day(name = "slow nodes", length = s(14), rate = 240)
slow(at = s(2), lasting = s(6), nodes = [0, 3, 5], times = 8)
hang(at = s(9), lasting = s(3), nodes = [2])
