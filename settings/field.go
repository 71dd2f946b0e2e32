package settings

import (
	"fmt"
	"strconv"
	"time"
)

// field is one value of a policy: its name in a tree, its range, and how it is read and shown.
type field struct {
	name string
	// check returns what is wrong with the override of a level, or nothing.
	check func(raw rawPolicy) string
	// apply sets the value if the level overrides it with a valid one.
	apply func(policy *Policy, raw rawPolicy)
	// set reports whether the level overrides the value.
	set func(raw rawPolicy) bool
	// show returns the value as an operator writes it.
	show func(policy Policy) string
}

// fields are all values of a policy, in the order of their declaration.
var fields = []field{
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

// apply returns the base with the valid overrides of one level.
func apply(base Policy, raw rawPolicy) Policy {
	for _, f := range fields {
		f.apply(&base, raw)
	}
	return base
}

func intField(name string, least, most int, get func(rawPolicy) *int, target func(*Policy) *int) field {
	return numberField(name, least, most, get, target, strconv.Itoa)
}

func floatField(name string, least, most float64, get func(rawPolicy) *float64, target func(*Policy) *float64) field {
	return numberField(name, least, most, get, target, func(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) })
}

func numberField[T int | float64](name string, least, most T, get func(rawPolicy) *T, target func(*Policy) *T, format func(T) string) field {
	// A comparison with NaN is false, so the range is asked for in the positive.
	valid := func(v T) bool { return v >= least && v <= most }
	return field{
		name: name,
		check: func(raw rawPolicy) string {
			if v := get(raw); v != nil && !valid(*v) {
				return fmt.Sprintf("%v is out of range; must be %v to %v", *v, least, most)
			}
			return ""
		},
		apply: func(policy *Policy, raw rawPolicy) {
			if v := get(raw); v != nil && valid(*v) {
				*target(policy) = *v
			}
		},
		set:  func(raw rawPolicy) bool { return get(raw) != nil },
		show: func(policy Policy) string { return format(*target(&policy)) },
	}
}

func durationField(name string, least, most time.Duration, get func(rawPolicy) *string, target func(*Policy) *time.Duration) field {
	parse := func(raw rawPolicy) (d time.Duration, reason string) {
		d, err := time.ParseDuration(*get(raw))
		if err != nil {
			return 0, fmt.Sprintf("%q is not a duration such as 1.5s or 10m", *get(raw))
		}
		if d < least || d > most {
			return 0, fmt.Sprintf("%v is out of range; must be %v to %v", d, least, most)
		}
		return d, ""
	}
	return field{
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
		set:  func(raw rawPolicy) bool { return get(raw) != nil },
		show: func(policy Policy) string { return target(&policy).String() },
	}
}
