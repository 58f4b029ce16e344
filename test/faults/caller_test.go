//go:build faults

package faults

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"shallotcourse/internal/fakes/fengn"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/token"
)

type (
	request struct {
		prompt string
		tokens int
		seed   uint64
		// key is the caller's key; empty for the default account.
		key string
	}

	// answer is the response to a completion as its caller received it.
	answer struct {
		request    request
		status     int
		outcome    string
		retryAfter string
		text       strings.Builder
		// ended says that the terminal event arrived.
		ended bool
		// failure is the error event of the stream, or the body of an error
		// response.
		failure    string
		err        error
		tokenTimes []time.Time
		started    time.Time
		end        time.Time
	}

	callReply struct {
		status  int
		outcome string
		body    string
		err     error
	}
)

// reference returns the correct text of the answer, computed without the router.
func (r request) reference(endless bool) string {
	prompt := token.Encode(r.prompt)
	values := fengn.Reference(versionName, "", modelLayers, prompt, r.tokens, r.seed)
	if endless {
		values = fengn.ReferenceEndless(versionName, "", modelLayers, prompt, r.tokens, r.seed)
	}
	return token.Decode(values)
}

// sendCompletion sends one streaming completion and reads it to its end.
func (c *cluster) sendCompletion(entry int, r request) *answer {
	a := &answer{request: r, started: time.Now()}
	defer func() { a.end = time.Now() }()
	body, err := json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		Seed      uint64 `json:"seed"`
		Stream    bool   `json:"stream"`
	}{modelName, r.prompt, r.tokens, r.seed, true})
	if err != nil {
		a.err = err
		return a
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+c.entries[entry].listen+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Header.Set("Authorization", "Bearer "+cmp.Or(r.key, callerKey))
	resp, err := c.http.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status, a.outcome, a.retryAfter = resp.StatusCode, resp.Header.Get(fault.Header), resp.Header.Get("Retry-After")
	if resp.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(resp.Body)
		a.failure = string(b)
		return a
	}
	a.read(resp.Body)
	return a
}

func (a *answer) read(r io.Reader) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.ended = true
			continue
		}
		var event struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
			Error json.RawMessage `json:"error"`
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			a.err = err
			return
		}
		if len(event.Error) > 0 && string(event.Error) != "null" {
			a.failure = string(event.Error)
		}
		for _, choice := range event.Choices {
			if choice.Text != "" {
				a.text.WriteString(choice.Text)
				a.tokenTimes = append(a.tokenTimes, time.Now())
			}
		}
	}
	a.err = lines.Err()
}

// matchesReference reports whether the answer is complete and equals the
// reference.
func (a *answer) matchesReference(endless bool) bool {
	return a.err == nil && a.ended && a.failure == "" && a.text.String() == a.request.reference(endless)
}

// wrong reports whether the text is not a prefix of the reference, or is
// incomplete although the answer ended without an error.
func (a *answer) wrong(endless bool) bool {
	want := a.request.reference(endless)
	if !strings.HasPrefix(want, a.text.String()) {
		return true
	}
	return a.ended && a.failure == "" && a.text.String() != want
}

// problem returns an error that describes an answer which did not end properly,
// or nil if it did.
func (a *answer) problem() error {
	if a.err == nil && a.ended && a.failure == "" {
		return nil
	}
	return fmt.Errorf("status %d, outcome %q, ended %v, failed %q, %d tokens, error %v", a.status, a.outcome, a.ended, a.failure, len(a.tokenTimes), a.err)
}

// longestGap is the longest time between two tokens.
func (a *answer) longestGap() time.Duration {
	var longest time.Duration
	for i := 1; i < len(a.tokenTimes); i++ {
		longest = max(longest, a.tokenTimes[i].Sub(a.tokenTimes[i-1]))
	}
	return longest
}

// sendCall sends one call to the plain service. Key is the idempotency key, and
// callKey the name under which the service counts the effects of the call.
func (c *cluster) sendCall(entry int, method, path, key, callKey string) callReply {
	req, err := http.NewRequest(method, "http://"+c.entries[entry].listen+"/services/"+serviceName+path, strings.NewReader("{}"))
	if err != nil {
		return callReply{err: err}
	}
	if method == http.MethodGet {
		req.Body = nil
		req.ContentLength = 0
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	if callKey != "" {
		req.Header.Set("Call-Key", callKey)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return callReply{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return callReply{status: resp.StatusCode, outcome: resp.Header.Get(fault.Header), body: string(b), err: err}
}

// quantile returns the value below which the share q of the samples lies.
func quantile(samples []time.Duration, q float64) time.Duration {
	if len(samples) == 0 {
		return 0
	}
	s := slices.Clone(samples)
	slices.Sort(s)
	return s[min(len(s)-1, int(q*float64(len(s))))]
}
