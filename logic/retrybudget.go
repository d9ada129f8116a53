package logic

// The retry budget. The interface of this module is in logic/api.go.

// budgetAllows reports whether one more retry keeps the number of retries in every window within the budget.
func (h *Host) budgetAllows() bool {
	rules := &h.settings.Rules
	if rules.BudgetWindow <= 0 {
		return true
	}
	for len(h.recentArrivals) > 0 && h.now-h.recentArrivals[0] >= rules.BudgetWindow {
		h.recentArrivals = h.recentArrivals[1:]
	}
	for len(h.recentRetries) > 0 && h.now-h.recentRetries[0] > rules.BudgetWindow {
		h.recentRetries = h.recentRetries[1:]
	}
	return float64(len(h.recentRetries)+1) <=
		rules.BudgetFree+rules.BudgetPerTake*float64(len(h.recentArrivals))
}
