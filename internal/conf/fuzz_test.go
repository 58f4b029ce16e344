package conf

import "testing"

// FuzzParseGateway guards against settings files that make a process panic
// instead of naming the problem.
func FuzzParseGateway(f *testing.F) {
	f.Add([]byte("Instance = \"g\"\nStallLimit = \"2s\"\n"))
	f.Add([]byte("StallLimit = \"-9999999999h\"\n[Links]\nHeartbeat = 5\n"))
	f.Fuzz(func(_ *testing.T, text []byte) {
		_, _ = ParseGateway(text)
		_, _ = ParseEntry(text)
		_, _ = ParseAgent(text)
	})
}
