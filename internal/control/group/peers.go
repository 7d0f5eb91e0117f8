package group

import (
	"context"
	"sync"
	"time"

	"ebonyrill.dev/ebonyrill/internal/control/raft"
	"ebonyrill.dev/ebonyrill/internal/shared/oper"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// Bounds of sending to peers.
const (
	peerQueueLength  = 512
	peerBatchLength  = 64
	forwardTimeout   = 150 * time.Millisecond
	deliverTimeout   = 150 * time.Millisecond
	snapshotTimeout  = 20 * time.Second
	deliveriesAtOnce = 2
)

// batch is the body of a delivery between control hosts.
type batch struct {
	Messages []raft.Message `cbor:"1,keyasint"`
}

// peers sends messages to the other control hosts; what cannot be sent in time is dropped, as the core repeats itself.
type peers struct {
	client *wire.Client
	direct *datagrams
	mutex  sync.Mutex
	queues map[string]chan raft.Message
	later  func(func())
	ctx    context.Context
	cancel context.CancelFunc
}

func newPeers(client *wire.Client) *peers {
	p := &peers{client: client, queues: map[string]chan raft.Message{}}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

func (p *peers) stop() {
	p.cancel()
	if p.direct != nil {
		_ = p.direct.conn.Close()
	}
}

func (p *peers) send(members raft.Members, messages []raft.Message) {
	for _, m := range messages {
		r, ok := members.Find(m.To)
		if !ok {
			continue
		}
		if m.Kind == raft.MessageSnapshot {
			go p.deliver(r.Address, snapshotTimeout, []raft.Message{m})
			continue
		}
		select {
		case p.queue(r.Address) <- m:
		default:
		}
	}
}

// queue returns the queue of an address and starts its senders; two of them, so that one silent connection does not
// hold up the other.
func (p *peers) queue(address string) chan raft.Message {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	q := p.queues[address]
	if q == nil {
		q = make(chan raft.Message, peerQueueLength)
		p.queues[address] = q
		for range deliveriesAtOnce {
			go p.drain(address, q)
		}
	}
	return q
}

func (p *peers) drain(address string, q chan raft.Message) {
	for {
		select {
		case <-p.ctx.Done():
			return
		case m := <-q:
			p.deliver(address, deliverTimeout, gather(m, q))
		}
	}
}

// gather takes what waits in the queue behind a message.
func gather(first raft.Message, q chan raft.Message) []raft.Message {
	messages := []raft.Message{first}
	for len(messages) < peerBatchLength {
		select {
		case m := <-q:
			messages = append(messages, m)
		default:
			return messages
		}
	}
	return messages
}

func (p *peers) deliver(address string, timeout time.Duration, messages []raft.Message) {
	if p.direct.send(address, messages) {
		return
	}
	ctx, cancel := context.WithTimeout(p.ctx, timeout)
	defer cancel()
	_, _ = wire.Call[batch, oper.Empty](ctx, p.client, address, oper.Deliver, &batch{Messages: messages})
}

// forward makes a call to the leader; done runs in the loop of the host.
func (p *peers) forward(address string, b *table.RenewalBatch, done func(*table.RenewalBatchResponse, error)) {
	go func() {
		ctx, cancel := context.WithTimeout(p.ctx, forwardTimeout)
		defer cancel()
		answer, err := wire.Call[table.RenewalBatch, table.RenewalBatchResponse](ctx, p.client, address, oper.RenewMany, b)
		p.later(func() { done(answer, err) })
	}()
}
