// Package rudderrole holds what stand-in targets share: the role that orders change, with or without
// fencing checks, and the answers to orders over HTTP.
package rudderrole

import (
	"encoding/json"
	"net/http"
	"reflect"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/shared/ruddertarget"
)

// maxOrderBytes bounds the body of an order.
const maxOrderBytes = 1 << 20

// Holder keeps a target's role. It is not safe for concurrent use.
type Holder struct {
	// ChecksFencing makes the target refuse orders with an old fencing number, an unexpected group or
	// a passed not-after time. Other targets apply whatever arrives.
	ChecksFencing bool

	role    ruddertarget.Role
	highest int64
}

// Role is the current role.
func (h *Holder) Role() ruddertarget.Role { return h.role }

// Highest is the highest fencing number that an order was taken with.
func (h *Holder) Highest() int64 { return h.highest }

// Reset forgets everything, as a restarted process does.
func (h *Holder) Reset() { h.role, h.highest = ruddertarget.Role{}, 0 }

// Apply takes an order and reports whether it changed the role. It returns ErrStaleFencing or
// ErrRefused and keeps its state when it checks fencing and the order does not fit. An order that
// asks for the present role is taken whatever group it expects, so that it can be repeated. A preload
// does not depend on the expected group.
func (h *Holder) Apply(order ruddertarget.Order, now time.Time) (changed bool, err error) {
	wanted := h.role
	switch order.Kind {
	case ruddertarget.OrderAssign:
		wanted = order.Role
	case ruddertarget.OrderRelease:
		wanted = ruddertarget.Role{}
	case ruddertarget.OrderPreload:
	default:
		return false, errors.Wrapf(ruddertarget.ErrRefused, "unknown kind %q", order.Kind)
	}
	same := reflect.DeepEqual(wanted, h.role)
	if err := h.check(order, now, same); err != nil {
		return false, err
	}
	h.highest = max(h.highest, order.Fencing)
	h.role = wanted
	return !same, nil
}

func (h *Holder) check(order ruddertarget.Order, now time.Time, same bool) error {
	if !h.ChecksFencing {
		return nil
	}
	if order.Fencing < h.highest {
		return errors.Wrapf(ruddertarget.ErrStaleFencing, "%d is below %d", order.Fencing, h.highest)
	}
	if !order.NotAfter.IsZero() && now.After(order.NotAfter) {
		return errors.Wrapf(ruddertarget.ErrRefused, "not-after time has passed")
	}
	if !same && order.ExpectGroup != h.role.Group {
		return errors.Wrapf(ruddertarget.ErrRefused, "in group %q", h.role.Group)
	}
	return nil
}

// ServeOrders answers POST /control/orders. The function apply carries the order out and status
// describes the target afterwards.
func ServeOrders(apply func(ruddertarget.Order) error, status func() ruddertarget.Status) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var order ruddertarget.Order
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrderBytes)).Decode(&order); err != nil {
			WriteJSON(w, http.StatusBadRequest, ruddertarget.ErrorBody{Code: ruddertarget.CodeRefused, Message: err.Error()})
			return
		}
		err := apply(order)
		after := status()
		refusal := ruddertarget.ErrorBody{Status: &after}
		switch {
		case err == nil:
			WriteJSON(w, http.StatusOK, after)
			return
		case errors.Is(err, ruddertarget.ErrStaleFencing):
			refusal.Code = ruddertarget.CodeStaleFencing
		default:
			refusal.Code = ruddertarget.CodeRefused
		}
		refusal.Message = err.Error()
		WriteJSON(w, http.StatusConflict, refusal)
	}
}

// WriteJSON answers with a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the caller has gone.
	_ = json.NewEncoder(w).Encode(body)
}

// WriteNotRun refuses work that was not started, in the OpenAI error format.
func WriteNotRun(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set(ruddertarget.HeaderNotRun, "true")
	WriteJSON(w, status, map[string]any{
		"error": map[string]string{"code": code, "type": "not_run", "message": message},
	})
}
