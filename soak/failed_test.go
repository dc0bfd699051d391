//go:build proof

package soak

import "time"

// failed are the setups that have failed, each with its cause. Their kinds stand here,
// since another list of kinds draws another schedule from the same seed.
var failed = []struct {
	cause string
	setup setup
}{
	{"an agent without an order was not sent it again", setup{1, 12, 50 * time.Second, []string{"disown-calls"}}},
	{"an agent without an order was not sent it again", setup{2, 12, 50 * time.Second, []string{"disown-calls"}}},
	{"an agent without an order was not sent it again", setup{3, 12, 50 * time.Second, []string{"disown-calls"}}},
	{"a late second answer is taken for that of a newer call", setup{41, 12, 50 * time.Second, []string{"stutter"}}},
	{"a late second answer is taken for that of a newer call", setup{42, 12, 50 * time.Second, []string{"stutter"}}},
}
