# A gateway of a small depot: two storage nodes, a volume for orders and one for reports.
#     appleplank node --listen 127.0.0.1:4421 --nqn nqn.2026-12.example.depot:a --namespace 1=67108864 --namespace 2=67108864
#     appleplank node --listen 127.0.0.1:4422 --nqn nqn.2026-12.example.depot:b --namespace 1=67108864 --namespace 2=67108864
#     appleplank serve -c examples/depot.star
gateway(name = "depot-1", hosts = 1, number = 0, unit_mean = 1.2, unit_top = 64)

class_(name = "read", aim = ms(100), deadline = s(2), worth = 2, late_share = 0.2)
class_(name = "save", aim = ms(150), deadline = s(3), worth = 3, late_share = 0.2, in_order = True, writes = True)
class_(name = "report", aim = s(2), deadline = s(6), worth = 1, late_share = 0.1)

plan(name = "priority", rate = 200, reserve = 160, weight = 6)
plan(name = "basic", rate = 60, reserve = 20, weight = 1, limit = 600, limit_burst = 300, limit_slack = 60)

rules(stop_sending = s(2), order_pause = ms(500), cold_from = 0.16, cold_time = s(18), cold_units = 40,
    overload_time = s(1), tip_multiple = 4)

NODES = ["a", "b"]
for i, name in enumerate(NODES):
    node(id = i + 1, cell = i, address = "127.0.0.1:%d" % (4421 + i), nqn = "nqn.2026-12.example.depot:" + name)

TABLE = [
    dict(kind = "read", class_ = "read", up_to = KiB(256)),
    dict(kind = "read", class_ = "report"),
] + [dict(kind = k, class_ = "save") for k in ["write", "flush", "discard", "write_zeroes"]]

def spread(namespace):
    return [dict(size = MiB(32), cell = i, namespace = namespace) for i in range(len(NODES))]

volume(id = 1, name = "orders", plan = "priority", socket = "orders.sock", extents = spread(1), table = TABLE)
volume(id = 2, name = "reports", plan = "basic", socket = "reports.sock", extents = spread(2), table = TABLE, read_only = False)

times(answer_margin = ms(20), connect = s(2), keep_alive = s(10), drain = s(10))
bounds(depth = 64, io_queues = 2, memory = MiB(64))
state(dir = "depot-1-state", every = s(1))
