# Answers are lost, come twice, or under an id that is not out.
day(name = "lost answers", length = s(14), rate = 240)
lose(at = s(2), lasting = s(4), nodes = [0, 1], part = 0.08)
twice(at = s(6), lasting = s(4), nodes = [2, 3], part = 0.5)
wrong_id(at = s(10), lasting = s(3), nodes = [4], part = 0.05)
