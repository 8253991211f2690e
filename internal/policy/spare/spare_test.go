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
				b.First("s", nodes, false)
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
	repeated := 0.0
	for level := range depth {
		extra := 0
		for range nodes {
			b := spare.New(terms)
			for range each {
				b.First("s", nodes, level > 0)
				for b.Extra("s") {
					extra++
				}
			}
		}
		repeated += float64(extra) / (nodes * each)
	}
	is.True(repeated*nodes*each <= terms.Ratio*nodes*each+terms.Slack)
}
