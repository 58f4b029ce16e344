package httpc

import (
	"bufio"
	"bytes"
	"net/http"
	"net/textproto"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
)

// FuzzHead checks that what is said of a head does not depend on how it arrives, and that
// net/http takes each line of an accepted head for a field of its own.
func FuzzHead(f *testing.F) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		f.Fatalf("no responses to begin with: %v", err)
	}
	for _, file := range files {
		archive, err := txtar.ParseFile(file)
		if err != nil {
			f.Fatal(err)
		}
		for _, c := range archive.Files {
			response, err := strconv.Unquote(`"` + strings.TrimSpace(string(c.Data)) + `"`)
			if err != nil {
				f.Fatal(err)
			}
			f.Add([]byte(response))
		}
	}
	f.Fuzz(func(t *testing.T, response []byte) {
		whole, pieces := &headScanner{}, &headScanner{}
		err := whole.scan(response)
		var failure error
		for i := range response {
			if failure = pieces.scan(response[i : i+1]); failure != nil {
				break
			}
		}
		if (err == nil) != (failure == nil) || *whole != *pieces {
			t.Fatalf("at once: %v, %+v; byte by byte: %v, %+v", err, whole, failure, pieces)
		}
		parser := textproto.NewReader(bufio.NewReader(bytes.NewReader(response)))
		if _, malformed := parser.ReadLine(); malformed != nil || err != nil {
			return
		}
		header, malformed := parser.ReadMIMEHeader()
		if malformed != nil || CheckNames(http.Header(header)) != nil {
			return
		}
		fields := 0
		for _, values := range header {
			fields += len(values)
		}
		if lines := fieldLines(response); lines != fields {
			t.Fatalf("%d lines, read as %d fields: %v", lines, fields, header)
		}
	})
}

// fieldLines returns the number of lines between the status line and the empty one.
func fieldLines(response []byte) int {
	n := 0
	for line := range bytes.Lines(response[bytes.IndexByte(response, '\n')+1:]) {
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			break
		}
		n++
	}
	return n
}
