package cmds

import (
	"net/http"
	"time"

	"golang.org/x/sys/unix"

	"shallotcourse/internal/budget"
	"shallotcourse/internal/timer"
)

// boundWrites gives callers the idle time to take each response, also on paths whose
// handlers set no deadline: one that an earlier response has set would stay in force on
// the connection. It lets the handlers see how much the caller has not confirmed.
func boundWrites(next http.Handler, clock timer.Service, idle time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// A writer that does not support deadlines belongs to no connection.
		_ = http.NewResponseController(w).SetWriteDeadline(clock.Now().Add(idle))
		if c, ok := r.Context().Value(connKey{}).(*callerConn); ok {
			r = r.WithContext(budget.WithUnsent(r.Context(), c.unconfirmed))
		}
		next.ServeHTTP(w, r)
	})
}

// unconfirmed returns the number of bytes that have been written and that the peer has
// not confirmed.
func (c *callerConn) unconfirmed() int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
	return n
}
