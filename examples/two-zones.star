# A gateway of two zones: a disk with a copy in each, files by WebDAV, and a budget for what crosses between them.
#     appleplank node --listen 127.0.0.1:4431 --nqn nqn.2026-12.example.zones:a --namespace 1=67108864 --namespace 2=134217728
#     appleplank node --listen 127.0.0.1:4432 --nqn nqn.2026-12.example.zones:b --namespace 1=67108864 --namespace 2=134217728
#     appleplank serve -c examples/two-zones.star
#     curl -u ann:depot -T README.md http://127.0.0.1:4480/files/README.md
gateway(name = "zones-1", hosts = 1, number = 0, zone = 0, unit_mean = 1.2, unit_top = 64)

class_(name = "read", aim = ms(100), deadline = s(2), worth = 2, late_share = 0.2)
class_(name = "save", aim = ms(150), deadline = s(3), worth = 3, late_share = 0.2, in_order = True, writes = True, bends = True)
class_(name = "copy", aim = s(1), deadline = s(6), worth = 0.1, late_share = 0.5, in_order = True, writes = True)

plan(name = "priority", rate = 200, reserve = 160, weight = 6)
plan(name = "basic", rate = 60, reserve = 20, weight = 1)
plan(name = "catch-up", rate = 60, weight = 0.1)

rules(stop_sending = s(2), order_pause = ms(500), cold_from = 0.16, cold_time = s(18), cold_units = 40,
    overload_time = s(1), tip_multiple = 4)

for i, name in enumerate(["a", "b"]):
    node(id = i + 1, cell = i, zone = i, address = "127.0.0.1:%d" % (4431 + i), nqn = "nqn.2026-12.example.zones:" + name,
        capacity = MiB(192))

TABLE = [dict(kind = "read", class_ = "read")] + [dict(kind = k, class_ = "save") for k in ["write", "flush", "discard", "write_zeroes"]]

volume(id = 1, name = "orders", plan = "priority", socket = "zones-orders.sock", table = TABLE,
    extents = [dict(size = MiB(64), cell = 0, namespace = 1, mirrors = [dict(cell = 1, namespace = 1)])])
volume(id = 2, name = "files", plan = "basic", table = TABLE, objects = True,
    extents = [dict(size = MiB(128), cell = i, namespace = 2) for i in range(2)])

state(dir = "zones-1-state", every = s(1))
copies(class_ = "copy", plan = "catch-up", hold = 1, region = KiB(256))
crossing(rate = MiB(8), burst = MiB(16), hold_back = 0.3, lost = 0.5, bend = 2, bend_for = minutes(10))

# The password is "depot".
user(name = "ann", hash = "$2a$10$hwdPOwF/zStX14N/glID6OelUDn17Eha/bS.URYRwMt0rJNWxv5Bm")
dav(listen = "127.0.0.1:4480", trees = [dict(path = "/files", volume = "files", write = ["ann"])])
