# Gateways are killed and started again, once under a surge of the plan with a limit.
day(name = "killed gateway", length = s(16), rate = 240)
kill(at = s(3), lasting = ms(500), gateway = 0)
surge(at = s(6), lasting = s(8), plan = "basic", times = 8)
kill(at = s(8), lasting = ms(500), gateway = 1)
kill(at = s(11), lasting = ms(500), gateway = 2)
