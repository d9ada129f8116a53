# Load reports come seconds late while two nodes are slow.
day(name = "late reports", length = s(12), rate = 240)
late_reports(at = s(1), lasting = s(10), nodes = [0, 1, 2, 3, 4, 5, 6, 7], by = s(3))
slow(at = s(3), lasting = s(4), nodes = [1, 4], times = 6)
