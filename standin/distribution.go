package standin

import (
	"math"
	"math/rand/v2"
	"time"
)

// Distribution draws a service time. It is safe for concurrent use.
type Distribution func() time.Duration

// Fixed always draws d.
func Fixed(d time.Duration) Distribution {
	return func() time.Duration { return d }
}

// Uniform draws uniformly between least and most.
func Uniform(least, most time.Duration) Distribution {
	return func() time.Duration {
		return least + time.Duration(rand.Float64()*float64(most-least))
	}
}

// Exponential draws from the exponential distribution with the given mean.
func Exponential(mean time.Duration) Distribution {
	return func() time.Duration { return time.Duration(rand.ExpFloat64() * float64(mean)) }
}

// LogNormal draws from the log-normal distribution with the given median. sigma is the standard deviation of the
// logarithm; 1 gives a long tail.
func LogNormal(median time.Duration, sigma float64) Distribution {
	return func() time.Duration {
		return time.Duration(float64(median) * math.Exp(sigma*rand.NormFloat64()))
	}
}
