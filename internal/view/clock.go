package view

import "time"

// Now returns the time on the clock of Member.LastHeard.
func (v *View) Now() time.Duration {
	return v.now()
}
