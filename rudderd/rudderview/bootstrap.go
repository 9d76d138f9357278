package rudderview

import (
	"context"
	"time"

	"comfreyrudder.example/shared/rudderstore"
)

// Known is what an entry host knows of the fleet, for one that has to read all records and gets no answer from the service.
type Known struct {
	Records []rudderstore.Entry
	// Revision is 0 before the first sync.
	Revision int64
	// Age is the staleness of the answer when it was sent.
	Age time.Duration
	// Unavailable is set if the service does not answer that entry host either.
	Unavailable bool
	// Announcements holds all processes that have announced that they are leaving.
	Announcements []Announcement
	// AsOf is the uptime of the receiving process as of which every change is known; it may be before its start.
	AsOf time.Duration
}

// Known returns all that this entry host knows, also while the service does not answer it.
func (v *View) Known() Known {
	unavailable := v.Unreachable()
	age, ok := v.Staleness() // before the records are read, so that they are at least as new
	if !ok {
		return Known{}
	}
	k := Known{Age: age, Unavailable: unavailable, Announcements: v.allAnnouncements()}
	k.Records, k.Revision = v.allRecords()
	return k
}

// allAnnouncements returns also the announcements of targets whose records have lapsed, because they may be written again.
func (v *View) allAnnouncements() []Announcement {
	v.snapshotMu.Lock()
	defer v.snapshotMu.Unlock()
	list := make([]Announcement, 0, len(v.announcements.byTarget))
	for name, a := range v.announcements.byTarget {
		list = append(list, Announcement{Target: name, Born: a.born})
	}
	return list
}

// bootstrap is the attempt to learn from another entry host what the service does not tell this one, until all records have been
// read.
type bootstrap struct {
	lifetime context.Context
	// reads is the context of reads of all records and of the pauses between them. It ends once another entry host has
	// answered.
	reads   context.Context
	cancel  context.CancelFunc
	known   chan Known
	ended   bool
	adopted bool // the snapshot is from another entry host, and the next watch shows whether the service answers
}

func (v *View) startBootstrap(ctx context.Context) *bootstrap {
	b := &bootstrap{lifetime: ctx, reads: ctx, cancel: func() {}, known: make(chan Known, 1)}
	if v.FetchKnown == nil {
		return b
	}
	b.reads, b.cancel = context.WithCancel(ctx)
	reads, cancel := b.reads, b.cancel
	go func() {
		if k, err := v.FetchKnown(reads); err == nil {
			b.known <- k
			cancel()
		}
	}()
	return b
}

// end ends the attempt.
func (b *bootstrap) end() {
	b.cancel()
	b.reads, b.ended = b.lifetime, true
}

// readAll reads all records from the service, or takes them over from another entry host that has answered first.
func (v *View) readAll(b *bootstrap, first bool) error {
	err := b.reads.Err()
	if err == nil {
		err = v.list(b.reads, first)
	}
	if err == nil {
		b.end()
		return nil
	}
	select {
	case k := <-b.known:
		b.end()
		b.adopted = v.adopt(k)
	default:
	}
	if b.adopted {
		return nil
	}
	return err
}

// adopt replaces the snapshot with what another entry host knows. It returns false if this one knows more by now.
func (v *View) adopt(k Known) bool {
	if k.Revision < v.Snapshot().Revision {
		return false
	}
	v.snapshotMu.Lock()
	for _, a := range k.Announcements {
		v.announceLocked(a)
	}
	v.snapshotMu.Unlock()
	if k.Unavailable {
		v.unreachable.Store(true) // before the sync, which may be old
	}
	v.replace(k.Records, k.Revision)
	v.Logger.Info().Int("records", len(k.Records)).Int64("revision", k.Revision).Dur("age_ms", v.Uptime()-k.AsOf).Bool("in_outage", k.Unavailable).
		Msg("the key-value service does not answer; records taken over from another entry host")
	v.markSynced(v.Uptime(), k.AsOf)
	return true
}
