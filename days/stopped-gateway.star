# A gateway's process stands still for two seconds, as a suspended machine does.
day(name = "stopped gateway", length = s(14), rate = 240)
stop(at = s(3), lasting = s(2), gateway = 0)
stop(at = s(8), lasting = s(2), gateway = 1)
