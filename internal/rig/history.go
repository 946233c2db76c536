package rig

import (
	"math"
	"reflect"
	"time"

	"github.com/anishathalye/porcupine"
)

// The history of commands is checked against one record that takes them one at a time: numbers of works grow in the order
// in which asks were agreed on, the same key is the same work, and a work is ended by one command only. A command without
// an answer may have happened or not, at any time after it was given; that it did shows in what its key is told later.

type state struct {
	last  uint64
	keys  map[string]uint64
	ended map[uint64]string // works, by the key of the command that ended each
}

func (s state) with(change func(*state)) state {
	c := state{last: s.last, keys: map[string]uint64{}, ended: map[uint64]string{}}
	for k, v := range s.keys {
		c.keys[k] = v
	}
	for k, v := range s.ended {
		c.ended[k] = v
	}
	change(&c)
	return c
}

var model = porcupine.Model{
	Init: func() any { return state{} },
	Step: func(at, in, _ any) (bool, any) {
		s, c := at.(state), in.(Call)
		if c.Kind == "ask" {
			if id, known := s.keys[c.Key]; known {
				return id == c.Answer.ID, s
			}
			return c.Answer.ID > s.last, s.with(func(n *state) { n.last, n.keys[c.Key] = c.Answer.ID, c.Answer.ID })
		}
		by, over := s.ended[c.ID]
		return !over || by == c.Key, s.with(func(n *state) { n.ended[c.ID] = c.Key })
	},
	Equal: func(a, b any) bool { return reflect.DeepEqual(a, b) },
}

// Linearizable tells whether the commands could have been taken one at a time.
func Linearizable(calls []Call, within time.Duration) bool {
	told := map[string]Call{}
	for _, c := range calls {
		if !c.Unknown && c.Answer.Err == "" {
			told[c.Kind+c.Key] = c
		}
	}
	var history []porcupine.Operation
	for _, c := range calls {
		if c.Unknown {
			other, known := told[c.Kind+c.Key]
			if !known {
				continue
			}
			c.Answer, c.End = other.Answer, math.MaxInt64
		}
		if c.Answer.Err == "" {
			history = append(history, porcupine.Operation{Input: c, Call: c.Begin, Return: c.End})
		}
	}
	return porcupine.CheckOperationsTimeout(model, history, within) == porcupine.Ok
}
