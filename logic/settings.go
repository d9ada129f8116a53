package logic

import (
	"fmt"
	"math"
)

// check refuses settings that cannot be right and names the field. It decides nothing about requests.
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
	bad := ""
	positive := func(name string, v ...float64) {
		for _, v := range v {
			if bad == "" && (v < 0 || math.IsNaN(v) || math.IsInf(v, 0)) {
				bad = fmt.Sprintf("settings: %s is %v", name, v)
			}
		}
	}
	for i, c := range s.Classes {
		at := fmt.Sprintf("Classes[%d].", i)
		positive(at+"Aim", float64(c.Aim))
		positive(at+"Deadline", float64(c.Deadline))
		positive(at+"Worth", c.Worth)
		positive(at+"LateShare", c.LateShare)
		positive(at+"RepeatWindow", float64(c.RepeatWindow))
	}
	for i, p := range s.Plans {
		at := fmt.Sprintf("Plans[%d].", i)
		positive(at+"Rate", p.Rate)
		positive(at+"Reserve", p.Reserve)
		positive(at+"Weight", p.Weight)
		positive(at+"Price", p.Price)
		positive(at+"Limit", p.Limit)
		positive(at+"LimitBurst", p.LimitBurst)
		positive(at+"LimitSlack", p.LimitSlack)
	}
	r := s.Rules
	positive("Rules.ColdFrom", r.ColdFrom)
	positive("Rules.ColdUnits", r.ColdUnits)
	positive("Rules.BudgetFree", r.BudgetFree)
	positive("Rules.BudgetPerTake", r.BudgetPerTake)
	positive("Rules times", float64(r.AnswerSlack), float64(r.StopSending), float64(r.AskWithin),
		float64(r.ColdTime), float64(r.OverloadTime), float64(r.OrderPause), float64(r.BudgetWindow))
	positive("HeldPart", s.HeldPart)
	positive("UnitMean", s.UnitMean)
	positive("UnitTop", s.UnitTop)
	positive("UsePeriod", float64(s.UsePeriod))
	positive("MaxCoolDown", float64(s.MaxCoolDown))
	if bad != "" {
		return fmt.Errorf("%s", bad)
	}
	return nil
}
