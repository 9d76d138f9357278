package ruddercapacity

import (
	"fmt"
	"math"
	"os"
)

// LoadAverage is the machine's load over one minute, or NaN where the system does not tell.
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
