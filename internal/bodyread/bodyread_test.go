package bodyread

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// TestMemoryIsReservedBeforeItIsTaken guards against bodies that take more memory than was
// reserved, and against the loss of bytes between the steps.
func TestMemoryIsReservedBeforeItIsTaken(t *testing.T) {
	for _, size := range []int{0, 1, firstStep, firstStep + 1, 1 << 20} {
		for _, length := range []int64{-1, int64(size)} {
			is := is.New(t)
			reserved := int64(0)
			text := strings.Repeat("x", size)
			body, err := Read(iotest.HalfReader(strings.NewReader(text)), length, 1<<20, func(n int64) error { reserved += n; return nil })
			is.NoErr(err)
			is.Equal(string(body), text)
			is.True(int64(cap(body)) <= reserved && reserved <= max(int64(2*size+1), firstStep+1))
		}
	}
	is := is.New(t)
	full := errors.New("full")
	_, err := Read(strings.NewReader("body"), 4, 10, func(int64) error { return full })
	is.Equal(err, full)
	_, err = Read(strings.NewReader("longer"), -1, 5, func(int64) error { return nil })
	is.Equal(err, ErrTooLong)
}

// TestCutOffBodiesAreRecognised guards against a half JSON document that passes for whole, and
// against the refusal of whole documents and of other formats.
func TestCutOffBodiesAreRecognised(t *testing.T) {
	is := is.New(t)
	for kind, cutOff := range map[string]bool{"application/json; charset=utf-8": true, "application/problem+json": true, "text/plain": false, "": false} {
		h := http.Header{"Content-Type": {kind}}
		is.Equal(CutOff(h, []byte(`{"a":[1,`)), cutOff)
		is.True(!CutOff(h, []byte(`{"a":[1,2]}`)))
	}
}
