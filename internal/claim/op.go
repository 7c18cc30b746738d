package claim

import (
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// op is one conditional write of a claim row. All but done is guarded by the
// writer's lock.
type op struct {
	key   string
	check int64 // version that the row must have; 0 means absent
	row   *apiv1.ClaimRow
	value []byte // row, encoded

	// unsettled is true when an earlier write may have taken effect.
	unsettled bool
	tries     int
	// alone is true after a batch with this op was refused as invalid.
	alone     bool
	finished  bool
	abandoned bool
	done      chan opResult // receives one value
	// ended is called once with the writer's lock held; nil does nothing.
	ended func()
}

// opResult is how an op ended.
type opResult struct {
	// version is the table version of the written or the existing row.
	version int64
	// existing is the row of another request that the op found.
	existing *apiv1.ClaimRow
	err      error
}

func newOp(key string, check int64, row *apiv1.ClaimRow) *op {
	return &op{key: key, check: check, row: row, value: encode(row), done: make(chan opResult, 1)}
}

// encode encodes a row. A row whose headers are not UTF-8 is kept without the
// answer.
func encode(row *apiv1.ClaimRow) []byte {
	value, err := proto.Marshal(row)
	if err == nil {
		return value
	}
	bare := proto.CloneOf(row)
	bare.Headers = nil
	bare.Body = nil
	bare.BodyOmitted = true
	value, _ = proto.Marshal(bare) // the other strings are ASCII
	return value
}

// final reports whether the op stores an outcome.
func (o *op) final() bool { return o.row.GetState() != apiv1.ClaimState_CLAIM_STATE_CLAIMED }

func (o *op) deliver(res opResult) {
	o.finished = true
	o.done <- res
	if o.ended != nil {
		o.ended()
	}
}

// settlement is what follows from a failed check.
type settlement int

const (
	// settleWritten means that the op's row is in the table.
	settleWritten settlement = iota + 1
	// settleAgain means that the op is to be written with a new check.
	settleAgain
	// settleExisting means that the row belongs to another request.
	settleExisting
)

// settle decides how an op goes on after its check failed, from the present
// state of the row. With settleAgain it changes the op's check.
func settle(o *op, present external.Row) (settlement, *apiv1.ClaimRow) {
	if present.Version == 0 {
		o.check = 0
		return settleAgain, nil
	}
	row := &apiv1.ClaimRow{}
	if proto.Unmarshal(present.Value, row) != nil {
		return settleExisting, unreadable()
	}
	mine := row.GetRequestId() == o.row.GetRequestId() && row.GetRouter() == o.row.GetRouter()
	switch {
	case !mine:
		return settleExisting, row
	case row.GetState() == o.row.GetState():
		return settleWritten, nil
	case o.final() && row.GetState() == apiv1.ClaimState_CLAIM_STATE_CLAIMED:
		o.check = present.Version
		return settleAgain, nil
	default:
		return settleExisting, row
	}
}

// unreadable stands for a row of another version of the program: a call may
// have run under it.
func unreadable() *apiv1.ClaimRow {
	return &apiv1.ClaimRow{State: apiv1.ClaimState_CLAIM_STATE_UNKNOWN}
}
