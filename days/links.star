# The links between two zones are poor, cut both ways, one way, and flap, while clients read and write what has a copy in
# each; at the end all copies must be alike.
day(name = "links", length = s(24), rate = 240)
link(at = s(1), lasting = s(4), zones = [0, 1], delay = ms(15), jitter = ms(5), loss = 0.01, bandwidth = MiB(8))
link(at = s(1), lasting = s(4), zones = [1, 0], delay = ms(15), jitter = ms(5), loss = 0.01, bandwidth = MiB(8))
cut(at = s(6), lasting = s(3), zones = [0, 1])
cut(at = s(10), lasting = s(3), zones = [1, 0], way = "back")
cut(at = s(14), lasting = s(3), zones = [0, 1], way = "there", every = ms(300))
crash(at = s(18), lasting = s(2), nodes = [1, 3])
