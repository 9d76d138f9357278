package rudderbody

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// Guards against bodies that exceed the memory for them together, and against long bodies that leave no room for short ones.
func TestBudgetBoundsBodies(t *testing.T) {
	const limit = 1 << 20
	for _, test := range []struct {
		name         string
		size, length int64
		fit          int // bodies that fit at once
	}{
		{"known length", 64 << 10, 64 << 10, 15},
		{"chunked", 64 << 10, -1, 15},
		{"short", 1 << 10, 1 << 10, 1023},
		{"half of the limit", limit / 2, limit / 2, 1},
		{"above half of the limit", limit/2 + 1, limit/2 + 1, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := NewBudget(limit)
			var held []*Reservation
			fit := 0
			for range 2 * limit / test.size {
				r := b.Reservation(1)
				held = append(held, r)
				data, err := r.Read(bytes.NewReader(make([]byte, test.size)), test.length, test.size)
				if err != nil {
					require.ErrorIs(t, err, ErrNoMemory)
					require.Nil(t, data)
					r.Release()
					continue
				}
				require.Len(t, data, int(test.size))
				fit++
			}
			require.LessOrEqual(t, b.Held(), int64(limit))
			require.InDelta(t, test.fit, fit, 1)
			short := b.Reservation(1)
			require.NoError(t, short.Resize(256))
			short.Release()
			for _, r := range held {
				r.Release()
			}
			require.Zero(t, b.Held())
		})
	}
}

// Guards against a refusal that comes only after the body has been read, against data from a body that is cut off, and against
// reservations that outlive such a body.
func TestReservationRead(t *testing.T) {
	const limit = 100 << 10
	for _, test := range []struct {
		name   string
		free   int64
		body   io.Reader
		length int64
		want   error
	}{
		{"unread", 10, iotest.ErrReader(errors.New("read")), 10, ErrNoMemory},
		{"unread chunked body", 10, iotest.ErrReader(errors.New("read")), -1, ErrNoMemory},
		{"too long for the rest while chunks arrive", 40 << 10, strings.NewReader(strings.Repeat("x", 30<<10)), -1, ErrNoMemory},
		{"shorter than its length", 1 << 20, strings.NewReader("short"), 10, io.ErrUnexpectedEOF},
		{"broken while chunks arrive", 1 << 20, io.MultiReader(strings.NewReader("short"), iotest.ErrReader(io.ErrUnexpectedEOF)), -1, io.ErrUnexpectedEOF},
		{"above the limit", 1 << 20, bytes.NewReader(make([]byte, limit+1)), limit + 1, ErrTooLarge},
		{"above the limit, chunked", 1 << 20, bytes.NewReader(make([]byte, limit+1)), -1, ErrTooLarge},
		{"at the limit, chunked", 1 << 20, bytes.NewReader(make([]byte, limit)), -1, nil},
		{"empty", 0, strings.NewReader(""), 0, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := NewBudget(2 << 20)
			b.held = 2<<20 - test.free
			r := b.Reservation(1)
			_, err := r.Read(test.body, test.length, limit)
			if test.want == nil {
				require.NoError(t, err)
			} else {
				require.ErrorIs(t, err, test.want)
			}
			r.Release()
			require.Equal(t, int64(2<<20)-test.free, b.held)
		})
	}
}

// Guards against bodies that stop short of their end and keep the memory that others need.
func TestStalledBodiesReturnTheirMemory(t *testing.T) {
	b := NewBudget(1 << 20)
	var stalled []*Reservation
	for r := b.Reservation(1); r.Resize(128<<10) == nil; r = b.Reservation(1) {
		stalled = append(stalled, r)
	}
	b.SetReclaim(func() bool {
		if len(stalled) > 1 {
			go stalled[0].Release()
			stalled = stalled[1:]
			return true
		}
		return false
	})
	_, err := b.Reservation(1).Read(bytes.NewReader(make([]byte, 256<<10)), 256<<10, 256<<10)
	require.NoError(t, err)
	_, err = b.Reservation(1).Read(bytes.NewReader(nil), 512<<10, 512<<10)
	require.ErrorIs(t, err, ErrNoMemory)
}

// Guards against a sum above the limit when requests reserve and release at once, and against a budget without a bound that
// refuses.
func TestBudgetWithManyRequests(t *testing.T) {
	b := NewBudget(1 << 20)
	var requests sync.WaitGroup
	for range 16 {
		requests.Go(func() {
			for range 500 {
				r := b.Reservation(1)
				_ = r.Resize(rand.Int64N(1 << 19))
				if held := b.Held(); held > 1<<20 || held < 0 {
					t.Errorf("%d bytes are held", held)
				}
				r.Release()
			}
		})
	}
	requests.Wait()
	require.Zero(t, b.Held())
	var none *Budget
	require.NoError(t, none.Reservation(1).Resize(1<<40))
	require.Nil(t, NewBudget(0))
}
