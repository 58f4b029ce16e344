package once

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/url"
	"time"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/wire"
)

const (
	// ClaimOpen means that the claim has no outcome yet.
	ClaimOpen ClaimState = "Open"
	// ClaimDone means that the claim holds the result of its call.
	ClaimDone ClaimState = "Done"
	// ClaimNotRun means that the call was never sent to the service and that
	// the agent has fenced or refused its nonce.
	ClaimNotRun ClaimState = "NotRun"
	// ClaimUnknown means that it can never be known whether the call took
	// effect. This state is final.
	ClaimUnknown ClaimState = "Unknown"

	// ClaimPrefix is the prefix of the row keys of all claims.
	ClaimPrefix = "Claim/"

	// SettledRetention is how long a Done or NotRun claim is kept to answer
	// retries of the caller.
	SettledRetention = 24 * time.Hour
	// UnsettledRetention is how long an Open or Unknown claim is kept. It is
	// longer, because a retry after the claim has been deleted runs the call,
	// which may have taken effect before.
	UnsettledRetention = 7 * 24 * time.Hour

	// MaxKeyBytes is the maximum length of an idempotency key.
	MaxKeyBytes = 256
	// MaxStoredBytes is the maximum size of a response body in a claim row.
	// Rows are written in batches, which must stay below the table's limit.
	MaxStoredBytes = 64 << 10
)

type (
	// ClaimState is the state of a claim row.
	ClaimState string

	// Claim is the row of one idempotency key.
	Claim struct {
		// Nonce identifies the attempt that owns the key. It is never reused.
		Nonce string
		// ID identifies the call at the agent.
		ID string
		// Digest is the digest of method, path and body.
		Digest string
		// Entry is the instance that wrote the claim.
		Entry string
		// Target and Incarnation identify the agent that the call is sent to.
		Target      string
		Incarnation string
		State       ClaimState
		// Created is the time of the first write by the entry's clock.
		Created time.Time
		// Status, Header and Body are the result of a Done claim.
		Status int                 `json:",omitempty"`
		Header map[string][]string `json:",omitempty"`
		Body   []byte              `json:",omitempty"`
		// BodyOmitted is true if the body was larger than MaxStoredBytes and
		// was not stored.
		BodyOmitted bool `json:",omitempty"`
	}
)

// ClaimKey returns the row key for an idempotency key of a client account.
func ClaimKey(account, key string) string {
	return ClaimPrefix + url.PathEscape(account) + "/" + url.PathEscape(key)
}

// Digest returns the digest of a call. It shows whether two attempts with the
// same idempotency key are the same call.
func Digest(method, path string, body []byte) string {
	h := sha256.New()
	for _, part := range []string{method, "\x00", path, "\x00"} {
		_, _ = io.WriteString(h, part)
	}
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// EncodeClaim encodes a claim as a row value.
func EncodeClaim(c Claim) ([]byte, error) {
	b, err := json.Marshal(c)
	if err != nil {
		return nil, fault.New(fault.Internal, "cannot encode claim").WithCause(err)
	}
	return b, nil
}

// DecodeClaim decodes the claim in a row value.
func DecodeClaim(b []byte) (Claim, error) {
	var c Claim
	if err := json.Unmarshal(b, &c); err != nil {
		// The row exists, so an earlier attempt may have run.
		return c, fault.New(fault.Malformed, "cannot decode claim row").WithOutcome(fault.Unknown).WithCause(err)
	}
	return c, nil
}

// WithOutcome returns the claim with the outcome that the agent reported. The
// outcome Running leaves the claim open.
func (c Claim) WithOutcome(o wire.Outcome) Claim {
	switch o.State {
	case wire.OutcomeDone:
		c.State, c.Status, c.Header, c.Body = ClaimDone, o.Status, o.Header, o.Body
		if len(c.Body) > MaxStoredBytes {
			c.Body, c.BodyOmitted = nil, true
		}
	case wire.OutcomeNeverSeen, wire.OutcomeNotRun:
		c.State = ClaimNotRun
	case wire.OutcomeUnknown:
		c.State = ClaimUnknown
	case wire.OutcomeRunning:
	}
	return c
}

// PastRetention reports whether the claim has exceeded its retention and may be
// deleted.
func (c Claim) PastRetention(now time.Time) bool {
	keep := UnsettledRetention
	if c.State == ClaimDone || c.State == ClaimNotRun {
		keep = SettledRetention
	}
	return now.Sub(c.Created) > keep
}
