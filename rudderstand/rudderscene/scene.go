// Package rudderscene runs the whole system in one process: the stand-ins of the environment and real
// entry hosts, which talk over loopback sockets.
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

// Location is where an entry host stands.
type Location struct {
	Region     string
	DataCentre string
}

// Scene is a fleet with entry hosts. Set the exported fields, then call Start.
type Scene struct {
	Fleet *rudderfleetstand.Fleet
	// Locations of the entry hosts, one for each.
	Locations []Location
	// Settings override settings of all entry hosts, by flag name.
	Settings map[string]string
	// Logs takes the log lines of the entry hosts; nil drops them.
	Logs io.Writer
	// BeforeListen changes an entry host before it listens, and Listening is told its addresses before it
	// runs; nil does nothing.
	BeforeListen func(place int, app *rudderapp.App)
	OnListen     func(place int, app *rudderapp.App)

	mu      sync.Mutex
	entries []*Entry
}

// Entry is one entry host of a scene.
type Entry struct {
	App  *rudderapp.App
	Name string

	stop context.CancelFunc
	done chan struct{}
	err  error
}

const peerSecret = "scene-peer-secret-1"

// Start starts the fleet and all entry hosts.
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

// StartEntry starts the entry host at a place, also again after it was stopped or killed.
func (s *Scene) StartEntry(place int) (*Entry, error) {
	settings, err := s.settings(place)
	if err != nil {
		return nil, err
	}
	logger := zerolog.Nop()
	if s.Logs != nil {
		logger = zerolog.New(zerolog.SyncWriter(s.Logs)).With().Timestamp().Str("entry", settings.Name).Logger()
	}
	app := &rudderapp.App{Settings: settings, Logger: logger}
	if s.BeforeListen != nil {
		s.BeforeListen(place, app)
	}
	if err := app.Listen(); err != nil {
		return nil, err
	}
	if s.OnListen != nil {
		s.OnListen(place, app)
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

func (s *Scene) settings(place int) (ruddersettings.Settings, error) {
	flags := pflag.NewFlagSet("scene", pflag.ContinueOnError)
	ruddersettings.AddFlags(flags)
	values := map[string]string{
		"name": fmt.Sprintf("entry-%02d", place+1), "region": s.Locations[place].Region, "data-centre": s.Locations[place].DataCentre,
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

// Entries lists the entry hosts that were started, in that order.
func (s *Scene) Entries() []*Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.entries)
}

// Stop stops an entry host as planned and waits for its end.
func (e *Entry) Stop() error {
	e.stop()
	<-e.done
	return e.err
}

// Kill ends an entry host at once.
func (e *Entry) Kill() {
	e.App.Kill()
	<-e.done
}

// Close kills all entry hosts and ends the fleet.
func (s *Scene) Close() {
	var waiting sync.WaitGroup
	for _, e := range s.Entries() {
		waiting.Go(e.Kill)
	}
	waiting.Wait()
	s.Fleet.Close()
}

// ErrTimeout reports that the scene did not reach a state in time.
var ErrTimeout = errors.New("scene: timeout")

// pollInterval between two looks at a state that is waited for.
const pollInterval = 20 * time.Millisecond

// Await waits until a condition holds.
func Await(timeout time.Duration, what string, holds func() bool) error {
	deadline := time.Now().Add(timeout)
	for !holds() {
		if time.Now().After(deadline) {
			return errors.Wrap(ErrTimeout, what)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// LocationsOf returns a number of places in each data centre of a layout.
func LocationsOf(layout rudderfleetstand.Layout, perDataCentre int) []Location {
	var places []Location
	known := make(map[Location]bool)
	for _, d := range layout.Domains {
		place := Location{Region: d.Region, DataCentre: d.DataCentre}
		if known[place] {
			continue
		}
		known[place] = true
		for range perDataCentre {
			places = append(places, place)
		}
	}
	return places
}
