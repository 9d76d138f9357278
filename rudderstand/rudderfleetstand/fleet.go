// Package rudderfleetstand builds a simulated environment in one process on 127.0.0.1: the key-value service,
// the host list, the weight store, engine hosts in fabric domains and hosts of plain services.
package rudderfleetstand

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"comfreyrudder.example/rudderd/rudderchange"
	"comfreyrudder.example/rudderstand/rudderbackend"
	"comfreyrudder.example/rudderstand/rudderengine"
	"comfreyrudder.example/rudderstand/rudderfront"
	"comfreyrudder.example/rudderstand/rudderinventory"
	"comfreyrudder.example/rudderstand/rudderkv"
	"comfreyrudder.example/rudderstand/rudderswitch"
	"comfreyrudder.example/rudderstand/rudderweights"
	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/rudderstore"
)

// Rates, sizes and lags of the platform's services.
const (
	readsPerSecond  = 2000
	writesPerSecond = 400
	// weightBytesPerSecond loads one model on all 130 hosts of TwoFirms in about 3.4 s.
	weightBytesPerSecond = 4 << 30
	// adapterBytes is the size of weights without a size in the configuration, such as adapters.
	adapterBytes = 10 << 20
	listLag      = 500 * time.Millisecond
	// cacheGapEvery loses every 17th cache event, so that the router is always tested with an incomplete view.
	cacheGapEvery = 17
)

// Host is one target host.
type Host struct {
	rudderswitch.Host

	labels        map[string]string
	checksFencing bool
}

// Fleet is the environment. Set the exported fields up to NoConfig before Start, and read the others after it.
type Fleet struct {
	Layout Layout
	// Clock is the clock of all parts; nil means the real clock.
	Clock clockwork.Clock
	// Timing is the timing of the engines; nil means rudderengine.DefaultTiming.
	Timing *rudderengine.Timing
	// Tune, if not nil, adjusts each engine or service before it starts. The other argument is nil.
	Tune func(engine *rudderengine.Engine, backend *rudderbackend.Backend)
	// NoConfig leaves the key-value service empty. Otherwise Start writes Document to it.
	NoConfig bool

	KV        *rudderkv.Server
	Inventory *rudderinventory.Inventory
	Weights   *rudderweights.Store
	Fabric    *rudderengine.Fabric
	Calls     *rudderbackend.Ledger
	Hosts     []*Host
	Switch    *rudderswitch.Server
	// Document is the first configuration.
	Document rudderconfig.Document

	kvFront        rudderfront.Front
	inventoryFront rudderfront.Front
	switchFront    rudderfront.Front
}

