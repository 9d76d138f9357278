// Package rudderscene runs the whole system in one process for tests and demos: the simulated environment
// (fabric, key-value service, host list) and real entry hosts, connected over loopback sockets.
package rudderscene

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/spf13/pflag"

	"comfreyrudder.example/rudderd/rudderapp"
	"comfreyrudder.example/rudderd/ruddersettings"
	"comfreyrudder.example/rudderstand/rudderfleetstand"
)

// Location is the region and data centre of an entry host.
type Location struct {
	Region     string
	DataCentre string
}

// Scene is a simulated fleet together with its entry hosts. Set the exported fields, then call Start.
type Scene struct {
	Fleet *rudderfleetstand.Fleet
	// Locations has one item for each entry host.
	Locations []Location
	// Settings overrides settings of every entry host, keyed by flag name.
	Settings map[string]string
	// Logs receives the log output of all entry hosts; nil discards it.
	Logs io.Writer
	// BeforeListen is an optional hook that modifies an entry host before it opens its listeners.
	// OnListen is an optional hook that runs once the addresses are bound and before the entry host runs.
	BeforeListen func(index int, app *rudderapp.App)
	OnListen     func(index int, app *rudderapp.App)

	mu      sync.Mutex
	entries []*Entry
}

// Entry is a started entry host.
type Entry struct {
	App  *rudderapp.App
	Name string

	stop context.CancelFunc
	done chan struct{}
	err  error
}

const peerSecret = "scene-peer-secret-1"

// Start starts the fleet and then one entry host for each location.
func (s *Scene) Start() error {
	if err := s.Fleet.Start(); err != nil {
		return errors.Wrap(err, "starting the stand-ins")
	}
	for i := range s.Locations {
		if _, err := s.StartEntry(i); err != nil {
			return err
		}
	}
	return nil
}

// StartEntry starts the entry host for the location with the given index. It also restarts one that was
// stopped or killed; the new Entry has the same name.
func (s *Scene) StartEntry(index int) (*Entry, error) {
	settings, err := s.settings(index)
	if err != nil {
		return nil, err
	}
	logger := zerolog.Nop()
	if s.Logs != nil {
		logger = zerolog.New(zerolog.SyncWriter(s.Logs)).With().Timestamp().Str("entry", settings.Name).Logger()
	}
	app := &rudderapp.App{Settings: settings, Logger: logger}
	if s.BeforeListen != nil {
		s.BeforeListen(index, app)
	}
	if err := app.Listen(); err != nil {
		return nil, err
	}
	if s.OnListen != nil {
		s.OnListen(index, app)
	}
	ctx, stop := context.WithCancel(context.Background())
	e := &Entry{App: app, Name: settings.Name, stop: stop, done: make(chan struct{})}
	s.mu.Lock()
	s.entries = append(s.entries, e)
	s.mu.Unlock()
	go func() {
		defer close(e.done)
		e.err = app.Run(ctx)
	}()
	return e, nil
}

func (s *Scene) settings(index int) (ruddersettings.Settings, error) {
	flags := pflag.NewFlagSet("scene", pflag.ContinueOnError)
	ruddersettings.AddFlags(flags)
	values := map[string]string{
		"name": fmt.Sprintf("entry-%02d", index+1), "region": s.Locations[index].Region, "data-centre": s.Locations[index].DataCentre,
		"caller-listen": "127.0.0.1:0", "peer-listen": "127.0.0.1:0", "admin-listen": "127.0.0.1:0",
		"key-value-url": s.Fleet.KVURL(), "host-list-url": s.Fleet.InventoryURL(), "peer-secret": peerSecret,
	}
	for _, e := range s.Entries() {
		values["seeds"] += e.App.PeerAddress() + ","
	}
	for name, value := range s.Settings {
		values[name] = value
	}
	for name, value := range values {
		if err := flags.Set(name, value); err != nil {
			return ruddersettings.Settings{}, errors.Wrap(err, name)
		}
	}
	return ruddersettings.Load(flags, func(string) (string, bool) { return "", false })
}

// Entries returns every entry host started so far, including stopped and killed ones, in start order.
func (s *Scene) Entries() []*Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.entries)
}

// Stop shuts an entry host down gracefully and waits until it has ended.
func (e *Entry) Stop() error {
	e.stop()
	<-e.done
	return e.err
}

// Kill ends an entry host without a graceful shutdown and waits until it has ended.
func (e *Entry) Kill() {
	e.App.Kill()
	<-e.done
}

// Close kills all entry hosts concurrently, then closes the fleet.
func (s *Scene) Close() {
	var kills sync.WaitGroup
	for _, e := range s.Entries() {
		kills.Go(e.Kill)
	}
	kills.Wait()
	s.Fleet.Close()
}

// ErrTimeout is returned by Await when the condition was not met before the deadline.
var ErrTimeout = errors.New("scene: timeout")

// pollInterval is the time between two evaluations of the condition in Await.
const pollInterval = 20 * time.Millisecond

// Await polls a condition until it is true. After the timeout it returns ErrTimeout, wrapped with the
// description.
func Await(timeout time.Duration, description string, condition func() bool) error {
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			return errors.Wrap(ErrTimeout, description)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// LocationsOf returns the location of each data centre of a layout, repeated perDataCentre times.
func LocationsOf(layout rudderfleetstand.Layout, perDataCentre int) []Location {
	var locations []Location
	seen := make(map[Location]bool)
	for _, d := range layout.Domains {
		location := Location{Region: d.Region, DataCentre: d.DataCentre}
		if seen[location] {
			continue
		}
		seen[location] = true
		for range perDataCentre {
			locations = append(locations, location)
		}
	}
	return locations
}
