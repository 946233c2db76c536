package rig

import (
	"math"
	"reflect"
	"time"

	"github.com/anishathalye/porcupine"
)

// state is the state of the sequential model that the history of commands is checked against. The model takes
// commands one at a time: the numbers of works grow in the order in which requests were committed, the same key is
// the same work, and a work is ended by one command only. A command without a reply may have been carried out or
// not, at any time after it was sent; a later result for its key shows that it was.
type state struct {
	lastID uint64
	keys   map[string]uint64
	ended  map[uint64]string // works, by the key of the command that ended each
}

// with returns a changed copy.
func (s state) with(change func(*state)) state {
	c := state{lastID: s.lastID, keys: map[string]uint64{}, ended: map[uint64]string{}}
	for k, v := range s.keys {
		c.keys[k] = v
	}
	for k, v := range s.ended {
		c.ended[k] = v
	}
	change(&c)
	return c
}

// model is the sequential model of the commands that Linearizable checks against.
var model = porcupine.Model{
	Init: func() any { return state{} },
	Step: func(at, in, _ any) (bool, any) {
		s, c := at.(state), in.(Call)
		if c.Kind == "ask" {
			if id, known := s.keys[c.Key]; known {
				return id == c.Result.ID, s
			}
			return c.Result.ID > s.lastID, s.with(func(n *state) { n.lastID, n.keys[c.Key] = c.Result.ID, c.Result.ID })
		}
		by, ended := s.ended[c.ID]
		return !ended || by == c.Key, s.with(func(n *state) { n.ended[c.ID] = c.Key })
	},
	Equal: func(a, b any) bool { return reflect.DeepEqual(a, b) },
}

// Linearizable reports whether some order of the commands, taken one at a time, explains their results. It is false,
// too, if the check is not done before the timeout.
func Linearizable(calls []Call, timeout time.Duration) bool {
	answered := map[string]Call{}
	for _, c := range calls {
		if !c.Unknown && c.Result.Err == "" {
			answered[c.Kind+c.Key] = c
		}
	}
	var history []porcupine.Operation
	for _, c := range calls {
		if c.Unknown {
			other, known := answered[c.Kind+c.Key]
			if !known {
				continue
			}
			c.Result, c.EndedAt = other.Result, math.MaxInt64
		}
		if c.Result.Err == "" {
			history = append(history, porcupine.Operation{Input: c, Call: c.StartedAt, Return: c.EndedAt})
		}
	}
	return porcupine.CheckOperationsTimeout(model, history, timeout) == porcupine.Ok
}
