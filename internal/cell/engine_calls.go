package cell

import (
	"context"
	"errors"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
	"github.com/ragwortdoor/ragwortdoor/internal/retry"
	"github.com/ragwortdoor/ragwortdoor/internal/scheduler"
)

// sendOrder sends an order and passes the result to the cell.
func (s *Scheduler) sendOrder(service string, term LeaseTerm, call scheduler.OrderCall) {
	retry.Sleep(s.ctx, call.After)
	result := fleet.OrderConflict
	var err error
	began := time.Now()
	if s.opts.MayOrder() && s.fence.Load() == term.Fence {
		ctx, cancel := context.WithTimeout(s.ctx, engineTimeout)
		result, err = s.opts.Engines.Order(ctx, call.Upstream, call.Order)
		cancel()
	} else {
		err = errors.New("order held back: the lease was not renewed in time")
	}
	s.opts.Log.Ordered(service, call, result, time.Since(began), err)
	if result == fleet.OrderFenced {
		s.opts.OnFenced()
	}
	s.post(func() {
		if cell := s.cellOf(service, term); cell != nil {
			s.apply(service, cell.HandleOrderResult(time.Now(), call.Upstream.ID, call.Order, result))
		}
	})
}

func (s *Scheduler) readInventory(service string, term LeaseTerm, call scheduler.InspectCall) {
	retry.Sleep(s.ctx, call.After)
	inventory, err := s.inspect(call.Upstream)
	s.opts.Log.Inspected(call.Upstream.ID, inventory, err)
	s.post(func() {
		if cell := s.cellOf(service, term); cell != nil {
			s.apply(service, cell.HandleInventory(time.Now(), call.Upstream.ID, inventory, err))
		}
	})
}

// inspect reads an inventory once fewer than maxInspections are being read.
func (s *Scheduler) inspect(up *fleet.Upstream) (fleet.Inventory, error) {
	select {
	case s.inspections <- struct{}{}:
	case <-s.ctx.Done():
		return fleet.Inventory{}, s.ctx.Err()
	}
	defer func() { <-s.inspections }()
	ctx, cancel := context.WithTimeout(s.ctx, engineTimeout)
	defer cancel()
	return s.opts.Engines.Inspect(ctx, up)
}
