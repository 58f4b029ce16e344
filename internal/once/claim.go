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
	// ClaimOpen is a claim without an outcome.
	ClaimOpen ClaimState = "Open"
	// ClaimDone is a claim with the result of its call.
	ClaimDone ClaimState = "Done"
	// ClaimNotRun is a claim whose nonce was never sent to the service and is
	// fenced or refused at the agent.
	ClaimNotRun ClaimState = "NotRun"
	// ClaimUnknown is a claim whose effect will never be known. It is final.
	ClaimUnknown ClaimState = "Unknown"

	// ClaimPrefix starts the row keys of all claims.
	ClaimPrefix = "Claim/"

	// SettledRetention is how long a settled claim answers repeated calls.
	SettledRetention = 24 * time.Hour
	// UnsettledRetention is longer, because forgetting a key whose effect is
	// not known lets a late retry run.
	UnsettledRetention = 7 * 24 * time.Hour

	// MaxKeyBytes bounds an idempotency key.
	MaxKeyBytes = 256
	// MaxStoredBytes bounds the body of a result in a claim row. Rows are
	// written in batches, and a batch has to stay small enough for the table.
	MaxStoredBytes = 64 << 10
)

type (
	// ClaimState is the state of a claim row.
	ClaimState string

	// Claim is the row of one idempotency key.
	Claim struct {
		// Nonce names the attempt that owns the key; never reused.
		Nonce string
		// ID names the call at the agent.
		ID string
		// Digest covers method, path and body.
		Digest string
		// Entry is the instance that wrote the claim.
		Entry string
		// Target and Incarnation name the agent that the call is meant for.
		Target      string
		Incarnation string
		State       ClaimState
		// Created is the time of the first write by the clock of the entry.
		Created time.Time
		// Status, Header and Body are the result of a Done claim.
		Status int                 `json:",omitempty"`
		Header map[string][]string `json:",omitempty"`
		Body   []byte              `json:",omitempty"`
		// BodyOmitted says that the result was too large to be kept.
		BodyOmitted bool `json:",omitempty"`
	}
)

// ClaimKey returns the row key of an account's idempotency key.
func ClaimKey(account, key string) string {
	return ClaimPrefix + url.PathEscape(account) + "/" + url.PathEscape(key)
}

// Digest returns the digest of a call, by which a second attempt is compared.
func Digest(method, path string, body []byte) string {
	h := sha256.New()
	for _, part := range []string{method, "\x00", path, "\x00"} {
		_, _ = io.WriteString(h, part)
	}
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// EncodeClaim returns the row value of a claim.
func EncodeClaim(c Claim) ([]byte, error) {
	b, err := json.Marshal(c)
	if err != nil {
		return nil, fault.New(fault.Internal, "cannot encode claim").WithCause(err)
	}
	return b, nil
}

// DecodeClaim returns the claim in a row value.
func DecodeClaim(b []byte) (Claim, error) {
	var c Claim
	if err := json.Unmarshal(b, &c); err != nil {
		// The row exists, so an earlier attempt may have run.
		return c, fault.New(fault.Malformed, "claim row does not decode").WithOutcome(fault.Unknown).WithCause(err)
	}
	return c, nil
}

// WithOutcome returns the claim with what the agent answered. Running leaves
// it open.
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

// Outlived reports whether the claim may be deleted.
func (c Claim) Outlived(now time.Time) bool {
	keep := UnsettledRetention
	if c.State == ClaimDone || c.State == ClaimNotRun {
		keep = SettledRetention
	}
	return now.Sub(c.Created) > keep
}
