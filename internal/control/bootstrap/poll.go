package bootstrap

import (
	"context"

	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/process/pause"
)

// poll asks hosts the same query again and again. Each host is asked on its own, so that one that does not answer delays no other.
type poll struct {
	discovery *Discovery
	query     *message.FounderQuery
	asked     map[string]bool
	answers   chan *message.Founders
}

func (d *Discovery) newPoll(q *message.FounderQuery) *poll {
	return &poll{discovery: d, query: q, asked: map[string]bool{}, answers: make(chan *message.Founders)}
}

// start begins to ask the known hosts that are not asked yet, until ctx ends.
func (p *poll) start(ctx context.Context) {
	for _, address := range p.discovery.targets() {
		if !p.asked[address] {
			p.asked[address] = true
			go p.ask(ctx, address)
		}
	}
}

func (p *poll) ask(ctx context.Context, address string) {
	for {
		if answer := p.askOnce(ctx, address); answer != nil {
			select {
			case p.answers <- answer:
			case <-ctx.Done():
			}
		}
		if !pause.For(ctx, queryInterval) {
			return
		}
	}
}

func (p *poll) askOnce(ctx context.Context, address string) *message.Founders {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	return p.discovery.query(ctx, address, p.query)
}
