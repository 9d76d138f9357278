package rudderdemo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"comfreyrudder.example/rudderstand/ruddercaller"
	"comfreyrudder.example/rudderstand/rudderengine"
	"comfreyrudder.example/rudderstand/rudderfleetstand"
	"comfreyrudder.example/rudderstand/rudderscene"
)

const (
	loadSeed        = 20261204
	shortTokens     = 24
	longTokens      = 250 // about 6 s, so that planned stops and kills hit answers in flight
	longShare       = 0.15
	plainShare      = 0.2
	streamedShare   = 0.7
	thinkTime       = 60 * time.Millisecond
	workspacesInUse = 10
)

// startLoad starts the callers of both firms.
func (d *Demo) startLoad(ctx context.Context, running *sync.WaitGroup) {
	for f, firm := range firms {
		for i := range d.CallersPerFirm {
			entryIndex := firm.entryIndex + i%3*entriesPerDC
			caller := d.caller(rudderfleetstand.WorkspaceName(firm.name, 1+i%workspacesInUse), entryIndex)
			random := rand.New(rand.NewPCG(loadSeed, uint64(f*1000+i))) //nolint:gosec // a fixed seed for repeatable load
			running.Go(func() { d.runCaller(ctx, caller, firm, random, fmt.Sprintf("%s/%d", firm.name, i)) })
		}
	}
}

// runCaller sends one request after the other until the context ends. The end of the context does not cancel
// the request in flight, so that it is not mistaken for one that the system interrupted.
func (d *Demo) runCaller(ctx context.Context, caller *ruddercaller.Caller, f firm, random *rand.Rand, name string) {
	for n := 0; ctx.Err() == nil; n++ {
		timed, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
		label := fmt.Sprintf("%s/%d", name, n)
		switch share := random.Float64(); {
		case share < plainShare:
			d.plainCall(timed, caller, f, random.IntN(3), label)
		case share < plainShare+longShare:
			d.chat(timed, caller, f, "long", label, longTokens, true)
		default:
			d.chat(timed, caller, f, "short", label, shortTokens, random.Float64() < streamedShare)
		}
		cancel()
		rudderscene.Sleep(ctx, thinkTime)
	}
}

func (d *Demo) plainCall(ctx context.Context, caller *ruddercaller.Caller, f firm, kind int, label string) {
	call := ruddercaller.Call{Service: f.service, Method: http.MethodPost, Path: "/entries", Body: label}
	switch kind {
	case 0:
		call.Key = "demo-" + label
	case 1:
		call.Method, call.Path, call.Body, call.Idempotent = http.MethodGet, "/calendar/today", "", f.idempotentReads
	}
	d.stats.add("plain", caller.Call(ctx, call))
}

func (d *Demo) chat(ctx context.Context, caller *ruddercaller.Caller, f firm, class, label string, tokens int, stream bool) ruddercaller.Result {
	var open atomic.Bool
	result := caller.Chat(ctx, ruddercaller.Chat{
		Model: f.model, Prompt: class + " " + label + " " + rudderengine.LengthMark(tokens), MaxTokens: tokens, Stream: stream,
		Started: func() {
			if !open.Swap(true) {
				d.stats.streams.Add(1)
			}
		},
	})
	if open.Load() {
		d.stats.streams.Add(-1)
	}
	d.stats.add(class, result)
	return result
}
