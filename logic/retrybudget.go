package logic

// The retry budget. The interface of this module is in logic/api.go.

// budgetAllows keeps further attempts within the budget over every window.
func (h *Host) budgetAllows() bool {
	rules := &h.set.Rules
	if rules.BudgetWindow <= 0 {
		return true
	}
	for len(h.taken) > 0 && h.now-h.taken[0] >= rules.BudgetWindow {
		h.taken = h.taken[1:]
	}
	for len(h.extra) > 0 && h.now-h.extra[0] > rules.BudgetWindow {
		h.extra = h.extra[1:]
	}
	return float64(len(h.extra)+1) <= rules.BudgetFree+rules.BudgetPerTake*float64(len(h.taken))
}
