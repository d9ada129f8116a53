package logic

import (
	"fmt"
	"math"
)

// check returns an error that names the first invalid field, if there is one. It takes no decisions on requests.
func (s *Settings) check() error {
	if s.Hosts < 1 {
		return fmt.Errorf("settings: Hosts is %d", s.Hosts)
	}
	if s.Number < 0 || s.Number >= s.Hosts {
		return fmt.Errorf("settings: Number is %d of %d Hosts", s.Number, s.Hosts)
	}
	if len(s.Classes) == 0 {
		return fmt.Errorf("settings: Classes is empty")
	}
	problem := ""
	nonNegative := func(name string, v ...float64) {
		for _, v := range v {
			if problem == "" && (v < 0 || math.IsNaN(v) || math.IsInf(v, 0)) {
				problem = fmt.Sprintf("settings: %s is %v", name, v)
			}
		}
	}
	for i, c := range s.Classes {
		at := fmt.Sprintf("Classes[%d].", i)
		nonNegative(at+"Aim", float64(c.Aim))
		nonNegative(at+"Deadline", float64(c.Deadline))
		nonNegative(at+"Worth", c.Worth)
		nonNegative(at+"LateShare", c.LateShare)
		nonNegative(at+"RepeatWindow", float64(c.RepeatWindow))
	}
	for i, p := range s.Plans {
		at := fmt.Sprintf("Plans[%d].", i)
		nonNegative(at+"Rate", p.Rate)
		nonNegative(at+"Reserve", p.Reserve)
		nonNegative(at+"Weight", p.Weight)
		nonNegative(at+"Price", p.Price)
		nonNegative(at+"Limit", p.Limit)
		nonNegative(at+"LimitBurst", p.LimitBurst)
		nonNegative(at+"LimitSlack", p.LimitSlack)
	}
	r := s.Rules
	nonNegative("Rules.ColdFrom", r.ColdFrom)
	nonNegative("Rules.ColdUnits", r.ColdUnits)
	nonNegative("Rules.BudgetFree", r.BudgetFree)
	nonNegative("Rules.BudgetPerTake", r.BudgetPerTake)
	nonNegative("Rules times", float64(r.AnswerSlack), float64(r.StopSending), float64(r.AskWithin),
		float64(r.ColdTime), float64(r.OverloadTime), float64(r.OrderPause), float64(r.BudgetWindow))
	nonNegative("HeldPart", s.HeldPart)
	nonNegative("MaxVolumes", float64(s.MaxVolumes))
	nonNegative("UnitMean", s.UnitMean)
	nonNegative("UnitTop", s.UnitTop)
	nonNegative("UsePeriod", float64(s.UsePeriod))
	nonNegative("MaxCoolDown", float64(s.MaxCoolDown))
	if problem != "" {
		return fmt.Errorf("%s", problem)
	}
	return nil
}
