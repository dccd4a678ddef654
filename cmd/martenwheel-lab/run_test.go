package main

import (
	"testing"

	"martenwheel.dev/pkg/lab"
)

func TestVerdict(t *testing.T) {
	cases := []struct {
		name   string
		result lab.Result
		want   int
	}{
		{"clean", lab.Result{Requests: lab.Requests{Sent: 2, Served: 1, Refused: 1}}, exitDone},
		{"broken off", lab.Result{Partial: true}, exitInterrupted},
		{"lost", lab.Result{Requests: lab.Requests{Lost: 1}}, exitViolations},
		{"answered twice", lab.Result{Requests: lab.Requests{Duplicated: 1}}, exitViolations},
		{"another's answer", lab.Result{Requests: lab.Requests{Mixed: 1}}, exitViolations},
		{"broken off after a violation", lab.Result{Partial: true, Violations: lab.Violations{Memory: 1}}, exitViolations},
	}
	for _, test := range cases {
		if got := verdict(&test.result); got != test.want {
			t.Errorf("%s: exit code %d, want %d", test.name, got, test.want)
		}
	}
}
