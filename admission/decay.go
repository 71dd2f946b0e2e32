package admission

import (
	"math"
	"time"
)

// decay computes the weights of exponentially weighted sums. A value is added with a weight that grows with time
// instead of reducing all earlier values, so adding a value costs the same however many sums there are.
type decay struct {
	constant, origin time.Duration
}

// maxExponent bounds the exponent of a weight. The sums must be rescaled before it is exceeded; math.Exp overflows at 709.
const maxExponent = 200

// exponent returns the logarithm of the weight of a value that is added now.
func (d *decay) exponent(now time.Duration) float64 {
	return float64(now-d.origin) / float64(d.constant)
}

// weight returns the weight of a value that is added now.
func (d *decay) weight(now time.Duration) float64 {
	return math.Exp(d.exponent(now))
}

// rescale moves the origin to now if the weights have become too large. It returns the factor by which every sum must
// then be multiplied, or 1.
func (d *decay) rescale(now time.Duration) float64 {
	if d.exponent(now) <= maxExponent {
		return 1
	}
	factor := math.Exp(-d.exponent(now))
	d.origin = now
	return factor
}
