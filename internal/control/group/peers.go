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

// Limits and timeouts of sending to peers.
const (
	peerQueueLength = 512
	peerBatchLength = 64
	forwardTimeout  = 150 * time.Millisecond
	deliverTimeout  = 150 * time.Millisecond
	snapshotTimeout = 20 * time.Second
	sendersPerPeer  = 2
)

// batch is the body of a Deliver call or datagram between control hosts.
type batch struct {
	Messages []raft.Message `cbor:"1,keyasint"`
}

// peers sends messages to other control hosts. Messages that cannot be sent in time are dropped, as the core sends them
// again.
type peers struct {
	client    *wire.Client
	datagrams *datagrams
	mutex     sync.Mutex
	queues    map[string]chan raft.Message
	enqueue   func(func())
	ctx       context.Context
	cancel    context.CancelFunc
}

func newPeers(client *wire.Client) *peers {
	p := &peers{client: client, queues: map[string]chan raft.Message{}}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

func (p *peers) stop() {
	p.cancel()
	if p.datagrams != nil {
		_ = p.datagrams.conn.Close()
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

// queue returns the send queue of an address, and creates it on first use together with sendersPerPeer goroutines that empty
// it. There is more than one so that a stalled call does not block the queue.
func (p *peers) queue(address string) chan raft.Message {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	q := p.queues[address]
	if q == nil {
		q = make(chan raft.Message, peerQueueLength)
		p.queues[address] = q
		for range sendersPerPeer {
			go p.sendQueued(address, q)
		}
	}
	return q
}

// sendQueued delivers the messages of a queue in batches until peers is stopped.
func (p *peers) sendQueued(address string, q chan raft.Message) {
	for {
		select {
		case <-p.ctx.Done():
			return
		case m := <-q:
			p.deliver(address, deliverTimeout, takeBatch(m, q))
		}
	}
}

// takeBatch returns a batch of the first message and those that wait in the queue, without blocking.
func takeBatch(first raft.Message, q chan raft.Message) []raft.Message {
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

// deliver sends a batch as a datagram if possible, and as a call otherwise. Errors are ignored, as the core sends again.
func (p *peers) deliver(address string, timeout time.Duration, messages []raft.Message) {
	if p.datagrams.send(address, messages) {
		return
	}
	ctx, cancel := context.WithTimeout(p.ctx, timeout)
	defer cancel()
	_, _ = wire.Call[batch, oper.Empty](ctx, p.client, address, oper.Deliver, &batch{Messages: messages})
}

// forward sends renewals to the leader; done runs in the loop of the host.
func (p *peers) forward(address string, b *table.RenewalBatch, done func(*table.RenewalBatchResponse, error)) {
	go func() {
		ctx, cancel := context.WithTimeout(p.ctx, forwardTimeout)
		defer cancel()
		answer, err := wire.Call[table.RenewalBatch, table.RenewalBatchResponse](ctx, p.client, address, oper.RenewMany, b)
		p.enqueue(func() { done(answer, err) })
	}()
}
