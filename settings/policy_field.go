package settings

import (
	"fmt"
	"strconv"
	"time"
)

// policyField describes one field of a policy: its key, and how it is validated, applied and formatted.
type policyField struct {
	name string
	// check returns why the override of a level is invalid, or an empty string.
	check func(raw rawPolicy) string
	// apply sets the value if the level has a valid override.
	apply func(policy *Policy, raw rawPolicy)
	// isSet reports whether the level overrides the value.
	isSet func(raw rawPolicy) bool
	// format returns the value in the form used in a settings tree.
	format func(policy Policy) string
}

// policyFields is in the order of the fields of Policy.
var policyFields = []policyField{
	intField("slots", 1, 10_000, func(r rawPolicy) *int { return r.Slots }, func(p *Policy) *int { return &p.Slots }),
	floatField("weight", 0.001, 1000, func(r rawPolicy) *float64 { return r.Weight }, func(p *Policy) *float64 { return &p.Weight }),
	intField("queue_length", 0, 100_000, func(r rawPolicy) *int { return r.QueueLength }, func(p *Policy) *int { return &p.QueueLength }),
	floatField("flow_slack", 0.001, 10, func(r rawPolicy) *float64 { return r.FlowSlack }, func(p *Policy) *float64 { return &p.FlowSlack }),
	durationField("slow_start", 0, time.Hour, func(r rawPolicy) *string { return r.SlowStart }, func(p *Policy) *time.Duration { return &p.SlowStart }),
	durationField("dead_after", 100*time.Millisecond, time.Minute, func(r rawPolicy) *string { return r.DeadAfter }, func(p *Policy) *time.Duration { return &p.DeadAfter }),
	durationField("reset_after", time.Second, time.Hour, func(r rawPolicy) *string { return r.ResetAfter }, func(p *Policy) *time.Duration { return &p.ResetAfter }),
	durationField("feed_heartbeat", 10*time.Millisecond, time.Minute, func(r rawPolicy) *string { return r.FeedHeartbeat }, func(p *Policy) *time.Duration { return &p.FeedHeartbeat }),
	durationField("feed_timeout", 20*time.Millisecond, 10*time.Minute, func(r rawPolicy) *string { return r.FeedTimeout }, func(p *Policy) *time.Duration { return &p.FeedTimeout }),
	durationField("ticket_lifetime", time.Second, 24*time.Hour, func(r rawPolicy) *string { return r.TicketLifetime }, func(p *Policy) *time.Duration { return &p.TicketLifetime }),
	durationField("record_lifetime", time.Second, 24*time.Hour, func(r rawPolicy) *string { return r.RecordLifetime }, func(p *Policy) *time.Duration { return &p.RecordLifetime }),
	intField("record_bytes", 0, 1<<30, func(r rawPolicy) *int { return r.RecordBytes }, func(p *Policy) *int { return &p.RecordBytes }),
	floatField("retry_budget", 0, 1, func(r rawPolicy) *float64 { return r.RetryBudget }, func(p *Policy) *float64 { return &p.RetryBudget }),
	durationField("retry_after", time.Millisecond, time.Hour, func(r rawPolicy) *string { return r.RetryAfter }, func(p *Policy) *time.Duration { return &p.RetryAfter }),
	durationField("drain_timeout", 0, 24*time.Hour, func(r rawPolicy) *string { return r.DrainTimeout }, func(p *Policy) *time.Duration { return &p.DrainTimeout }),
}

// applyOverrides returns base with the valid overrides of one level. It skips invalid ones, which
// policyField.check reports.
func applyOverrides(base Policy, raw rawPolicy) Policy {
	for _, f := range policyFields {
		f.apply(&base, raw)
	}
	return base
}

func intField(name string, minimum, maximum int, get func(rawPolicy) *int, target func(*Policy) *int) policyField {
	return numberField(name, minimum, maximum, get, target, strconv.Itoa)
}

func floatField(name string, minimum, maximum float64, get func(rawPolicy) *float64, target func(*Policy) *float64) policyField {
	return numberField(name, minimum, maximum, get, target, func(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) })
}

func numberField[T int | float64](name string, minimum, maximum T, get func(rawPolicy) *T, target func(*Policy) *T, format func(T) string) policyField {
	// Comparisons with NaN are false, so this form rejects NaN; a test for values outside would accept it.
	valid := func(v T) bool { return v >= minimum && v <= maximum }
	return policyField{
		name: name,
		check: func(raw rawPolicy) string {
			if v := get(raw); v != nil && !valid(*v) {
				return fmt.Sprintf("%v is out of range; must be %v to %v", *v, minimum, maximum)
			}
			return ""
		},
		apply: func(policy *Policy, raw rawPolicy) {
			if v := get(raw); v != nil && valid(*v) {
				*target(policy) = *v
			}
		},
		isSet:  func(raw rawPolicy) bool { return get(raw) != nil },
		format: func(policy Policy) string { return format(*target(&policy)) },
	}
}

func durationField(name string, minimum, maximum time.Duration, get func(rawPolicy) *string, target func(*Policy) *time.Duration) policyField {
	parse := func(raw rawPolicy) (d time.Duration, reason string) {
		d, err := time.ParseDuration(*get(raw))
		if err != nil {
			return 0, fmt.Sprintf("%q is not a duration with a unit, such as 1.5s or 10m", *get(raw))
		}
		if d < minimum || d > maximum {
			return 0, fmt.Sprintf("%v is out of range; must be %v to %v", d, minimum, maximum)
		}
		return d, ""
	}
	return policyField{
		name: name,
		check: func(raw rawPolicy) string {
			if get(raw) == nil {
				return ""
			}
			_, reason := parse(raw)
			return reason
		},
		apply: func(policy *Policy, raw rawPolicy) {
			if get(raw) == nil {
				return
			}
			if d, reason := parse(raw); reason == "" {
				*target(policy) = d
			}
		},
		isSet:  func(raw rawPolicy) bool { return get(raw) != nil },
		format: func(policy Policy) string { return target(&policy).String() },
	}
}
