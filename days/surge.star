# The volumes of the plan with a limit ask for ten times their share: the limit must hold over all gateways.
day(name = "surge", length = s(12), rate = 240)
surge(at = s(2), lasting = s(7), plan = "basic", times = 10)