// Start builds and starts the environment. After an error, Close ends the parts that had started.
func (f *Fleet) Start() error {
	if f.Clock == nil {
		f.Clock = clockwork.NewRealClock()
	}
	f.KV = &rudderkv.Server{Clock: f.Clock, ReadsPerSecond: readsPerSecond, WritesPerSecond: writesPerSecond}
	f.Inventory = &rudderinventory.Inventory{Clock: f.Clock, Lag: listLag}
	f.Fabric = &rudderengine.Fabric{}
	f.Calls = &rudderbackend.Ledger{}
	f.Weights = &rudderweights.Store{
		Clock: f.Clock, BytesPerSecond: weightBytesPerSecond, DefaultBytes: adapterBytes, Sizes: map[string]int64{},
	}
	for _, m := range f.Layout.Document.Models {
		f.Weights.Sizes[m.Name+"@"+m.Version] = m.WeightBytes
	}
	if err := f.startHosts(); err != nil {
		return err
	}
	f.Document = f.document()
	if err := f.seed(); err != nil {
		return err
	}
	f.kvFront.Handler = f.KV.Handler()
	f.inventoryFront.Handler = f.Inventory.Handler()
	f.startSwitch()
	for _, front := range []*rudderfront.Front{&f.kvFront, &f.inventoryFront, &f.switchFront} {
		if err := front.Start(); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startSwitch() {
	f.Switch = &rudderswitch.Server{
		KV: f.KV, KVFront: &f.kvFront, Inventory: f.Inventory, InventoryFront: &f.inventoryFront,
		Runs: &f.Fabric.Ledger, Calls: f.Calls,
	}
	for _, h := range f.Hosts {
		f.Switch.Hosts = append(f.Switch.Hosts, &h.Host)
	}
	f.switchFront.Handler = f.Switch.Handler()
}

// Close ends all parts of the environment.
func (f *Fleet) Close() {
	for _, h := range f.Hosts {
		h.Close()
	}
	f.kvFront.Close()
	f.inventoryFront.Close()
	f.switchFront.Close()
}

// KVURL returns the key-value service's base URL.
func (f *Fleet) KVURL() string { return "http://" + f.kvFront.Address() }

// InventoryURL returns the host list's base URL.
func (f *Fleet) InventoryURL() string { return "http://" + f.inventoryFront.Address() }

// SwitchURL returns the base URL of the switch API.
func (f *Fleet) SwitchURL() string { return "http://" + f.switchFront.Address() }

// Host returns a host by its name, or nil.
func (f *Fleet) Host(name string) *Host {
	for _, h := range f.Hosts {
		if h.Name == name {
			return h
		}
	}
	return nil
}

// HostAt returns a host by its address, or nil.
func (f *Fleet) HostAt(address string) *Host {
	for _, h := range f.Hosts {
		if h.Address == address {
			return h
		}
	}
	return nil
}

// seed writes the first configuration and its history entry.
func (f *Fleet) seed() error {
	if f.NoConfig {
		return nil
	}
	value, err := json.Marshal(f.Document)
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	for _, key := range []string{rudderconfig.Key, rudderchange.HistoryKey(f.Document.Version)} {
		if _, err := f.KV.Store().Put(context.Background(), rudderstore.PutRequest{Key: key, Value: value}); err != nil {
			return errors.Wrapf(err, "write %s", key)
		}
	}
	return nil
}

func (f *Fleet) startHosts() error {
	for _, d := range f.Layout.Domains {
		for i := range d.Hosts {
			if err := f.startEngine(d, i); err != nil {
				return err
			}
		}
	}
	for _, s := range f.Layout.Services {
		if err := f.startBackend(s); err != nil {
			return err
		}
	}
	list := make([]rudderhost.Host, 0, len(f.Hosts))
	for _, h := range f.Hosts {
		list = append(list, h.Host.Host)
	}
	f.Inventory.Set(list)
	return nil
}

func (f *Fleet) timing() rudderengine.Timing {
	if f.Timing != nil {
		return *f.Timing
	}
	return rudderengine.DefaultTiming()
}

func (f *Fleet) startEngine(d Domain, index int) error {
	name := fmt.Sprintf("%s-%02d", d.Name, index+1)
	checks := d.SomeCheckFencing && index%2 == 1
	engine := &rudderengine.Engine{
		Host: name, Clock: f.Clock, Fabric: f.Fabric, Weights: f.Weights, Timing: f.timing(),
		ChecksFencing: checks, Slots: slotsPerGroup, CacheGapEvery: cacheGapEvery,
	}
	if f.Tune != nil {
		f.Tune(engine, nil)
	}
	if err := engine.Start(); err != nil {
		return err
	}
	listed := rudderhost.Host{
		Name: name, Address: engine.Address(), Kind: rudderhost.KindEngine, Region: d.Region,
		DataCentre: d.DataCentre, FabricDomain: d.Name, Accelerators: d.Accelerators,
		State: rudderhost.StateLive,
	}
	f.Hosts = append(f.Hosts, &Host{
		Host:          rudderswitch.Host{Host: listed, Engine: engine},
		labels:        map[string]string{LabelFirm: d.Firm, LabelAccelerator: d.Accelerator},
		checksFencing: engine.ChecksFencing,
	})
	return nil
}

func (f *Fleet) startBackend(s ServiceHost) error {
	backend := &rudderbackend.Backend{
		Host: s.Name, Service: s.Service, Clock: f.Clock, Ledger: f.Calls, ChecksFencing: true,
		LoadLag: f.timing().LoadLag,
	}
	if f.Tune != nil {
		f.Tune(nil, backend)
	}
	if err := backend.Start(); err != nil {
		return err
	}
	listed := rudderhost.Host{
		Name: s.Name, Address: backend.Address(), Kind: rudderhost.KindService, Region: s.Region,
		DataCentre: s.DataCentre, FabricDomain: s.Name, State: rudderhost.StateLive,
	}
	f.Hosts = append(f.Hosts, &Host{
		Host:          rudderswitch.Host{Host: listed, Backend: backend},
		labels:        map[string]string{LabelFirm: s.Firm, LabelService: s.Service},
		checksFencing: backend.ChecksFencing,
	})
	return nil
}
