package rudderallocator

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/rudderhost"
)

// Guards against an allocation that moves serving groups for no gain: each move drains one group and loads
// another. Both allocations leave the same number of hosts unused, so only the current groups decide.
func TestCurrentGroupsStay(t *testing.T) {
	in := AllocationInput{Config: &rudderconfig.Document{Selectors: []rudderconfig.Selector{
		{Name: "a", Firm: "umuvumu", Model: "m", GroupSize: 2, WantedGroups: 3},
	}}}
	for i := range 10 {
		name := fmt.Sprint("h", i)
		in.Hosts = append(in.Hosts, rudderhost.Host{
			Name: name, Kind: rudderhost.KindEngine, FabricDomain: fmt.Sprint("d", i%2), State: rudderhost.StateLive,
		})
	}
	for _, current := range []map[string]int{{"d0": 1, "d1": 2}, {"d0": 2, "d1": 1}} {
		in.Current = map[string]map[string]int{"a": current}
		require.Equal(t, current, Allocate(in).Selector("a"))
	}
	in.Current = map[string]map[string]int{"a": {"d0": 5, "d1": 5, "gone": 2}}
	require.Equal(t, 3, Allocate(in).Total("a"), "current groups above the wanted number or without hosts are ignored")
}
