package entry

import (
	"context"
	"time"

	"shallotcourse/internal/link"
	"shallotcourse/internal/wire"
)

type admission struct{ entry *Entry }

func newAdmission(e *Entry) *admission { return &admission{entry: e} }

func (a *admission) enter(context.Context, string, time.Duration) (func(), error) {
	return func() {}, nil
}
func (a *admission) retryAfter() time.Duration                 { return time.Second }
func (a *admission) mayRetry() bool                            { return true }
func (a *admission) succeeded()                                {}
func (a *admission) run(ctx context.Context)                   { <-ctx.Done() }
func (a *admission) quotaRequest(link.Peer, wire.QuotaRequest) {}
func (a *admission) quotaGrant(wire.QuotaGrant)                {}
