package spare_test

import (
	"testing"

	"chestnutshed.example/chestnutshed/internal/policy/spare"
	"github.com/matryer/is"
)

// All nodes together stay within the stated ratio and slack, however the first
// sends are spread and whenever the extra ones are asked for.
func TestBound(t *testing.T) {
	is := is.New(t)
	terms := spare.Terms{Ratio: 0.2, Slack: 48}
	for _, nodes := range []int{1, 3, 12, 48} {
		first, extra := 0, 0
		for range nodes {
			b := spare.New(terms)
			for range 200 {
				b.First("s", nodes, 0)
				first++
				for b.Extra("s") {
					extra++
				}
			}
		}
		is.True(float64(extra) <= terms.Ratio*float64(first)+terms.Slack) // the bound of the window
	}
}

func TestUnknownService(t *testing.T) {
	is := is.New(t)
	is.True(!spare.New(spare.Terms{Ratio: 1, Slack: 100}).Extra("never sent to"))
}

// In a chain of services in which every call is repeated as often as allowed,
// the last one still stays within the bound.
func TestChain(t *testing.T) {
	is := is.New(t)
	terms := spare.Terms{Ratio: 0.2, Slack: 48}
	const depth, nodes, each = 4, 12, 500
	inherited := 0.0
	for range depth {
		extra := 0.0
		for range nodes {
			b := spare.New(terms)
			for range each {
				b.First("s", nodes, inherited)
				for b.Extra("s") {
					extra++
				}
			}
		}
		inherited += extra / (nodes * each)
	}
	is.True(inherited*nodes*each <= terms.Ratio*nodes*each+terms.Slack)
}

// Where only the last service of a chain loses answers, most of the ratio is
// there for it.
func TestLastService(t *testing.T) {
	is := is.New(t)
	b, extra := spare.New(spare.Terms{Ratio: 0.2, Slack: 48}), 0
	for range 1000 {
		b.First("s", 12, 0)
		if b.Extra("s") {
			extra++
		}
	}
	is.True(extra >= 100)
}
