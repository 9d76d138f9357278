package rudderlimit

import (
	"time"

	"comfreyrudder.example/shared/rudderpeer"
)

// maxReportsPerCall bounds the reports in one call between entry hosts. It is above the number of groups in a partition.
const maxReportsPerCall = 256

// Encode converts reports for a call to another entry host.
func Encode(list []Report) []*rudderpeer.TargetLimit {
	list = list[:min(len(list), maxReportsPerCall)]
	out := make([]*rudderpeer.TargetLimit, 0, len(list))
	for _, r := range list {
		out = append(out, &rudderpeer.TargetLimit{
			Name: r.Process.Target, Born: r.Process.Born, RequestsPerSecond: r.Rate, Ended: !r.Limited, AgeMs: r.Age.Milliseconds(), Spent: int64(r.Spent),
		})
	}
	return out
}

// Decode converts the reports in a call of another entry host.
func Decode(list []*rudderpeer.TargetLimit) []Report {
	list = list[:min(len(list), maxReportsPerCall)]
	out := make([]Report, 0, len(list))
	for _, x := range list {
		out = append(out, Report{
			Process: Process{Target: x.GetName(), Born: x.GetBorn()}, Limited: !x.GetEnded(), Rate: x.GetRequestsPerSecond(),
			Age: time.Duration(x.GetAgeMs()) * time.Millisecond, Spent: int(x.GetSpent()),
		})
	}
	return out
}
