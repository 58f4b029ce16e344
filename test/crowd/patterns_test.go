//go:build crowd

package crowd

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// fewFiles is less than the members of patterns that exhaust the descriptors,
	// and enough for all others. manyFiles is for patterns that need more members to
	// show what each of them costs.
	fewFiles  = 256
	manyFiles = 1024
	// crowdFiles is the number of members that exceeds fewFiles, also if only those
	// with a key stay connected.
	crowdFiles = 640
	// pieceBytes is the size of small pieces and chunks of a body. Smaller ones
	// would mostly measure the system calls of the test.
	pieceBytes = 1 << 10
	// largePieceBytes is the size in which bodies in one piece are written.
	largePieceBytes = 1 << 20
	// excess times the largest legal body is sent of a body over the limit.
	excess = 4
	// dripPause is the time between two bytes of a slow member.
	dripPause = 100 * time.Millisecond
	// requestsAhead is the number of small requests that are sent ahead on one
	// connection, headsAhead that of requests with many short fields. More small
	// ones would use up the ports to the targets.
	requestsAhead = 300
	headsAhead    = 40
	// slowReadBytes is what a slow reader reads after each dripPause.
	slowReadBytes = 1 << 10
)

var (
	largePiece = strings.Repeat("x", largePieceBytes)
	smallPiece = largePiece[:pieceBytes]
	smallChunk = fmt.Sprintf("%x\r\n%s\r\n", pieceBytes, smallPiece)
	largeChunk = fmt.Sprintf("%x\r\n%s\r\n", largePieceBytes, largePiece)
)

// sendBody sends n bytes in pieces. It returns false if the connection was closed.
func (m *member) sendBody(n int, piece string) bool {
	for n > 0 {
		size := min(n, len(piece))
		if !m.send(piece[:size]) {
			return false
		}
		n -= size
	}
	return true
}

// missing is the number of bytes that a member keeps back of its body. Every eighth,
// which has a key, sends all of it.
func (m *member) missing() int {
	if m.n%8 == 6 {
		return 0
	}
	return 1
}

// legalBody sends a body of legal size in pieces, mostly without its last byte.
func legalBody(piece string) func(*member) {
	return func(m *member) {
		size := m.system.bodyBytes
		head := m.head(http.MethodPost, m.door.path, fmt.Sprintf("Content-Length: %d\r\n", size))
		if m.send(head) && m.sendBody(size-m.missing(), piece) {
			m.hold()
		}
	}
}

// chunkedBody sends a body of legal size in chunks, mostly without the last.
func chunkedBody(m *member) {
	if !m.send(m.head(http.MethodPost, m.door.path, "Transfer-Encoding: chunked\r\n")) {
		return
	}
	for range m.system.bodyBytes / pieceBytes {
		if !m.send(smallChunk) {
			return
		}
	}
	if m.missing() > 0 || m.send("0\r\n\r\n") {
		m.hold()
	}
}

// announcedExcess announces a body far over the limit and sends a part of it.
func announcedExcess(m *member) {
	head := m.head(http.MethodPost, m.door.path, fmt.Sprintf("Content-Length: %d\r\n", 1<<30))
	if m.send(head) && m.sendBody(excess*m.system.bodyBytes, largePiece) {
		m.hold()
	}
}

// endlessChunks sends chunks far beyond the limit.
func endlessChunks(m *member) {
	if !m.send(m.head(http.MethodPost, m.door.path, "Transfer-Encoding: chunked\r\n")) {
		return
	}
	for range excess * m.system.bodyBytes / largePieceBytes {
		if !m.send(largeChunk) {
			return
		}
	}
	m.hold()
}

// shortFields returns header lines of at most n bytes, each as short as possible.
func shortFields(n int) string {
	var b strings.Builder
	for i := 0; ; i++ {
		line := fmt.Sprintf("%03x:\r\n", i)
		if b.Len()+len(line) > n {
			return b.String()
		}
		b.WriteString(line)
	}
}

// manyFields sends a head of very many short fields and holds it open with a body
// that does not end.
func manyFields(size func(*system) int) func(*member) {
	return func(m *member) {
		const rest = 300 // the other lines
		head := m.head(http.MethodPost, m.door.path, shortFields(size(m.system)-rest)+"Content-Length: 2\r\n")
		if m.send(head + "x") {
			m.hold()
		}
	}
}

func legalHead(s *system) int    { return s.headBytes }
func acceptedHead(s *system) int { return s.listenerHeadBytes }

// sendAhead sends many requests without reading a response: small ones, ones with
// many short fields, and ones for large responses.
func sendAhead(m *member) {
	count, request := requestsAhead, m.head(http.MethodGet, m.door.path, "")
	switch {
	case m.n%4 == 1 || m.n%4 == 2:
		count, request = headsAhead, m.head(http.MethodGet, m.door.path, shortFields(m.system.headBytes-300))
	case m.n%8 == 0 && m.door.large != "":
		request = m.largeRequest()
	}
	for range count {
		if !m.send(request) {
			return
		}
	}
	m.stay()
}

// drip sends a text byte by byte, slowly.
func (m *member) drip(text string) {
	m.settle()
	for i := range len(text) {
		if !m.send(text[i:i+1]) || !m.wait(dripPause) {
			return
		}
	}
	m.hold()
}

// slowHead sends a head byte by byte, or stops in its middle.
func slowHead(m *member) {
	head := m.head(http.MethodGet, m.door.path, "")
	if m.n/2%2 == 0 {
		m.drip(head)
	} else if m.send(head[:len(head)/2]) {
		m.hold()
	}
}

// slowBody sends a body byte by byte, or stops in its middle.
func slowBody(m *member) {
	head := m.head(http.MethodPost, m.door.path, fmt.Sprintf("Content-Length: %d\r\n", 2*pieceBytes))
	switch {
	case !m.send(head):
	case m.n/2%2 == 0:
		m.drip(smallPiece)
	case m.send(smallPiece):
		m.hold()
	}
}

// largeRequest returns a request for the large response of the door.
func (m *member) largeRequest() string {
	if m.door.largeBody == "" {
		return m.head(http.MethodGet, m.door.large, "")
	}
	return m.head(http.MethodPost, m.door.large, fmt.Sprintf("Content-Length: %d\r\n", len(m.door.largeBody))) + m.door.largeBody
}

// receive sends a text and reports whether a successful response begins.
func (m *member) receive(request string) bool {
	const answered = "HTTP/1.1 200"
	start := make([]byte, len(answered))
	if !m.send(request) {
		return false
	}
	_, err := io.ReadFull(m.conn, start)
	return err == nil && string(start) == answered
}

// slowRead requests a large response once another member's has begun, and reads it
// slowly or not at all. So responses wait for their callers only, not for the targets.
func slowRead(m *member) {
	m.turn.Lock()
	answered := m.receive(m.largeRequest())
	m.turn.Unlock()
	if answered {
		m.readSlowly()
	}
}

// slowReadAtOnce does the same at the same time as the other members.
func slowReadAtOnce(m *member) {
	if m.receive(m.largeRequest()) {
		m.readSlowly()
	}
}

func (m *member) readSlowly() {
	if m.n/2%2 == 0 {
		m.stay()
		return
	}
	m.settle()
	for m.wait(dripPause) {
		if _, err := io.CopyN(io.Discard, m.conn, slowReadBytes); err != nil {
			return
		}
	}
}

// idle opens a connection and sends nothing, or nothing after one request.
func idle(m *member) {
	if m.n%2 == 0 || m.send(m.head(http.MethodGet, m.door.path, "")) {
		m.hold()
	}
}
