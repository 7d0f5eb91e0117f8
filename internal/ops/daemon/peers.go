package daemon

import (
	"context"
	"net/http"

	"ebonyrill.dev/ebonyrill/internal/entry/relay"
	"ebonyrill.dev/ebonyrill/internal/shared/oper"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// peerHandler returns the handler of the peer address: calls of other daemons and of operators, and requests that other entry
// hosts forward.
func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	if d.stats != nil {
		wire.Handle(mux, oper.Burn, d.burn)
	}
	if d.group != nil {
		d.group.Serve(mux)
	} else {
		d.redirectToControl(mux)
	}
	if d.relay == nil {
		return mux
	}
	hops := d.countInFlight(http.HandlerFunc(d.relay.ServeHop))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(relay.HeaderHop) != "" {
			hops.ServeHTTP(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// redirectToControl answers operators' calls, on a host without the control role, with the address of a control host.
func (d *Daemon) redirectToControl(mux *http.ServeMux) {
	redirect(d, mux, oper.Publish, oper.PublishRequest{}, table.PublishResult{})
	redirect(d, mux, oper.Current, oper.Empty{}, table.Config{})
	redirect(d, mux, oper.Status, oper.Empty{}, oper.StatusResponse{})
	redirect(d, mux, oper.Owners, oper.OwnersRequest{}, oper.OwnersResponse{})
	redirect(d, mux, oper.Drain, oper.DrainRequest{}, oper.Empty{})
	redirect(d, mux, oper.Members, oper.MembersRequest{}, oper.Empty{})
	redirect(d, mux, oper.Evacuate, oper.EvacuateRequest{}, oper.Empty{})
}

// redirect answers a procedure with an error that holds the address of a control host.
func redirect[Req, Res any](d *Daemon, mux *http.ServeMux, procedure string, _ Req, _ Res) {
	wire.Handle(mux, procedure, func(context.Context, *Req) (*Res, error) {
		return nil, &wire.ErrNoLeader{Leader: d.agent.Control()}
	})
}

// burn returns the request counts of this entry host per service, for reports on the error budget.
func (d *Daemon) burn(context.Context, *oper.Empty) (*oper.BurnResponse, error) {
	resp := &oper.BurnResponse{Host: d.settings.Name()}
	for _, s := range d.table.View().Services() {
		resp.Services = append(resp.Services, d.stats.Book().Series(s.Name(), s.GoodShare(), s.LatencyBound()))
	}
	return resp, nil
}
