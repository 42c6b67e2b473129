// Package zfassert holds the assertion functions that all tests share.
package zfassert

import (
	"reflect"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

// Equal fails the test unless got is deeply equal to want.
func Equal(t testing.TB, what string, got, want any) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}

// True fails the test unless the condition holds.
func True(t testing.TB, what string, condition bool) {
	t.Helper()
	if !condition {
		t.Fatalf("%s: does not hold", what)
	}
}

// NoError fails the test if there is an error.
func NoError(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatalf("unexpected error: %+v", err)
	}
}

// ErrorIs fails the test unless err wraps target.
func ErrorIs(t testing.TB, err, target error) {
	t.Helper()
	if !errors.Is(err, target) {
		t.Fatalf("got error %v, want %v", err, target)
	}
}

// Contains fails the test unless text contains part.
func Contains(t testing.TB, text, part string) {
	t.Helper()
	if !strings.Contains(text, part) {
		t.Fatalf("%q is not in:\n%s", part, text)
	}
}

// AtMost fails the test if a measured value exceeds its bound.
func AtMost(t testing.TB, what string, got, bound float64) {
	t.Helper()
	if got > bound {
		t.Fatalf("%s: got %g, at most %g is allowed", what, got, bound)
	}
}
