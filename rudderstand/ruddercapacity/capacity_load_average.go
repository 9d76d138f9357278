package ruddercapacity

import (
	"fmt"
	"math"
	"os"
)

// LoadAverage returns the machine's one-minute load average, or NaN if /proc/loadavg is not available.
func LoadAverage() float64 {
	content, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return math.NaN()
	}
	var load float64
	if _, err := fmt.Sscan(string(content), &load); err != nil {
		return math.NaN()
	}
	return load
}
