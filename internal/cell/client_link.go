package cell

import (
	"context"
	"errors"
	"sync"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/transport"
)

// sendQueueSize bounds the messages that wait for a slow peer, per stream.
const sendQueueSize = 4096

var errQueueFull = errors.New("send queue is full, the peer does not read: its host is overloaded or unreachable")

// remoteLink sends calls to the scheduler of another router. send never blocks: it
// fails if the peer does not read.
type remoteLink struct {
	session *transport.Session
	stream  *transport.Stream
	out     chan *apiv1.SchedulerCall
	done    chan struct{}
	once    sync.Once
}

func (l *remoteLink) send(call *apiv1.SchedulerCall) error {
	select {
	case l.out <- call:
		return nil
	default:
		return errQueueFull
	}
}

func (l *remoteLink) write() {
	for {
		select {
		case call := <-l.out:
			if l.stream.Send(call) != nil {
				l.close() // Client.receive sees the end and reports it
				return
			}
		case <-l.done:
			return
		}
	}
}

func (l *remoteLink) close() {
	l.once.Do(func() {
		close(l.done)
		_ = l.session.Close() // nothing is left to send
	})
}

// localLink passes calls to the scheduler of this process.
type localLink struct{ session *session }

func (l *localLink) send(call *apiv1.SchedulerCall) error {
	l.session.post(call)
	return nil
}

func (l *localLink) close() { l.session.detach() }

// WaitLinked waits until a scheduler is connected.
func (c *Client) WaitLinked(ctx context.Context) error {
	for {
		c.mu.Lock()
		linked := c.connected
		linkUp := c.linkUp
		c.mu.Unlock()
		if linked {
			return nil
		}
		select {
		case <-linkUp:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
