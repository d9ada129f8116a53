# Nodes are drained one after the other, as for new software.
day(name = "drain", length = s(14), rate = 240)
drain(at = s(2), lasting = s(3), nodes = [0])
drain(at = s(6), lasting = s(3), nodes = [1])
drain(at = s(10), lasting = s(3), nodes = [2])
