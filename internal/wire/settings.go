package wire

import (
	"encoding/json"
	"fmt"

	"appleplank/logic"
)

// Settings is the JSON document in an Enlist event. Keys without a field here are ignored.
type Settings struct {
	AZ        int `json:"az"`
	Balancers int `json:"balancers"`
	Classes   []struct {
		AimStretch     float64 `json:"aimStretch"`
		AimUs          float64 `json:"aimUs"`
		DeadlineUs     float64 `json:"deadlineUs"`
		Group          string  `json:"group"`
		Importance     float64 `json:"importance"`
		LateShare      float64 `json:"lateShare"`
		Name           string  `json:"name"`
		OneAtATime     bool    `json:"oneAtATime"`
		RepeatWindowUs float64 `json:"repeatWindowUs"`
		Semantics      string  `json:"semantics"`
		Streaming      bool    `json:"streaming"`
	} `json:"classes"`
	FamilyInfo struct {
		ColdBears      float64 `json:"coldBears"`
		SlotsTotal     int     `json:"slotsTotal"`
		TellsElsewhere bool    `json:"tellsElsewhere"`
		UnitMean       float64 `json:"unitMean"`
		UnitsTop       float64 `json:"unitsTop"`
		UsePeriodUs    float64 `json:"usePeriodUs"`
		Writes         []bool  `json:"writes"`
	} `json:"familyInfo"`
	Invariants struct {
		AnswerSlackUs       float64 `json:"answerSlackUs"`
		AskWithinUs         float64 `json:"askWithinUs"`
		BudgetFree          float64 `json:"budgetFree"`
		ColdFrom            float64 `json:"coldFrom"`
		ColdUs              float64 `json:"coldUs"`
		ExtraWindowUs       float64 `json:"extraWindowUs"`
		OrderPauseUs        float64 `json:"orderPauseUs"`
		OverloadForUs       float64 `json:"overloadForUs"`
		ResendRatio         float64 `json:"resendRatio"`
		StopSendingWithinUs float64 `json:"stopSendingWithinUs"`
		TipMultiple         float64 `json:"tipMultiple"`
	} `json:"invariants"`
	Limits struct {
		ConnIdleUs       float64 `json:"connIdleUs"`
		ConnectTimeoutUs float64 `json:"connectTimeoutUs"`
		MaxRetryAfterUs  float64 `json:"maxRetryAfterUs"`
		OpenCap          int     `json:"openCap"`
		MayCancel        bool    `json:"mayCancel"`
		Probes           bool    `json:"probes"`
		RetryAfter       bool    `json:"retryAfter"`
		SecondCopies     bool    `json:"secondCopies"`
		SendCap          int     `json:"sendCap"`
	} `json:"limits"`
	GranularityUs  float64 `json:"granularityUs"`
	MembershipMode string  `json:"membershipMode"`
	SlotNo         int     `json:"slotNo"`
	Report         struct {
		Fields []string `json:"fields"`
	} `json:"report"`
	ServiceLevels []struct {
		BaseRate   float64 `json:"baseRate"`
		CapSlack   float64 `json:"capSlack"`
		FloorRate  float64 `json:"floorRate"`
		LimitBurst float64 `json:"limitBurst"`
		Name       string  `json:"name"`
		NeverOver  float64 `json:"neverOver"`
		Price      float64 `json:"price"`
		Shares     float64 `json:"shares"`
	} `json:"serviceLevels"`
	Zones []string `json:"zones"`
}

// ParseSettings decodes the settings of an Enlist event.
func ParseSettings(text []byte) (*Settings, error) {
	s := new(Settings)
	if err := json.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return s, nil
}

var groups = map[string]logic.Group{"all": logic.GroupAll, "zone": logic.GroupZone, "cell": logic.GroupCell}

var repeats = map[string]logic.Repeat{
	"retryable": logic.Retryable, "dedup": logic.Dedup, "fragile": logic.Fragile,
}

// Known returns the value of word in the table, or unknown if the simulator sends a word that the protocol does not
// define.
func Known[K comparable, V any](table map[K]V, word K, unknown V) V {
	if v, ok := table[word]; ok {
		return v
	}
	return unknown
}

// Logic converts the settings to those of package logic.
func (s *Settings) Logic() logic.Settings {
	us := func(v float64) logic.Micros { return logic.Micros(v) }
	t := logic.Settings{
		Hosts: s.Balancers, Number: s.SlotNo, Zone: s.AZ, Tick: us(s.GranularityUs), Subscribe: s.MembershipMode == "subscribe",
		MaxAttempts: s.Limits.SendCap, SecondCopies: s.Limits.SecondCopies,
		MayCancel: s.Limits.MayCancel, MayProbe: s.Limits.Probes,
		CoolDowns: s.Limits.RetryAfter, MaxCoolDown: us(s.Limits.MaxRetryAfterUs),
		UnitMean: s.FamilyInfo.UnitMean, UnitTop: s.FamilyInfo.UnitsTop,
		UsePeriod: us(s.FamilyInfo.UsePeriodUs), TellsElsewhere: s.FamilyInfo.TellsElsewhere,
		Rules: logic.Rules{
			AnswerSlack: us(s.Invariants.AnswerSlackUs), StopSending: us(s.Invariants.StopSendingWithinUs),
			AskWithin: us(s.Invariants.AskWithinUs), ColdFrom: s.Invariants.ColdFrom,
			ColdTime: us(s.Invariants.ColdUs), ColdUnits: s.FamilyInfo.ColdBears,
			OverloadTime: us(s.Invariants.OverloadForUs), TipMultiple: s.Invariants.TipMultiple,
			OrderPause:   us(s.Invariants.OrderPauseUs),
			BudgetWindow: us(s.Invariants.ExtraWindowUs), BudgetFree: s.Invariants.BudgetFree,
			BudgetPerTake: s.Invariants.ResendRatio,
		},
	}
	for i, c := range s.Classes {
		t.Classes = append(t.Classes, logic.Class{
			Aim: us(c.AimUs), AimPerWork: c.AimStretch > 0, Deadline: us(c.DeadlineUs),
			Worth: c.Importance, LateShare: c.LateShare, Repeat: Known(repeats, c.Semantics, logic.Fragile),
			Group: Known(groups, c.Group, logic.GroupCell), RepeatWindow: us(c.RepeatWindowUs),
			InOrder: c.OneAtATime, Stream: c.Streaming,
			Writes: i < len(s.FamilyInfo.Writes) && s.FamilyInfo.Writes[i],
		})
	}
	for _, p := range s.ServiceLevels {
		t.Plans = append(t.Plans, logic.Plan{
			Rate: p.BaseRate, Reserve: p.FloorRate, Weight: p.Shares, Price: p.Price,
			Limit: p.NeverOver, LimitBurst: p.LimitBurst, LimitSlack: p.CapSlack,
		})
	}
	return t
}

// AddLoad stores one value of a load report in l. The field is its name in the settings; unknown names are ignored.
func AddLoad(l *logic.Load, field string, v float64) {
	switch field {
	case "active":
		l.Holds = v
	case "waiting":
		l.Waits = v
	case "cpu":
		l.Busy = v
	case "avg_ms":
		l.Service = v
	}
}
