package lavburn

import "time"

//go:generate stringer -type=Alert -trimprefix=Alert -output=alert_string.go

// Alert states how urgently an operator must look at an objective.
type Alert int

// Alert levels, in order of urgency.
const (
	// AlertNone requires no action.
	AlertNone Alert = iota
	// AlertTicket requires action within days.
	AlertTicket
	// AlertPage requires action immediately.
	AlertPage
)

// MarshalText returns the name of the alert level.
func (a Alert) MarshalText() ([]byte, error) { return []byte(a.String()), nil }

// UnmarshalText parses the name of an alert level. An unknown name gives AlertNone.
func (a *Alert) UnmarshalText(text []byte) error {
	*a = AlertNone
	for _, known := range []Alert{AlertTicket, AlertPage} {
		if known.String() == string(text) {
			*a = known
		}
	}
	return nil
}

// rule raises an alert if the burn rate is at least minBurnRate over both windows.
type rule struct {
	long, short time.Duration
	minBurnRate float64
	alert       Alert
}

// rules lists the alerting rules. At their burn rates, the long windows consume 2% (1
// hour), 5% (6 hours) and 10% (3 days) of the error budget of a month.
var rules = []rule{
	{long: time.Hour, short: 5 * time.Minute, minBurnRate: 14.4, alert: AlertPage},
	{long: 6 * time.Hour, short: 30 * time.Minute, minBurnRate: 6, alert: AlertPage},
	{long: 72 * time.Hour, short: 6 * time.Hour, minBurnRate: 1, alert: AlertTicket},
}

// windows lists all windows of the rules in ascending order.
var windows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// alertOf returns the most urgent alert that any rule raises, given the burn rate over
// each window.
func alertOf(burnRate func(window time.Duration) float64) Alert {
	raised := AlertNone
	for _, r := range rules {
		if burnRate(r.long) >= r.minBurnRate && burnRate(r.short) >= r.minBurnRate {
			raised = max(raised, r.alert)
		}
	}
	return raised
}
