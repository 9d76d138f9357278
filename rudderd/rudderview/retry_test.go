package rudderview

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/rudderstore"
)

// fetchTime bounds a call to fetch all records while the service is silent.
const fetchTime = 800 * time.Millisecond

// returningView is a view without records whose service answers only while up is true.
func returningView(up func() bool) *View {
	begin := time.Now()
	now := time.Duration(0)
	v := silentView(&now)
	v.Uptime = func() time.Duration { return time.Since(begin) + 1 }
	v.FetchRecords = func(ctx context.Context) (RecordSet, error) {
		if !up() {
			ctx, end := context.WithTimeout(ctx, fetchTime)
			defer end()
			<-ctx.Done()
		}
		return RecordSet{}, errUnavailable
	}
	silent := v.Store.List
	v.Store.List = func(ctx context.Context, prefix string) ([]rudderstore.Entry, int64, error) {
		if !up() {
			return silent(ctx, prefix)
		}
		return []rudderstore.Entry{{Key: "routing", Value: []byte{5}, Revision: 8}}, 9, nil
	}
	return v
}

// Guards against a process that starts without records and misses a short return of the service, or still waits for a read that
// began before it.
func TestFirstReadAfterAShortReturn(t *testing.T) {
	const silent, period = 2 * time.Second, 2900 * time.Millisecond
	for _, test := range []struct {
		name    string
		outage  time.Duration // 0 for one of 2 s every 2.9 s
		another bool          // the service answers another call at its end
		within  time.Duration // of the return
	}{
		{"it comes and goes", 0, false, 900 * time.Millisecond},
		{"it answers another call", 20 * time.Second, true, max(fetchTime, firstListTimeout) + time.Millisecond},
		{"it answers no other call", 20 * time.Second, false, listTimeout + shortRetryPause + time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			for begin := time.Duration(0); begin < silent; begin += 100 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					ctx, end := context.WithCancel(t.Context())
					start, returns := time.Now(), max(test.outage, silent)-begin
					up := func() bool {
						at := begin + time.Since(start)
						return test.outage == 0 && at%period >= silent || test.outage > 0 && at >= test.outage
					}
					v := returningView(up)
					go func() { _ = v.Run(ctx) }()
					time.Sleep(returns)
					if test.another {
						v.RetryNow()
					}
					time.Sleep(test.within)
					synctest.Wait()
					require.False(t, v.AwaitsRecords(), "started %v after the service was lost", begin)
					end()
					synctest.Wait()
				})
			}
		})
	}
}

// Guards against a first read that is given up, and begun again, while its pages arrive.
func TestFirstReadOfSeveralPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		v := returningView(func() bool { return true })
		reads := 0
		v.Store.List = func(ctx context.Context, _ string) ([]rudderstore.Entry, int64, error) {
			reads++
			for range 5 {
				sleep(ctx, firstListTimeout*3/4)
				if ctx.Err() != nil {
					return nil, 0, errUnavailable
				}
				rudderstore.Progress(ctx)
			}
			return nil, 9, nil
		}
		go func() { _ = v.Run(ctx) }()
		time.Sleep(firstListTimeout / 2)
		v.RetryNow()
		time.Sleep(4 * firstListTimeout)
		require.False(t, v.AwaitsRecords())
		require.Equal(t, 1, reads)
		end()
		synctest.Wait()
	})
}
