package listener

import (
	"syscall"
	"time"

	"github.com/chivetiller/chivetiller/internal/clients/budget"
)

// Role is what a listener without limits of the platform is for.
type Role int

// Roles.
const (
	// Callers are clients that send work, and Operators those that change the configuration.
	Callers Role = iota
	Operators
	// Scrapers read metrics.
	Scrapers
)

const (
	// fallbackDescriptors is assumed if the limit of the process is not known.
	fallbackDescriptors = 1024
	// maxDescriptors bounds what a process without a limit is assumed to have.
	maxDescriptors = 1 << 14
	minConnections = 16
	// bodiesAtOnce is how many bodies of the largest size an operator listener holds at once. The counted memory of a body is three times
	// its size, and a quarter is for small requests.
	bodiesAtOnce = 8
	scraperBody  = 16 << 10
	scraperRoom  = 4 << 20
	// scraperTime is the time for a head and a body of a request without content.
	scraperTime = 10 * time.Second
)

// memoryShares are the parts of the memory of the machine that the clients of a role may hold: less than half in sum. Of the share of
// operators three quarters are for large requests. At 284 MB they hold a request of the largest size, which counts as 48 MB.
var memoryShares = map[Role]float64{Callers: 0.2, Operators: 0.25, Scrapers: 0.03}

// MachineMemory returns the memory of the machine in bytes, and 0 if it is not known.
func MachineMemory() int64 {
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return 0
	}
	return int64(info.Totalram) * int64(info.Unit)
}

// bounded returns limits whose memory is not above the share of a role of the memory of the machine in bytes, which is 0 if it is not known.
func bounded(l budget.Limits, r Role, machine int64) budget.Limits {
	if machine > 0 {
		l.Memory = min(l.Memory, int64(memoryShares[r]*float64(machine)))
	}
	return l
}

// divisors are the inverse parts of the descriptors of the process by role.
var divisors = map[Role]int{Callers: 2, Operators: 16, Scrapers: 32}

// connections returns how many connections a listener of a role may have.
func connections(r Role) int {
	var limit syscall.Rlimit
	descriptors := fallbackDescriptors
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil {
		descriptors = int(min(limit.Cur, maxDescriptors))
	}
	return max(minConnections, descriptors/divisors[r])
}

// OperatorLimits returns the limits of a listener for operators whose requests have bodies of up to a size and arrive within a time, on a
// machine with a memory in bytes.
func OperatorLimits(body int64, arrival time.Duration, machine int64) budget.Limits {
	n := connections(Operators)
	return bounded(budget.Limits{
		Memory: int64(n)*budget.ConnectionCost + bodiesAtOnce*4*body, Connections: n, HalfRead: n, Head: MaxHeaderBytes, Body: body,
		HeadTime: arrival, BodyTime: arrival, StallTime: arrival,
	}, Operators, machine)
}

// CallerLimits returns the limits of a listener for callers that may hold bodies of a size in sum, on a machine with a memory in bytes.
func CallerLimits(head, body, bodies int64, arrival time.Duration, machine int64) budget.Limits {
	n := connections(Callers)
	return bounded(budget.Limits{
		Memory: int64(n)*budget.ConnectionCost + 4*max(bodies, body), Connections: n, HalfRead: n - n/4, Head: head, Body: body,
		HeadTime: arrival, BodyTime: arrival, StallTime: arrival,
	}, Callers, machine)
}

// ScraperLimits returns the limits of a listener for metrics, on a machine with a memory in bytes.
func ScraperLimits(machine int64) budget.Limits {
	n := connections(Scrapers)
	return bounded(budget.Limits{
		Memory: int64(n)*budget.ConnectionCost + scraperRoom, Connections: n, HalfRead: n, Head: scraperBody, Body: scraperBody,
		HeadTime: scraperTime, BodyTime: scraperTime, StallTime: scraperTime,
	}, Scrapers, machine)
}
